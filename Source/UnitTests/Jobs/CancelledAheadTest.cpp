/// Tests of jobs that are cancelled before their submission arrives.

#include "JobFleet.h"
#include "Jobs/Decision/JobTable.h"

#include <doctest/doctest.h>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;

namespace {

/// Hands the job in without waiting for the answer.
std::shared_ptr<std::optional<Ports::JobAnswer>> submitLater(JobFleet& fleet, const std::string& host, const JobId& id)
{
    auto answer = std::make_shared<std::optional<Ports::JobAnswer>>();
    Ports::JobCall call;
    call.verb = JobVerb::Submit;
    call.host = "desk.example";
    call.path = "/bookings/" + id;
    call.spec = oneStep(2);
    fleet.hosts.at(host)->node->onJobCall(std::move(call), [answer](const Ports::JobAnswer& it) { *answer = it; });
    return answer;
}

JobOutcome outcomeOf(JobFleet& fleet, const std::string& host, JobVerb verb, const JobId& id)
{
    const auto answer = fleet.call(host, verb, id, verb == JobVerb::Submit ? std::optional(oneStep(2)) : std::nullopt);
    REQUIRE(answer);
    return answer->outcome;
}

} // namespace

// The host forwarded the job once it went on, and the job ran to its end after its cancelling had been acknowledged with 410.
TEST_CASE("a job whose submission waits at a paused host isn't started after another host has acknowledged its cancelling")
{
    for (const auto order : { WakeOrder::TimersFirst, WakeOrder::PostsFirst, WakeOrder::AnswersFirst }) {
        for (const bool pausesOwner : { false, true }) {
            CAPTURE(static_cast<int>(order));
            CAPTURE(pausesOwner);
            JobFleet fleet(3, 2);
            fleet.settle();
            const auto owner = fleet.ownerOf("desk");
            std::vector<std::string> others;
            for (const auto& [name, host] : fleet.hosts) {
                if (name != owner)
                    others.push_back(name);
            }
            const auto paused = pausesOwner ? owner : others.at(0);
            const auto& canceller = others.at(1);
            fleet.pauseHost(paused);
            const auto submitted = submitLater(fleet, paused, jobId(1));
            fleet.runFor(3500ms);
            REQUIRE(outcomeOf(fleet, canceller, JobVerb::Cancel, jobId(1)) == JobOutcome::NoSuchJob);
            fleet.resumeHost(paused, order);
            fleet.runFor(5s);
            CHECK(fleet.runMonitor.starts == 0);
            REQUIRE(*submitted);
            CHECK((*submitted)->outcome != JobOutcome::Accepted);
            CHECK(outcomeOf(fleet, canceller, JobVerb::Show, jobId(1)) == JobOutcome::NoSuchJob);
        }
    }
}

TEST_CASE("a job that was cancelled before it was submitted isn't accepted by the next owner either, with or without a snapshot")
{
    for (const unsigned jobsBetween : { 0U, 500U }) {
        CAPTURE(jobsBetween);
        JobFleet fleet(3, 2);
        fleet.settle();
        REQUIRE(outcomeOf(fleet, "host-1", JobVerb::Cancel, jobId(1)) == JobOutcome::NoSuchJob);
        for (unsigned n = 0; n < jobsBetween; ++n) { // Each is a segment of the journal at least; a snapshot follows 400 of them.
            REQUIRE(outcomeOf(fleet, "host-1", JobVerb::Cancel, jobId(2 + n)) == JobOutcome::NoSuchJob);
            fleet.runFor(25ms);
        }
        fleet.killHost(fleet.ownerOf("desk"));
        fleet.runFor(15s);
        for (const auto& [host, it] : fleet.hosts)
            CHECK(outcomeOf(fleet, host, JobVerb::Submit, jobId(1)) == JobOutcome::Refused);
        CHECK(outcomeOf(fleet, fleet.hosts.begin()->first, JobVerb::Submit, jobId(900)) == JobOutcome::Accepted);
        fleet.runFor(2s);
        CHECK(fleet.runMonitor.starts == 2);
    }
}

// The cancelling must be stored before it is acknowledged.
TEST_CASE("the cancelling of an unknown job isn't acknowledged while the store is silent")
{
    JobFleet fleet(3, 2);
    fleet.settle();
    fleet.store.losesWritesUnder = "/marigold/";
    const auto answer = fleet.call(fleet.ownerOf("desk"), JobVerb::Cancel, jobId(1), {}, 500ms);
    CHECK((!answer || answer->outcome == JobOutcome::Refused || answer->outcome == JobOutcome::Unknown));
}

TEST_CASE("a cancelled unknown job survives snapshots, keeps its pool and queues in use, and is forgotten with the finished jobs")
{
    const Common::WallTime at { 5000ms };
    JobTable table;
    table.apply(JobCancelled { jobId(1), at });
    JobTable restored;
    for (const auto& it : table.snapshot())
        restored.apply(it);
    JobAccepted late;
    late.job = jobId(1);
    late.queue = "bookings";
    late.spec = oneStep(1);
    restored.apply(late);
    CHECK(restored.stateOf(jobId(1)) == nullptr);
    REQUIRE(restored.cancelledAheadAt(jobId(1)));
    CHECK(*restored.cancelledAheadAt(jobId(1)) == at);
    CHECK(restored.hasJobs(at));
    CHECK(restored.hasJobOf("bookings", at));
    CHECK_FALSE(restored.hasJobs(at + 1ms));
    restored.forgetFinished(at + 1ms);
    CHECK(restored.cancelledAheadAt(jobId(1)) == nullptr);
    CHECK(restored.snapshot().empty());
}
