/// Calls between hosts when the caller restarts while an answer is in flight.

#include "JobFleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <utility>

using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;

namespace {

/// Returns a host that holds no duty, so that it makes calls only on behalf of its callers.
std::string dutylessHost(const JobFleet& fleet)
{
    const auto it = std::ranges::find_if(fleet.hosts, [&fleet](const auto& entry) { return entry.first != fleet.ownerOf("desk") && entry.first != fleet.ownerOf("~fleet"); });
    REQUIRE(it != fleet.hosts.end());
    return it->first;
}

} // namespace

TEST_CASE("an answer to a call of a host's earlier incarnation isn't matched to a call of the current one")
{
    JobFleet fleet(3, 1);
    fleet.settle();
    const auto entryHost = dutylessHost(fleet);
    // The answer to the owner's commit is lost, so that the owner answers only after the timeout of 0.9 s.
    fleet.store.answersToLose = 1;
    Ports::JobCall submission;
    submission.verb = JobVerb::Submit;
    submission.host = "desk.example";
    submission.path = "/bookings/" + jobId(1);
    submission.spec = oneStep(1);
    bool isAnswered = false;
    fleet.hosts.at(entryHost)->node->onJobCall(std::move(submission), [&isAnswered](const Ports::JobAnswer&) { isAnswered = true; });
    fleet.runFor(5ms);
    CHECK_FALSE(isAnswered);
    fleet.killHost(entryHost);
    fleet.addHost(entryHost);
    fleet.runFor(50ms);
    const auto answer = fleet.call(entryHost, JobVerb::Show, jobId(2));
    REQUIRE(answer);
    CHECK(answer->outcome == JobOutcome::NoSuchJob);
}
