/// Tests of failing upstreams and of slots in use by peers.

#include "Requests/PolicyFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace PolicyTests;
using namespace std::chrono_literals;

namespace {

constexpr int serverError = 500;
constexpr int success = 200;

/// Sends requests for the given time. Each takes 10 ms, or 1 ms on a failing upstream. Returns the number of attempts by upstream.
std::map<std::string, int> runFor(PolicyFixture& fixture, std::chrono::milliseconds time, const std::set<std::string>& failing)
{
    std::map<std::string, int> attempts;
    std::map<Ports::AttemptId, std::chrono::milliseconds> age;
    for (auto passed = 0ms; passed < time; passed += 1ms) {
        while (fixture.inFlight.size() < 16) {
            const auto before = fixture.inFlight.size();
            fixture.sendRequest("batch", 60s);
            if (fixture.inFlight.size() == before)
                break;
        }
        fixture.advance(1ms);
        const auto calls = fixture.inFlight;
        for (const auto& call : calls) {
            const bool fails = failing.count(call.upstream) > 0;
            age[call.attempt] += 1ms;
            if (!fails && age[call.attempt] < 10ms)
                continue;
            ++attempts[call.upstream];
            fixture.end(call, Ports::AttemptEnd::Answered, fails ? serverError : success);
        }
    }
    return attempts;
}

FixtureSettings settingsOf(unsigned upstreams, bool ejectionEnabled)
{
    FixtureSettings settings;
    settings.upstreams = upstreams;
    settings.guards.ejectionEnabled = ejectionEnabled;
    settings.declaredRunTime = 10ms;
    return settings;
}

// Shortly before the deadline, since the upstreams' adapter gets the time left in whole milliseconds.
constexpr auto adapterLead = 500us;

bool isRefusedAsHarmful(const PolicyFixture& fixture, Ports::CallerHandle handle)
{
    const auto* it = fixture.answerOf(handle);
    return it && it->answer.reason == Ports::Reason::HarmfulRequest;
}

unsigned usableSlots(const PolicyFixture& fixture)
{
    unsigned usable = 0;
    for (const auto& load : fixture.core->loads(fixture.now()))
        usable += load.slots;
    return usable;
}

} // namespace

TEST_CASE("an upstream that fails every request quickly is ejected, probed and reinstated; without ejection it gets most requests")
{
    PolicyFixture ejecting(settingsOf(4, true));
    auto attempts = runFor(ejecting, 1000ms, { "desk-1" });
    CHECK(attempts["desk-1"] < 20);
    CHECK(attempts["desk-0"] > 200);
    // The upstream has recovered: after its pause, probes succeed and it gets its share of requests again.
    runFor(ejecting, 3000ms, {});
    attempts = runFor(ejecting, 1000ms, {});
    CHECK(attempts["desk-1"] > 200);

    PolicyFixture unguarded(settingsOf(4, false));
    attempts = runFor(unguarded, 1000ms, { "desk-1" });
    CHECK(attempts["desk-1"] > attempts["desk-0"]);
}

TEST_CASE("probes that fail while the whole pool fails alike don't keep a sound upstream ejected for longer")
{
    const std::set<std::string> all { "desk-0", "desk-1", "desk-2", "desk-3" };
    PolicyFixture fixture(settingsOf(4, true));
    runFor(fixture, 200ms, { "desk-1" });
    REQUIRE(usableSlots(fixture) == 24);
    runFor(fixture, 20s, all);
    runFor(fixture, 2s, {});
    CHECK(usableSlots(fixture) == 32);
    auto attempts = runFor(fixture, 1000ms, {});
    CHECK(attempts["desk-1"] > 200);
}

TEST_CASE("an upstream that fails its probes while the others answer is probed less and less often")
{
    PolicyFixture fixture(settingsOf(4, true));
    runFor(fixture, 2s, { "desk-1" });
    auto attempts = runFor(fixture, 20s, { "desk-1" });
    CHECK(attempts["desk-1"] >= 2);
    CHECK(attempts["desk-1"] <= 4);
}

TEST_CASE("ejection is bounded: two thirds of the pool stay in use, however many upstreams fail")
{
    for (unsigned failures = 1; failures <= 6; ++failures) {
        PolicyFixture fixture(settingsOf(6, true));
        std::set<std::string> failing;
        for (unsigned n = 0; n < failures; ++n)
            failing.insert("desk-" + std::to_string(n));
        runFor(fixture, 500ms, failing);
        unsigned usable = 0;
        for (const auto& load : fixture.core->loads(fixture.now()))
            usable += load.slots;
        CHECK(usable >= 4 * 8);
    }
}

TEST_CASE("slots in use by peers count against an upstream's limit, and those of a lost peer are released over the run time")
{
    FixtureSettings settings;
    PolicyFixture fixture(settings);
    fixture.receiveHeartbeat("entry-2", { { "desk-0", 6 } });
    for (int n = 0; n < 20; ++n)
        fixture.sendRequest("batch", 60s);
    CHECK(fixture.inFlight.size() == 2);
    fixture.core->peerLost({ fixture.now(), Common::WallTime() }, "entry-2");
    fixture.advance(500ms);
    CHECK(fixture.inFlight.size() == 5); // Half of the expected run time of one second has passed.
    fixture.advance(600ms);
    CHECK(fixture.inFlight.size() == 8);

    settings.guards.peerUseCounted = false;
    PolicyFixture uncounted(settings);
    uncounted.receiveHeartbeat("entry-2", { { "desk-0", 6 } });
    for (int n = 0; n < 20; ++n)
        uncounted.sendRequest("batch", 60s);
    CHECK(uncounted.inFlight.size() == 8);
}

TEST_CASE("requests of a crashed upstream wait for the other upstreams instead of using up their retries on connecting to it")
{
    FixtureSettings settings = settingsOf(2, true);
    settings.declaredRunTime = 100ms;
    PolicyFixture fixture(settings);
    std::vector<Ports::CallerHandle> handles;
    handles.reserve(16);
    for (int i = 0; i < 16; ++i)
        handles.push_back(fixture.sendRequest("batch", 60s));
    REQUIRE(fixture.inFlight.size() == 16);
    // Leaves fewer attempts in flight than the consecutive failures that cause an ejection.
    for (int spare = 5; spare > 0; --spare) {
        const auto call = *std::find_if(fixture.inFlight.begin(), fixture.inFlight.end(), [](const auto& it) { return it.upstream == "desk-0"; });
        fixture.end(call);
    }
    std::map<Ports::AttemptId, std::chrono::milliseconds> age;
    bool died = false;
    for (auto passed = 0ms; passed < 10s; passed += 1ms) {
        fixture.advance(1ms);
        const auto calls = fixture.inFlight;
        for (const auto& call : calls) {
            if (call.upstream == "desk-0")
                fixture.end(call, died ? Ports::AttemptEnd::NotSent : Ports::AttemptEnd::Lost);
            else if ((age[call.attempt] += 1ms) >= 100ms)
                fixture.end(call);
        }
        died = true;
    }
    for (const auto handle : handles) {
        REQUIRE(fixture.answerOf(handle));
        CHECK(fixture.answerOf(handle)->answer.outcome == Ports::Outcome::Done);
    }
}

// Seen with real processes: 18 requests, of which six were in flight on a killed upstream and four slots were free elsewhere.
TEST_CASE("refusals by upstreams without a free slot don't use up the retries of a request that is lost with its upstream")
{
    for (const bool refusesFirst : { false, true }) {
        FixtureSettings settings = settingsOf(2, true);
        settings.declaredRunTime = 100ms;
        PolicyFixture fixture(settings);
        const auto handle = fixture.sendRequest("batch", 60s);
        unsigned refusals = 0;
        bool isLost = false;
        for (auto passed = 0ms; passed < 10s && refusals < 40; passed += 5ms) {
            fixture.advance(5ms);
            if (fixture.inFlight.empty())
                continue;
            const bool isDue = refusesFirst ? refusals == 20 : refusals == 0;
            if (isDue && !isLost) {
                isLost = true;
                fixture.endOldest(Ports::AttemptEnd::Lost);
                continue;
            }
            ++refusals;
            fixture.endOldest(Ports::AttemptEnd::Refused);
        }
        fixture.advance(1s);
        REQUIRE(fixture.inFlight.size() == 1);
        fixture.endOldest();
        REQUIRE(fixture.answerOf(handle));
        CHECK(fixture.answerOf(handle)->answer.outcome == Ports::Outcome::Done);
    }
}

// Seen with real processes: six in flight on the killed upstream, five of them idempotent, and four free slots elsewhere.
TEST_CASE("a request whose second run can't end in time after its upstream was lost is answered with its deadline, not with a loss")
{
    PolicyFixture fixture(settingsOf(3, true));
    std::map<Ports::AttemptId, Decision::Instant> ends;
    std::vector<Ports::CallerHandle> handles;
    handles.reserve(18);
    for (int i = 0; i < 18; ++i)
        handles.push_back(fixture.sendRequest("batch", 4s));
    const auto deadline = fixture.now() + 4s;
    REQUIRE(fixture.inFlight.size() == 18);
    fixture.advance(30ms);
    const auto first = fixture.inFlight;
    for (const auto& call : first) {
        if (call.upstream == "desk-0")
            fixture.end(call, Ports::AttemptEnd::Lost);
        else
            ends[call.attempt] = fixture.now() - 30ms + 2s;
    }
    CHECK(fixture.inFlight.size() == 16);
    while (fixture.now() + 1ms < deadline) {
        fixture.advance(1ms);
        const auto calls = fixture.inFlight;
        for (const auto& call : calls) {
            const auto end = ends.try_emplace(call.attempt, fixture.now() + 2s).first->second;
            if (call.upstream == "desk-0")
                fixture.end(call, Ports::AttemptEnd::NotSent);
            else if (end <= fixture.now())
                fixture.end(call);
        }
    }
    fixture.advance(1ms - adapterLead);
    const auto left = fixture.inFlight;
    CHECK(left.size() == 2); // Of the six lost ones, four found a slot at once.
    for (const auto& call : left)
        fixture.end(call, Ports::AttemptEnd::Cancelled);
    for (const auto handle : handles) {
        REQUIRE(fixture.answerOf(handle));
        const auto& answer = fixture.answerOf(handle)->answer;
        if (answer.outcome != Ports::Outcome::Done)
            CHECK(std::string(Ports::reasonName(answer.reason)) == "deadline-passed");
    }
}

TEST_CASE("runs that are stopped at their deadline don't make their body a harmful one")
{
    PolicyFixture fixture(settingsOf(2, true));
    for (int i = 0; i < 2; ++i)
        fixture.sendRequest("batch", 1s);
    REQUIRE(fixture.inFlight.size() == 2);
    CHECK(fixture.inFlight.front().upstream != fixture.inFlight.back().upstream);
    fixture.advance(1s - adapterLead);
    while (!fixture.inFlight.empty())
        fixture.endOldest(Ports::AttemptEnd::Cancelled);
    const auto handle = fixture.sendRequest("batch", 1s);
    REQUIRE(fixture.inFlight.size() == 1);
    fixture.endOldest();
    CHECK(fixture.answerOf(handle)->answer.outcome == Ports::Outcome::Done);
}

TEST_CASE("a body isn't blocked for upstreams that are lost together with one that doesn't run it")
{
    for (const bool otherIsFirst : { false, true }) {
        CAPTURE(otherIsFirst);
        PolicyFixture fixture(settingsOf(6, true));
        for (const auto* body : { "batch", "batch", "urgent" })
            fixture.sendRequest(body, 60s);
        REQUIRE(fixture.inFlight.size() == 3);
        auto lost = fixture.inFlight;
        REQUIRE(lost[0].upstream != lost[1].upstream);
        REQUIRE(lost[2].upstream != lost[0].upstream);
        REQUIRE(lost[2].upstream != lost[1].upstream);
        if (otherIsFirst)
            std::swap(lost[0], lost[2]);
        fixture.advance(5ms);
        for (const auto& call : lost) {
            fixture.end(call, Ports::AttemptEnd::Lost);
            fixture.advance(1ms);
        }
        CHECK_FALSE(isRefusedAsHarmful(fixture, fixture.sendRequest("batch", 60s)));
    }
}

TEST_CASE("a body that runs on every upstream of those that are lost together is blocked")
{
    PolicyFixture fixture(settingsOf(6, true));
    for (int i = 0; i < 2; ++i)
        fixture.sendRequest("batch", 60s);
    const auto lost = fixture.inFlight;
    REQUIRE(lost.size() == 2);
    REQUIRE(lost[0].upstream != lost[1].upstream);
    fixture.advance(5ms);
    for (const auto& call : lost)
        fixture.end(call, Ports::AttemptEnd::Lost);
    CHECK(isRefusedAsHarmful(fixture, fixture.sendRequest("batch", 60s)));
}

TEST_CASE("a body that loses a further upstream just after many were lost together is blocked, also beside other losses")
{
    for (const auto pause : { 0ms, 1ms, 500ms }) {
        CAPTURE(pause.count());
        PolicyFixture fixture(settingsOf(6, true));
        for (const auto* body : { "batch", "batch", "urgent" })
            fixture.sendRequest(body, 60s);
        const auto lost = fixture.inFlight;
        REQUIRE(lost.size() == 3);
        fixture.advance(5ms);
        for (const auto& call : lost)
            fixture.end(call, Ports::AttemptEnd::Lost);
        fixture.advance(pause);
        const auto again = std::find_if(fixture.inFlight.begin(), fixture.inFlight.end(), [](const auto& it) { return *it.body == "batch"; });
        REQUIRE(again != fixture.inFlight.end());
        fixture.end(Ports::UpstreamCall(*again), Ports::AttemptEnd::Lost);
        CHECK(isRefusedAsHarmful(fixture, fixture.sendRequest("batch", 60s)));
    }
}

TEST_CASE("a body under which upstreams are lost at different times is blocked, though others are lost beside each")
{
    PolicyFixture fixture(settingsOf(6, true));
    for (const auto* body : { "batch", "batch", "urgent", "urgent" })
        fixture.sendRequest(body, 60s);
    const auto lost = fixture.inFlight;
    REQUIRE(lost.size() == 4);
    fixture.advance(5ms);
    for (const std::size_t n : { 0, 2, 1, 3 }) {
        fixture.end(lost[n], Ports::AttemptEnd::Lost);
        if (n == 2)
            fixture.advance(1s);
    }
    CHECK(isRefusedAsHarmful(fixture, fixture.sendRequest("batch", 60s)));
}

TEST_CASE("attempts that a caller withdraws before they are sent neither pause nor eject their upstream")
{
    PolicyFixture fixture(settingsOf(2, true));
    for (int i = 0; i < 20; ++i) {
        const auto handle = fixture.sendRequest("batch", 1s);
        REQUIRE(fixture.inFlight.size() == 1);
        CHECK(fixture.inFlight.front().upstream == "desk-0");
        fixture.disconnect(handle);
        fixture.endOldest(Ports::AttemptEnd::Withdrawn);
    }
    CHECK(usableSlots(fixture) == 16);
}

TEST_CASE("an upstream that never answers is ejected, whether the core or the adapter is first to stop its attempts")
{
    for (const bool coreIsFirst : { false, true }) {
        PolicyFixture fixture(settingsOf(4, true));
        std::map<Ports::AttemptId, Decision::Instant> started;
        int silent = 0;
        for (auto passed = 0ms; passed < 1000ms; passed += 1ms) {
            while (fixture.inFlight.size() < 16)
                fixture.sendRequest("batch", 200ms);
            fixture.advance(500us);
            const auto calls = fixture.inFlight;
            for (const auto& call : calls) {
                const auto [it, isNew] = started.try_emplace(call.attempt, fixture.now());
                const auto age = fixture.now() - it->second;
                const bool isCancelled = std::find(fixture.cancelled.begin(), fixture.cancelled.end(), call.attempt) != fixture.cancelled.end();
                if (call.upstream != "desk-1") {
                    if (age >= 10ms)
                        fixture.end(call);
                    continue;
                }
                silent += isNew;
                if (isCancelled || (!coreIsFirst && age >= 199ms))
                    fixture.end(call, Ports::AttemptEnd::Cancelled);
            }
            fixture.advance(500us);
        }
        CHECK(silent <= 16);
        CHECK(usableSlots(fixture) == 24);
    }
}

TEST_CASE("deadlines that are shorter than the runs don't eject an upstream")
{
    FixtureSettings settings = settingsOf(2, true);
    settings.declaredRunTime = 1000ms;
    settings.guards.deadlineAware = false;
    PolicyFixture fixture(settings);
    for (int i = 0; i < 20; ++i) {
        fixture.sendRequest("batch", 100ms);
        REQUIRE(fixture.inFlight.size() == 1);
        CHECK(fixture.inFlight.front().upstream == "desk-0");
        fixture.advance(100ms - adapterLead);
        fixture.endOldest(Ports::AttemptEnd::Cancelled);
    }
    CHECK(usableSlots(fixture) == 16);
}
