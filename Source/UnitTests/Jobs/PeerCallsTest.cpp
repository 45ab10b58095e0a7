/// Calls between hosts, when one of them starts again while an answer is on its way.

#include "JobFleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <utility>

using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;

namespace {

/// A host that holds no duty, so that all its calls are those of its callers.
std::string dutylessHost(const JobFleet& fleet)
{
    const auto it = std::ranges::find_if(fleet.hosts, [&fleet](const auto& entry) { return entry.first != fleet.ownerOf("desk") && entry.first != fleet.ownerOf("~fleet"); });
    REQUIRE(it != fleet.hosts.end());
    return it->first;
}

} // namespace

TEST_CASE("an answer to a call of a host's earlier incarnation isn't taken for that to a caller of the present one")
{
    JobFleet fleet(3, 1);
    fleet.settle();
    const auto door = dutylessHost(fleet);
    // The owner hears of its commit only after 0.9 s.
    fleet.store.answersToLose = 1;
    Ports::JobCall submission;
    submission.verb = JobVerb::Submit;
    submission.host = "desk.example";
    submission.path = "/bookings/" + jobId(1);
    submission.spec = oneStep(1);
    bool isAnswered = false;
    fleet.hosts.at(door)->node->onJobCall(std::move(submission), [&isAnswered](const Ports::JobAnswer&) { isAnswered = true; });
    fleet.runFor(5ms);
    CHECK_FALSE(isAnswered);
    fleet.killHost(door);
    fleet.addHost(door);
    fleet.runFor(50ms);
    const auto answer = fleet.call(door, JobVerb::Show, jobId(2));
    REQUIRE(answer);
    CHECK(answer->outcome == JobOutcome::NoSuchJob);
}
