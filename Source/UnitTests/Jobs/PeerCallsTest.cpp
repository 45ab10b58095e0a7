/// Calls between hosts when the caller restarts while an answer is in flight, and when the owner's host is cut off.

#include "JobFleet.h"
#include "Jobs/Decision/PeerSilence.h"

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

// Replays the zone cut of a large installation: callers of the cut zone go on submitting, several jobs in each tenth of a second.
TEST_CASE("jobs that are submitted while the owner's host is cut off are refused as not run, but for those of the first 0.3 s")
{
    JobFleet fleet(3, 1);
    fleet.settle();
    const auto entryHost = dutylessHost(fleet);
    const auto owner = fleet.ownerOf("desk");
    std::map<JobOutcome, unsigned> outcomes;
    fleet.partitionedHosts.insert(owner);
    constexpr unsigned submissions = 60;
    for (unsigned n = 0; n < submissions; ++n) {
        Ports::JobCall submission;
        submission.verb = JobVerb::Submit;
        submission.host = "desk.example";
        submission.path = "/bookings/" + jobId(n);
        submission.spec = oneStep(1);
        fleet.hosts.at(entryHost)->node->onJobCall(std::move(submission), [&outcomes](const Ports::JobAnswer& answer) { ++outcomes[answer.outcome]; });
        fleet.runFor(20ms);
    }
    fleet.runFor(2s);
    CHECK(outcomes[JobOutcome::Unknown] <= 15);
    CHECK(outcomes[JobOutcome::Refused] + outcomes[JobOutcome::Unknown] == submissions);
    // A call after the cut is sent once the probe is answered.
    fleet.partitionedHosts.clear();
    const auto answer = fleet.call(entryHost, JobVerb::Submit, jobId(submissions), oneStep(1));
    REQUIRE(answer);
    CHECK(answer->outcome == JobOutcome::Accepted);
}

TEST_CASE("an owner that waits for the store isn't taken for cut off: later calls reach it")
{
    JobFleet fleet(3, 1);
    fleet.settle();
    const auto entryHost = dutylessHost(fleet);
    fleet.store.answersToLose = 1; // Of the owner's commit, which it settles after 0.9 s.
    Ports::JobCall submission;
    submission.verb = JobVerb::Submit;
    submission.host = "desk.example";
    submission.path = "/bookings/" + jobId(1);
    submission.spec = oneStep(1);
    std::optional<Ports::JobAnswer> first;
    fleet.hosts.at(entryHost)->node->onJobCall(std::move(submission), [&first](const Ports::JobAnswer& answer) { first = answer; });
    fleet.runFor(600ms);
    CHECK_FALSE(first);
    const auto later = fleet.call(entryHost, JobVerb::Submit, jobId(2), oneStep(1));
    REQUIRE(later);
    CHECK(later->reason == "store-stalled");
    fleet.runFor(1s);
    REQUIRE(first);
    CHECK(first->outcome == JobOutcome::Accepted);
}

TEST_CASE("a peer isn't silent while it answers other calls, nor after a new connection")
{
    Jobs::PeerSilence silence;
    const Common::Instant start(1h);
    silence.onSent("peer", start);
    CHECK_FALSE(silence.isSilent("peer", start + 299ms));
    CHECK(silence.isSilent("peer", start + 300ms));
    CHECK_FALSE(silence.isSilent("other", start + 300ms));
    silence.onReceived("peer");
    CHECK_FALSE(silence.isSilent("peer", start + 600ms));
    silence.onSent("peer", start + 700ms);
    silence.onSent("peer", start + 1500ms);
    CHECK(silence.isSilent("peer", start + 1500ms));
    silence.onDisconnected("peer");
    CHECK_FALSE(silence.isSilent("peer", start + 1500ms));
}
