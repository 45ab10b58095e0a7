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
