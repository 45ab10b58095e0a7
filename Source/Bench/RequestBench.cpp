/// Measures the request core on one processor core, at the design size: 89 pools of 12 upstreams and 430 teams.

#include "Decision/Requests/FairQueue.h"
#include "Decision/Requests/RequestCore.h"

#include <benchmark/benchmark.h>

#include <deque>

namespace {

using namespace std::chrono_literals;

constexpr unsigned pools = 89;
constexpr unsigned upstreamsPerPool = 12;
constexpr unsigned slotsPerUpstream = 8;
constexpr unsigned teams = 430;
constexpr unsigned priorities = 3;
constexpr std::size_t bodyBytes = 1024;
constexpr auto arrivalInterval = 5us; ///< Virtual time between two requests.

std::string nameOf(const char* kind, std::uint64_t n) { return kind + std::to_string(n); }

std::shared_ptr<const Objects::ObjectSet> makeObjects()
{
    auto objects = std::make_shared<Objects::ObjectSet>();
    objects->domains["dc"] = { "dc", Objects::DomainLevel::DataCentre, "region" };
    for (unsigned n = 0; n < pools; ++n) {
        objects->pools[nameOf("pool-", n)].name = nameOf("pool-", n);
        auto& service = objects->services[nameOf("service-", n)];
        service.name = nameOf("service-", n);
        service.pool = nameOf("pool-", n);
    }
    std::vector<std::string> names;
    for (unsigned n = 0; n < priorities; ++n) {
        names.push_back(nameOf("priority-", n));
        objects->priorities[names.back()] = { names.back(), n };
    }
    for (unsigned n = 0; n < teams; ++n)
        objects->teams[nameOf("team-", n)] = { nameOf("team-", n), names, 64, 1 + n % 4 };
    return objects;
}

/// A request core that owns every pool, and its attempts in flight.
class Bench {
public:
    Bench()
        : m_core(Decision::RequestCore::create({ "entry-1", "dc", 1, 1 }, {}))
        , m_body(std::make_shared<const std::string>(bodyBytes, 'x'))
    {
        m_core->setConfiguration(now(), makeObjects(), 1);
        for (unsigned pool = 0; pool < pools; ++pool) {
            std::vector<Decision::PoolUpstream> upstreams;
            for (unsigned n = 0; n < upstreamsPerPool; ++n)
                upstreams.push_back({ nameOf("executor-", pool * upstreamsPerPool + n), "127.0.0.1:1", slotsPerUpstream });
            m_core->setUpstreams(now(), nameOf("pool-", pool), upstreams);
        }
    }

    void submit()
    {
        m_now += arrivalInterval;
        const auto n = m_submitted++;
        Ports::CallerRequest request;
        request.handle = n + 1;
        request.service = nameOf("service-", n % pools);
        request.team = nameOf("team-", n % teams);
        request.priority = nameOf("priority-", n % priorities);
        request.idempotent = true;
        request.timeLeft = 10s;
        request.body = m_body;
        m_core->onCallerRequest(now(), request);
        collect();
    }

    /// Answers the attempt that has been in flight for longest.
    void answerOldest()
    {
        const auto attempt = m_inFlight.front();
        m_inFlight.pop_front();
        m_core->onAttemptEnded(now(), { attempt, Ports::AttemptEnd::Answered, 200, "text/plain", m_body });
        collect();
    }

    void tickWhenDue()
    {
        const auto next = m_core->nextDeadline();
        if (next && *next <= m_now)
            m_core->tick(now());
        collect();
    }

    std::size_t inFlight() const { return m_inFlight.size(); }
    std::uint64_t answered() const { return m_answered; }

private:
    Decision::Moment now() const { return { m_now, Common::WallTime(1'800'000'000s) }; }

    void collect()
    {
        for (const auto& action : m_core->takeActions()) {
            if (const auto* it = std::get_if<Decision::DispatchAttempt>(&action))
                m_inFlight.push_back(it->call.attempt);
            else if (std::holds_alternative<Decision::AnswerCaller>(action))
                ++m_answered;
        }
    }

    std::unique_ptr<Decision::RequestCore> m_core;
    Ports::Bytes m_body;
    Decision::Instant m_now {};
    std::uint64_t m_submitted = 0;
    std::uint64_t m_answered = 0;
    std::deque<Ports::AttemptId> m_inFlight;
};

/// Arrival, dispatch and answer of one request, while state.range(0) other requests are open over all pools.
void requestPath(benchmark::State& state)
{
    Bench bench;
    for (std::int64_t n = 0; n < state.range(0); ++n)
        bench.submit();
    const auto before = bench.answered();
    for (auto _ : state) {
        bench.submit();
        bench.answerOldest();
        bench.tickWhenDue();
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(bench.answered() - before));
}

/// Adds one request to a pool's queue and takes one, while state.range(0) requests of all teams wait in it.
void queuePushPop(benchmark::State& state)
{
    Decision::FairQueue queue;
    Decision::RequestNumber number = 1;
    const auto push = [&] {
        const auto n = number++;
        queue.push(n, nameOf("team-", n % teams), static_cast<unsigned>(n % priorities), 100ms, { 1, 64 });
    };
    for (std::int64_t n = 0; n < state.range(0); ++n)
        push();
    for (auto _ : state) {
        push();
        benchmark::DoNotOptimize(queue.costAhead("team-7", 2, { 1, 64 }));
        benchmark::DoNotOptimize(queue.pop());
    }
    state.SetItemsProcessed(state.iterations());
}

constexpr std::int64_t totalSlots = std::int64_t { pools } * upstreamsPerPool * slotsPerUpstream;

} // namespace

BENCHMARK(requestPath)->Name("requestPath/halfBusy")->Arg(totalSlots / 2);
BENCHMARK(requestPath)->Name("requestPath/queued")->Arg(totalSlots * 2);
BENCHMARK(queuePushPop)->Arg(10)->Arg(1000)->Arg(5000);
BENCHMARK_MAIN();
