/// Order of the queue: priorities, fair shares of teams, quotas, bounds.

#include "Decision/Requests/FairQueue.h"
#include "Requests/PolicyBed.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace PolicyTests;
using namespace std::chrono_literals;

namespace {

/// Of the first eight requests that start after sixteen have queued up, the share that is urgent.
long urgentAmongNext(bool priorityOrdered)
{
    BedSettings settings;
    settings.guards.priorityOrdered = priorityOrdered;
    PolicyBed bed(settings);
    for (int n = 0; n < 16; ++n)
        bed.ask("batch", 60s);
    for (int n = 0; n < 8; ++n)
        bed.ask("urgent", 60s);
    for (int n = 0; n < 8; ++n)
        bed.endOldest();
    return std::count(bed.startedPriorities.begin() + 8, bed.startedPriorities.begin() + 16, "urgent");
}

/// Times that the heavier of two teams, weights 1 and 3, is among the first 200 served of their even backlog.
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
    BedSettings settings;
    settings.slotQuota = quota;
    PolicyBed bed(settings);
    for (int n = 0; n < 20; ++n)
        bed.ask("urgent", 60s, "capped");
    return bed.out.size();
}

} // namespace

TEST_CASE("urgent requests start before those that came earlier; not without the order by priority")
{
    CHECK(urgentAmongNext(true) == 8);
    CHECK(urgentAmongNext(false) == 0);
}

TEST_CASE("teams of a priority are served by weight; not first come first served")
{
    CHECK(heavierServed(true) == 150);
    CHECK(heavierServed(false) == 100);
}

TEST_CASE("a team that comes back gets no credit for its absence")
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

TEST_CASE("a team holds no more slots than its quota, and others use the rest")
{
    CHECK(startedOfCapped(3) == 3);
    CHECK(startedOfCapped(0) == 8);
    BedSettings settings;
    settings.slotQuota = 3;
    PolicyBed bed(settings);
    for (int n = 0; n < 20; ++n)
        bed.ask("urgent", 60s, "capped");
    const auto other = bed.ask("batch", 1100ms);
    CHECK(bed.out.size() == 4);
    CHECK(bed.answerOf(other) == nullptr);
}

TEST_CASE("the queue is bounded, and a full one gives way to a higher priority")
{
    BedSettings settings;
    settings.limits.queueFactor = 2;
    settings.guards.deadlineAware = false;
    PolicyBed bed(settings);
    for (int n = 0; n < 8 + 16; ++n)
        bed.ask("batch", 60s);
    CHECK(bed.queued() == 16);
    const auto refused = bed.ask("batch", 60s);
    REQUIRE(bed.answerOf(refused));
    CHECK(bed.answerOf(refused)->answer.reason == Ports::Reason::QueueFull);
    CHECK(bed.answerOf(refused)->answer.retryAfter > 0ms);
    const auto urgent = bed.ask("urgent", 60s);
    CHECK(bed.queued() == 16);
    CHECK_FALSE(bed.answerOf(urgent));
    CHECK(bed.answers.size() == 2); // The newest batch request was answered at once.
    CHECK(bed.answers.rbegin()->second.answer.outcome == Ports::Outcome::NotRun);

    settings.limits.queueFactor = 64;
    PolicyBed wide(settings);
    for (int n = 0; n < 8 + 17; ++n)
        wide.ask("batch", 60s);
    CHECK(wide.queued() == 17);
}
