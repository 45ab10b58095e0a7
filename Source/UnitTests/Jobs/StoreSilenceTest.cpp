/// What callers are told while the store is silent.

#include "Jobs/Decision/StoreSilence.h"
#include "JobFleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;
using std::chrono::milliseconds;

namespace {

/// Submits a job at the pool's owner; fails the test unless it is answered at once.
Ports::JobAnswer submitAtOwner(JobFleet& fleet, unsigned number)
{
    const auto before = fleet.loop.now();
    const auto answer = fleet.call(fleet.ownerOf("desk"), JobVerb::Submit, jobId(number), oneStep(1));
    REQUIRE(answer);
    CHECK(fleet.loop.now() - before <= 5ms);
    return *answer;
}

/// Hands in a job whose record is under way to the store as the store falls silent. The caller gets no answer.
void submitIntoSilence(JobFleet& fleet, unsigned number)
{
    fleet.store.pauseLeases();
    CHECK_FALSE(fleet.call(fleet.ownerOf("desk"), JobVerb::Submit, jobId(number), oneStep(1), 400ms));
}

} // namespace

TEST_CASE("a store that answers some call isn't silent, and the age of a silence counts from the first call that it left unanswered")
{
    StoreSilence silence;
    const Common::Instant start(1h);
    CHECK(silence.age(start) == 0ms);
    silence.onSent(start);
    silence.onSent(start + 200ms);
    CHECK_FALSE(StoreSilence::isSilent(silence.age(start + 500ms)));
    CHECK(StoreSilence::isSilent(silence.age(start + 501ms)));
    CHECK(silence.age(start + 5s) == 5s);
    silence.onAnswered();
    CHECK(silence.age(start + 6s) == 0ms);
    silence.onSent(start + 7s);
    silence.onSent(start + 8s);
    CHECK(silence.age(start + 9s) == 2s);
}

TEST_CASE("a store isn't silent because one answer was lost")
{
    StoreSilence silence;
    const Common::Instant start(1h);
    silence.onSent(start);
    CHECK_FALSE(StoreSilence::isSilent(silence.age(start + 10s)));
    // Nor is it while the call after that one may still be answered in time.
    silence.onSent(start + 10s);
    CHECK_FALSE(StoreSilence::isSilent(silence.age(start + 10s + 250ms)));
    silence.onAnswered();
    CHECK(silence.age(start + 11s) == 0ms);
}

TEST_CASE("the Retry-After of a silent store never shrinks as the silence lasts, and has bounds")
{
    CHECK(StoreSilence::retryAfter(301ms) > 0ms);
    CHECK(StoreSilence::retryAfter(3s) > StoreSilence::retryAfter(1s));
    CHECK(StoreSilence::retryAfter(1h) <= 5s);
    for (auto age = 0ms; age < 20s; age += 100ms)
        CHECK(StoreSilence::retryAfter(age + 100ms) >= StoreSilence::retryAfter(age));
}

TEST_CASE("submissions that arrive while the store is silent are answered at once, with a Retry-After that grows with the silence")
{
    JobFleet fleet(2, 2);
    fleet.settle();
    submitIntoSilence(fleet, 1);
    std::vector<milliseconds> delays;
    for (unsigned n = 2; n < 8; ++n) {
        const auto answer = submitAtOwner(fleet, n);
        CHECK(answer.outcome == JobOutcome::Refused);
        CHECK(answer.reason == "store-stalled");
        delays.push_back(answer.retryAfter);
        fleet.runFor(500ms);
    }
    CHECK(std::ranges::is_sorted(delays));
    CHECK(delays.front() > 0ms);
    CHECK(delays.back() >= delays.front() + 1s);
    fleet.store.resume();
    fleet.runFor(8s);
    CHECK(fleet.stateOf("host-0", jobId(1)) == JobState::Completed);
    for (unsigned n = 2; n < 8; ++n)
        CHECK(fleet.call("host-0", JobVerb::Show, jobId(n))->outcome == JobOutcome::NoSuchJob);
}

// The owner knows of the silence by the renewals of its lease; a submission that it took would wait for the store.
TEST_CASE("the first submission to an idle pool is refused at once when the store has been silent for a while")
{
    JobFleet fleet(2, 2);
    fleet.settle();
    fleet.store.pauseLeases();
    fleet.runFor(2500ms);
    const auto answer = submitAtOwner(fleet, 1);
    CHECK(answer.outcome == JobOutcome::Refused);
    CHECK(answer.reason == "store-stalled");
}

TEST_CASE("a job whose record the store may yet take isn't called not run when its caller asks again")
{
    JobFleet fleet(2, 2);
    fleet.settle();
    submitIntoSilence(fleet, 1);
    CHECK(submitAtOwner(fleet, 1).outcome == JobOutcome::Unknown);
    fleet.store.resume();
    fleet.runFor(4s);
    CHECK(fleet.stateOf("host-0", jobId(1)) == JobState::Completed);
    CHECK(submitAtOwner(fleet, 1).outcome == JobOutcome::Accepted);
    CHECK(fleet.runMonitor.starts == 1);
}

TEST_CASE("a cancellation whose record the store may yet take isn't called not done when its caller asks again")
{
    JobFleet fleet(2, 2);
    fleet.setRunTime(20s);
    fleet.settle();
    const auto owner = fleet.ownerOf("desk");
    REQUIRE(fleet.call(owner, JobVerb::Submit, jobId(1), oneStep(1, 20s)));
    fleet.runFor(500ms);
    fleet.store.pauseLeases();
    CHECK_FALSE(fleet.call(owner, JobVerb::Cancel, jobId(1), {}, 400ms));
    const auto again = fleet.call(owner, JobVerb::Cancel, jobId(1));
    REQUIRE(again);
    CHECK(again->outcome == JobOutcome::Unknown);
    fleet.store.resume();
    fleet.runFor(4s);
    CHECK(fleet.stateOf("host-0", jobId(1)) == JobState::Cancelled);
}

TEST_CASE("states of jobs and repeats of stored submissions are answered while the store is silent and the pool waits for no commit")
{
    JobFleet fleet(2, 2);
    fleet.settle();
    REQUIRE(fleet.call(fleet.ownerOf("desk"), JobVerb::Submit, jobId(1), oneStep(1)));
    fleet.runFor(5s);
    fleet.store.pauseLeases();
    fleet.runFor(3s);
    const auto owner = fleet.ownerOf("desk");
    REQUIRE(submitAtOwner(fleet, 2).reason == "store-stalled");
    const auto shown = fleet.call(owner, JobVerb::Show, jobId(1));
    REQUIRE(shown);
    CHECK(shown->outcome != JobOutcome::Refused);
    CHECK(submitAtOwner(fleet, 1).outcome == JobOutcome::Accepted);
}
