/// Tests of admission: deadlines, retry times, learned run times and cancellation.

#include "Requests/PolicyFixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace PolicyTests;
using namespace std::chrono_literals;

namespace {

/// A fixture with eight busy slots and sixteen queued requests of one second each.
PolicyFixture busyFixture(bool deadlineAware)
{
    FixtureSettings settings;
    settings.guards.deadlineAware = deadlineAware;
    PolicyFixture fixture(settings);
    for (int n = 0; n < 24; ++n)
        fixture.sendRequest("batch", 60s);
    return fixture;
}

void run(PolicyFixture& fixture, int times, std::chrono::milliseconds runTime)
{
    for (int n = 0; n < times; ++n) {
        fixture.sendRequest("batch", 60s);
        fixture.advance(runTime);
        fixture.endOldest();
    }
}

} // namespace

TEST_CASE("a request that can't meet its deadline is refused on arrival with a retry time, but is queued without the check")
{
    auto fixture = busyFixture(true);
    const auto late = fixture.sendRequest("batch", 1500ms);
    REQUIRE(fixture.answerOf(late));
    CHECK(fixture.answerOf(late)->at == fixture.now());
    CHECK(fixture.answerOf(late)->answer.outcome == Ports::Outcome::NotRun);
    CHECK(fixture.answerOf(late)->answer.reason == Ports::Reason::DeadlineCannotBeMet);
    CHECK(fixture.answerOf(late)->answer.retryAfter >= 1s);

    auto unaware = busyFixture(false);
    CHECK_FALSE(unaware.answerOf(unaware.sendRequest("batch", 1500ms)));
}

TEST_CASE("a queued request is answered as soon as its run no longer fits before the deadline")
{
    for (const bool deadlineAware : { true, false }) {
        auto fixture = busyFixture(deadlineAware);
        const auto sentAt = fixture.now();
        const auto request = fixture.sendRequest("batch", 3500ms);
        CHECK_FALSE(fixture.answerOf(request));
        fixture.advance(2499ms);
        CHECK_FALSE(fixture.answerOf(request));
        CHECK(fixture.queued() == 17);
        fixture.advance(2ms);
        CHECK(fixture.queued() == (deadlineAware ? 16 : 17));
        CHECK((fixture.answerOf(request) != nullptr) == deadlineAware);
        fixture.advance(2s);
        REQUIRE(fixture.answerOf(request));
        const auto wait = fixture.answerOf(request)->at - sentAt;
        CHECK(wait == (deadlineAware ? 2500ms : 3500ms));
        if (deadlineAware)
            CHECK(fixture.answerOf(request)->answer.retryAfter >= 1s); // The queue is still long.
    }
}

TEST_CASE("callers that are refused together get different retry times")
{
    auto fixture = busyFixture(true);
    std::vector<std::chrono::milliseconds> times;
    times.reserve(400);
    for (int n = 0; n < 400; ++n)
        times.push_back(fixture.answerOf(fixture.sendRequest("batch", 1500ms))->answer.retryAfter);
    std::sort(times.begin(), times.end());
    CHECK(times.back() - times.front() >= 1500ms); // The wait is two seconds.
    // No tenth of the range contains more than a fifth of the retry times.
    const auto tenth = (times.back() - times.front()) / 10;
    for (auto it = times.begin(); it != times.end(); ++it)
        CHECK(std::upper_bound(it, times.end(), *it + tenth) - it <= 80);
}

TEST_CASE("run times are learned when the declared run time is too long or too short")
{
    FixtureSettings settings;
    settings.declaredRunTime = 4s;
    PolicyFixture tooLong(settings);
    CHECK(tooLong.answerOf(tooLong.sendRequest("batch", 2s)) != nullptr);
    run(tooLong, 40, 100ms);
    CHECK_FALSE(tooLong.answerOf(tooLong.sendRequest("batch", 2s)));

    settings.declaredRunTime = 25ms;
    PolicyFixture tooShort(settings);
    const auto hopeful = tooShort.sendRequest("batch", 500ms);
    CHECK_FALSE(tooShort.answerOf(hopeful));
    tooShort.advance(20ms);
    tooShort.endOldest();
    run(tooShort, 40, 1s);
    CHECK(tooShort.answerOf(tooShort.sendRequest("batch", 500ms)) != nullptr);
}

TEST_CASE("a cancelled request leaves the queue at once, or its attempt is cancelled")
{
    FixtureSettings settings;
    settings.limits.queueFactor = 1;
    PolicyFixture fixture(settings);
    std::vector<Ports::CallerHandle> handles;
    handles.reserve(16);
    for (int n = 0; n < 16; ++n)
        handles.push_back(fixture.sendRequest("batch", 60s));
    CHECK(fixture.answerOf(fixture.sendRequest("batch", 60s)) != nullptr);
    fixture.disconnect(handles.back());
    CHECK(fixture.queued() == 7);
    CHECK_FALSE(fixture.answerOf(fixture.sendRequest("batch", 60s)));
    const auto running = fixture.inFlight.front();
    fixture.disconnect(handles.front());
    REQUIRE(fixture.cancelled.size() == 1);
    CHECK(fixture.cancelled.front() == running.attempt);
    const auto started = fixture.startedPriorities.size();
    fixture.end(running, Ports::AttemptEnd::Cancelled, 0);
    CHECK(fixture.startedPriorities.size() == started + 1);
}
