/// Deadlines, retry times, learned run times and cancellations.

#include "Requests/PolicyBed.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace PolicyTests;
using namespace std::chrono_literals;

namespace {

/// A bed whose eight slots are busy and whose queue holds sixteen requests of a second each.
PolicyBed busyBed(bool deadlineAware)
{
    BedSettings settings;
    settings.guards.deadlineAware = deadlineAware;
    PolicyBed bed(settings);
    for (int n = 0; n < 24; ++n)
        bed.ask("batch", 60s);
    return bed;
}

void run(PolicyBed& bed, int times, std::chrono::milliseconds runTime)
{
    for (int n = 0; n < times; ++n) {
        bed.ask("batch", 60s);
        bed.pass(runTime);
        bed.endOldest();
    }
}

} // namespace

TEST_CASE("a request that can't make its deadline is refused on arrival with a time to come back; not without the check")
{
    auto bed = busyBed(true);
    const auto late = bed.ask("batch", 1500ms);
    REQUIRE(bed.answerOf(late));
    CHECK(bed.answerOf(late)->at == bed.now());
    CHECK(bed.answerOf(late)->answer.outcome == Ports::Outcome::NotRun);
    CHECK(bed.answerOf(late)->answer.reason == Ports::Reason::DeadlineCannotBeMet);
    CHECK(bed.answerOf(late)->answer.retryAfter >= 1s);

    auto unaware = busyBed(false);
    CHECK_FALSE(unaware.answerOf(unaware.ask("batch", 1500ms)));
}

TEST_CASE("a request that waits is given up once its run no longer fits, and is answered in that instant")
{
    for (const bool deadlineAware : { true, false }) {
        auto bed = busyBed(deadlineAware);
        const auto asked = bed.now();
        const auto request = bed.ask("batch", 3500ms);
        CHECK_FALSE(bed.answerOf(request));
        bed.pass(2499ms);
        CHECK_FALSE(bed.answerOf(request));
        CHECK(bed.queued() == 17);
        bed.pass(2ms);
        CHECK(bed.queued() == (deadlineAware ? 16 : 17));
        CHECK((bed.answerOf(request) != nullptr) == deadlineAware);
        bed.pass(2s);
        REQUIRE(bed.answerOf(request));
        const auto wait = bed.answerOf(request)->at - asked;
        CHECK(wait == (deadlineAware ? 2500ms : 3500ms));
        if (deadlineAware)
            CHECK(bed.answerOf(request)->answer.retryAfter >= 1s); // The queue is still long.
    }
}

TEST_CASE("callers that are refused together are told to come back apart")
{
    auto bed = busyBed(true);
    std::vector<std::chrono::milliseconds> times;
    times.reserve(400);
    for (int n = 0; n < 400; ++n)
        times.push_back(bed.answerOf(bed.ask("batch", 1500ms))->answer.retryAfter);
    std::sort(times.begin(), times.end());
    CHECK(times.back() - times.front() >= 1500ms); // The wait is two seconds.
    // No tenth of the spread gets more than a fifth of them.
    const auto tenth = (times.back() - times.front()) / 10;
    for (auto it = times.begin(); it != times.end(); ++it)
        CHECK(std::upper_bound(it, times.end(), *it + tenth) - it <= 80);
}

TEST_CASE("run times are learned when declared ones are wrong either way")
{
    BedSettings settings;
    settings.declaredRunTime = 4s;
    PolicyBed tooLong(settings);
    CHECK(tooLong.answerOf(tooLong.ask("batch", 2s)) != nullptr);
    run(tooLong, 40, 100ms);
    CHECK_FALSE(tooLong.answerOf(tooLong.ask("batch", 2s)));

    settings.declaredRunTime = 25ms;
    PolicyBed tooShort(settings);
    const auto hopeful = tooShort.ask("batch", 500ms);
    CHECK_FALSE(tooShort.answerOf(hopeful));
    tooShort.pass(20ms);
    tooShort.endOldest();
    run(tooShort, 40, 1s);
    CHECK(tooShort.answerOf(tooShort.ask("batch", 500ms)) != nullptr);
}

TEST_CASE("a cancelled request frees its place at once, and the upstream is told")
{
    BedSettings settings;
    settings.limits.queueFactor = 1;
    PolicyBed bed(settings);
    std::vector<Ports::CallerHandle> handles;
    handles.reserve(16);
    for (int n = 0; n < 16; ++n)
        handles.push_back(bed.ask("batch", 60s));
    CHECK(bed.answerOf(bed.ask("batch", 60s)) != nullptr);
    bed.hangUp(handles.back());
    CHECK(bed.queued() == 7);
    CHECK_FALSE(bed.answerOf(bed.ask("batch", 60s)));
    const auto running = bed.out.front();
    bed.hangUp(handles.front());
    REQUIRE(bed.cancelled.size() == 1);
    CHECK(bed.cancelled.front() == running.attempt);
    const auto started = bed.startedPriorities.size();
    bed.end(running, Ports::AttemptEnd::Cancelled, 0);
    CHECK(bed.startedPriorities.size() == started + 1);
}
