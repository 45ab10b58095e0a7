/// The load generator: it must pass a system without violations and detect each kind of violation.

#include "Standins/LoadRunner.h"
#include "Standins/StandinFixture.h"

#include <doctest/doctest.h>
#include <map>

using Standins::ExchangePtr;
using Standins::LoadPlan;
using Standins::LoadSettings;
using Standins::LoadSummary;

namespace {

/// An entry host and executor in one: the behaviour under test answers the requests; /runs and /ready are served as usual.
class FakeEntryHost {
public:
    using Behaviour = std::function<void(FakeEntryHost&, const ExchangePtr&)>;

    FakeEntryHost(Adapters::EventLoop& loop, Behaviour behaviour)
        : server(Standins::HttpServer::create(loop, 0, [this](const auto& it) { serve(it); }).take())
        , m_behaviour(std::move(behaviour))
    {
    }

    void run(const ExchangePtr& exchange) { ++m_runs[Standins::bodyHash(exchange->request().body)]; }

    static void replyDone(const ExchangePtr& exchange, const std::string& body)
    {
        exchange->reply({ 200, { { "Marigold-Outcome", "done" } }, "ran id " + Standins::bodyHash(body) + " " + body });
    }

    static void replyNotRun(const ExchangePtr& exchange, const std::string& retryAfterMs)
    {
        exchange->reply({ 503, { { "Marigold-Outcome", "not-run" }, { "Marigold-Retry-After-Ms", retryAfterMs } }, {} });
    }

    /// Number of attempts with the request's key so far, including this one.
    unsigned attemptsOf(const ExchangePtr& exchange) { return ++m_attempts[exchange->request().header("idempotency-key")]; }

    std::unique_ptr<Standins::HttpServer> server;

private:
    void serve(const ExchangePtr& exchange)
    {
        const std::string& path = exchange->request().path;
        if (path == "/runs")
            exchange->reply({ 200, {}, runsText() });
        else if (path == "/ready")
            exchange->reply({});
        else
            m_behaviour(*this, exchange);
    }

    std::string runsText() const
    {
        std::string text;
        for (const auto& [hash, count] : m_runs)
            text += (text.empty() ? "\"" : ",\"") + hash + "\":" + std::to_string(count);
        return "{\"byBodyHash\":{" + text + "}}";
    }

    Behaviour m_behaviour;
    std::map<std::string, unsigned> m_runs;
    std::map<std::string, unsigned> m_attempts;
};

LoadSummary loadOn(const FakeEntryHost::Behaviour& behaviour, double idempotentShare = 0)
{
    const auto loop = Adapters::EventLoop::create();
    FakeEntryHost host(*loop, behaviour);
    LoadSettings settings;
    settings.targets = { "127.0.0.1:" + std::to_string(host.server->port()) };
    settings.executors = settings.targets;
    settings.services = { "desk" };
    settings.rate = 200;
    settings.length = std::chrono::milliseconds(200);
    settings.timeout = std::chrono::minutes(5);
    settings.idempotentShare = idempotentShare;
    const auto runner = Standins::LoadRunner::create(*loop, settings);
    LoadSummary summary;
    runner->start([&](const LoadSummary& it) {
        summary = it;
        loop->post([&] {
            runner->shutdown();
            host.server->shutdown();
            loop->stop();
        });
    });
    loop->run();
    return summary;
}

} // namespace

TEST_CASE("a system without violations passes")
{
    const auto summary = loadOn([](auto& host, const auto& exchange) {
        host.run(exchange);
        FakeEntryHost::replyDone(exchange, exchange->request().body);
    });
    CHECK(summary.requests > 0);
    CHECK(summary.answered == summary.requests);
    CHECK(summary.executorsRead == 1);
    CHECK(summary.hasNoViolations());
}

TEST_CASE("a not-run answer and a closed connection are retried with the same key")
{
    const auto summary = loadOn([](auto& host, const auto& exchange) {
        const unsigned attempts = host.attemptsOf(exchange);
        if (attempts == 1) {
            FakeEntryHost::replyNotRun(exchange, "1");
        } else if (attempts == 2) {
            exchange->drop();
        } else {
            host.run(exchange);
            FakeEntryHost::replyDone(exchange, exchange->request().body);
        }
    });
    CHECK(summary.answered == summary.requests);
    CHECK(summary.hasNoViolations());
}

TEST_CASE("a second run of a non-idempotent request is detected")
{
    const auto twice = [](auto& host, const auto& exchange) {
        host.run(exchange);
        host.run(exchange);
        FakeEntryHost::replyDone(exchange, exchange->request().body);
    };
    const auto summary = loadOn(twice);
    CHECK(summary.doubled == summary.requests);
    CHECK_FALSE(summary.hasNoViolations());
    CHECK(loadOn(twice, 1).hasNoViolations());
}

TEST_CASE("an answer of another request and a truncated answer are detected")
{
    const auto otherBody = loadOn([](auto& host, const auto& exchange) {
        host.run(exchange);
        FakeEntryHost::replyDone(exchange, "another body");
    });
    CHECK(otherBody.mismatched == otherBody.requests);
    const auto truncated = loadOn([](auto& host, const auto& exchange) {
        host.run(exchange);
        exchange->reply({ 200, { { "Marigold-Outcome", "done" } }, "ran id" });
    });
    CHECK(truncated.mismatched == truncated.requests);
    CHECK_FALSE(truncated.hasNoViolations());
}

TEST_CASE("a request that ran although it was answered as not run is detected")
{
    const auto summary = loadOn([](auto& host, const auto& exchange) {
        host.run(exchange);
        FakeEntryHost::replyNotRun(exchange, "0");
    });
    CHECK(summary.ranAfterNotRun == summary.requests);
    CHECK_FALSE(summary.hasNoViolations());
}

TEST_CASE("an answer without a valid outcome, or for a request that never ran, counts as lost")
{
    const auto none = loadOn([](auto&, const auto& exchange) { exchange->reply({ 500, {}, {} }); });
    CHECK(none.lost == none.requests);
    const auto neverRan = loadOn([](auto&, const auto& exchange) { FakeEntryHost::replyDone(exchange, exchange->request().body); });
    CHECK(neverRan.lost == neverRan.requests);
    CHECK_FALSE(neverRan.hasNoViolations());
}

TEST_CASE("an unknown outcome ends a non-idempotent request and is no violation")
{
    const auto summary = loadOn([](auto& host, const auto& exchange) {
        host.run(exchange);
        exchange->reply({ 504, { { "Marigold-Outcome", "unknown" } }, {} });
    });
    CHECK(summary.unknown == summary.requests);
    CHECK(summary.hasNoViolations());
}

TEST_CASE("a plan is the same for the same seed and peaks at the stated rate")
{
    LoadSettings settings;
    settings.services = { "desk", "hotels" };
    LoadPlan plan(settings, "tag");
    LoadPlan same(settings, "tag");
    std::map<bool, unsigned> counts; // Key: whether the time lies in the peak.
    constexpr std::chrono::seconds peakBegin { 6 };
    constexpr std::chrono::seconds peakEnd { 9 };
    for (auto it = plan.next(); it.at < peakEnd; it = plan.next()) {
        const auto other = same.next();
        CHECK(it.at == other.at);
        CHECK(it.body == other.body);
        ++counts[it.at >= peakBegin];
    }
    // 300 are expected before the peak and 750 in it.
    CHECK(counts[false] > 200);
    CHECK(counts[false] < 400);
    CHECK(counts[true] > 600);
    CHECK(plan.rateAt(peakEnd) == doctest::Approx(settings.rate / 20));
}

TEST_CASE("idempotency keys are UUIDs of version 7 with their timestamp")
{
    std::mt19937_64 random(1);
    const std::string key = Standins::uuidV7(std::chrono::milliseconds(0x0123456789ab), random);
    CHECK(key.size() == 36);
    CHECK(key.starts_with("01234567-89ab-7"));
    CHECK(std::string("89ab").find(key[19]) != std::string::npos);
}
