/// Jobs count from their callers' first attempt to hand them in, not from their acceptance after an outage.

#include "Jobs/Decision/FirstAttempts.h"
#include "JobFleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;
using std::chrono::milliseconds;

namespace {

/// Numbers of the jobs 1 to `count` in the order in which they are shown as completed.
std::vector<unsigned> completionOrder(JobFleet& fleet, unsigned count, milliseconds time)
{
    std::vector<unsigned> order;
    for (const auto end = fleet.loop.now() + time; fleet.loop.now() < end; fleet.runFor(20ms)) {
        for (unsigned n = 1; n <= count; ++n) {
            if (std::ranges::find(order, n) == order.end() && fleet.stateOf("host-0", jobId(n)) == JobState::Completed)
                order.push_back(n);
        }
    }
    return order;
}

} // namespace

TEST_CASE("the first of a caller's attempts counts, however many follow, until none has come for a while")
{
    FirstAttempts attempts;
    const Common::Instant start(1h);
    for (auto time = 0ms; time <= 20s; time += 1s)
        attempts.noteRefused("1", start + time);
    CHECK(attempts.age("1", start + 21s) == 21s);
    CHECK(attempts.age("2", start + 21s) == 0ms);
    CHECK(attempts.age("1", start + 32s) == 0ms);
}

TEST_CASE("of more callers than are remembered, the jobs of the others count from their acceptance")
{
    FirstAttempts attempts;
    const Common::Instant start(1h);
    constexpr unsigned callers = FirstAttempts::maximumIds;
    for (unsigned n = 0; n < callers; ++n)
        attempts.noteRefused(std::to_string(n), start);
    CHECK(attempts.age("0", start + 1s) == 1s);
    CHECK(attempts.age(std::to_string(callers - 1), start + 1s) == 0ms);
}

TEST_CASE("after a silence jobs that can still end in time go before those that waited too long at their callers, and none is left out")
{
    JobFleet fleet(1, 0);
    fleet.settle();
    fleet.store.pauseLeases();
    // A submission that is under way shows the silence.
    CHECK_FALSE(fleet.call("host-0", JobVerb::Submit, jobId(101), oneStep(1), 400ms));
    // The objective is 5 s: the first three are late when the only worker comes, and still of use.
    const auto submit = [&fleet](unsigned n) { return fleet.call("host-0", JobVerb::Submit, jobId(n), oneStep(1, 2s)); };
    for (const unsigned n : { 1U, 2U, 3U }) {
        const auto refused = submit(n);
        REQUIRE(refused);
        CHECK(refused->outcome == JobOutcome::Refused);
    }
    fleet.runFor(1600ms);
    fleet.store.resume();
    fleet.runFor(1500ms);
    for (const unsigned n : { 1U, 2U, 3U, 4U, 5U }) {
        const auto accepted = submit(n);
        REQUIRE(accepted);
        CHECK(accepted->outcome == JobOutcome::Accepted);
    }
    fleet.runFor(1s);
    fleet.addWorker("w0", "m0", 1);
    fleet.publishWorker("w0");
    CHECK(completionOrder(fleet, 5, 6s) == std::vector<unsigned> { 4, 5, 1, 2, 3 });
}
