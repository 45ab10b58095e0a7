/// Tests of the queue: priorities, weighted fairness between teams, quotas, limits.

#include "Decision/Requests/FairQueue.h"
#include "Requests/PolicyFixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace PolicyTests;
using namespace std::chrono_literals;

namespace {

/// Number of urgent requests among the next eight that start, when eight urgent requests arrive after the queued batch ones.
long urgentAmongNext(bool priorityOrdered)
{
    FixtureSettings settings;
    settings.guards.priorityOrdered = priorityOrdered;
    PolicyFixture fixture(settings);
    for (int n = 0; n < 16; ++n)
        fixture.sendRequest("batch", 60s);
    for (int n = 0; n < 8; ++n)
        fixture.sendRequest("urgent", 60s);
    for (int n = 0; n < 8; ++n)
        fixture.endOldest();
    return std::count(fixture.startedPriorities.begin() + 8, fixture.startedPriorities.begin() + 16, "urgent");
}

/// Number of requests of the team with weight 3 among the first 200 served, when a team with weight 1 has an equal backlog.
int heavierServed(bool priorityOrdered)
{
    Decision::FairQueue queue(priorityOrdered);
    for (Decision::RequestNumber n = 1; n <= 800; ++n) {
        const bool heavy = n % 2 == 0;
        queue.push(n, heavy ? "heavy" : "light", 1, 100ms, { heavy ? 3U : 1U, 0 });
    }
    int heavy = 0;
    for (int n = 0; n < 200; ++n)
        heavy += *queue.pop() % 2 == 0 ? 1 : 0;
    return heavy;
}

std::size_t startedOfCapped(unsigned quota)
{
    FixtureSettings settings;
    settings.slotQuota = quota;
    PolicyFixture fixture(settings);
    for (int n = 0; n < 20; ++n)
        fixture.sendRequest("urgent", 60s, "capped");
    return fixture.inFlight.size();
}

} // namespace

TEST_CASE("urgent requests start before earlier batch requests, but not when priorities are off")
{
    CHECK(urgentAmongNext(true) == 8);
    CHECK(urgentAmongNext(false) == 0);
}

TEST_CASE("teams of the same priority are served by weight, but first come, first served when priorities are off")
{
    CHECK(heavierServed(true) == 150);
    CHECK(heavierServed(false) == 100);
}

TEST_CASE("a team gets no credit for the time in which it was idle")
{
    Decision::FairQueue queue;
    for (Decision::RequestNumber n = 1; n <= 100; ++n)
        queue.push(n, "steady", 1, 100ms, {});
    for (int n = 0; n < 50; ++n)
        queue.pop();
    for (Decision::RequestNumber n = 101; n <= 150; ++n)
        queue.push(n, "returning", 1, 100ms, {});
    int returning = 0;
    for (int n = 0; n < 20; ++n)
        returning += *queue.pop() > 100 ? 1 : 0;
    CHECK(returning >= 9);
    CHECK(returning <= 11);
}

TEST_CASE("a team uses no more slots than its quota, and other teams use the rest")
{
    CHECK(startedOfCapped(3) == 3);
    CHECK(startedOfCapped(0) == 8);
    FixtureSettings settings;
    settings.slotQuota = 3;
    PolicyFixture fixture(settings);
    for (int n = 0; n < 20; ++n)
        fixture.sendRequest("urgent", 60s, "capped");
    const auto other = fixture.sendRequest("batch", 1100ms);
    CHECK(fixture.inFlight.size() == 4);
    CHECK(fixture.answerOf(other) == nullptr);
}

TEST_CASE("the queue is bounded, and a full queue evicts a request for one of a higher priority")
{
    FixtureSettings settings;
    settings.limits.queueFactor = 2;
    settings.guards.deadlineAware = false;
    PolicyFixture fixture(settings);
    for (int n = 0; n < 8 + 16; ++n)
        fixture.sendRequest("batch", 60s);
    CHECK(fixture.queued() == 16);
    const auto refused = fixture.sendRequest("batch", 60s);
    REQUIRE(fixture.answerOf(refused));
    CHECK(fixture.answerOf(refused)->answer.reason == Ports::Reason::QueueFull);
    CHECK(fixture.answerOf(refused)->answer.retryAfter > 0ms);
    const auto urgent = fixture.sendRequest("urgent", 60s);
    CHECK(fixture.queued() == 16);
    CHECK_FALSE(fixture.answerOf(urgent));
    CHECK(fixture.answers.size() == 2); // The newest batch request was answered at once.
    CHECK(fixture.answers.rbegin()->second.answer.outcome == Ports::Outcome::NotRun);

    settings.limits.queueFactor = 64;
    PolicyFixture wide(settings);
    for (int n = 0; n < 8 + 17; ++n)
        wide.sendRequest("batch", 60s);
    CHECK(wide.queued() == 17);
}
