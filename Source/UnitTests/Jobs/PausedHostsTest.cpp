/// Hosts that don't run for some seconds and then go on with a view that has become outdated meanwhile.

#include "JobFleet.h"

#include <doctest/doctest.h>
#include <string>
#include <utility>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;

namespace {

constexpr std::initializer_list<WakeOrder> wakeOrders { WakeOrder::TimersFirst, WakeOrder::PostsFirst, WakeOrder::AnswersFirst };

/// Makes a call without waiting for its answer, which is stored in `outcome`.
void callLater(JobFleet& fleet, const std::string& host, JobVerb verb, const std::string& id, std::optional<JobOutcome>& outcome)
{
    Ports::JobCall call;
    call.verb = verb;
    call.host = "desk.example";
    call.path = "/bookings/" + id;
    call.callerTimeout = 3s;
    fleet.hosts.at(host)->node->onJobCall(std::move(call), [&outcome](const Ports::JobAnswer& answer) { outcome = answer.outcome; });
}

/// Pauses the pool's owner until another host has the pool, and submits a job there. Returns the paused host.
std::string pauseOwnerAndSubmit(JobFleet& fleet, const std::string& id)
{
    auto owner = fleet.ownerOf("desk");
    fleet.pauseHost(owner);
    fleet.runFor(4s);
    for (const auto& [name, host] : fleet.hosts) {
        if (name == owner)
            continue;
        const auto answer = fleet.call(name, JobVerb::Submit, id, oneStep(1));
        REQUIRE(answer);
        REQUIRE(answer->outcome == JobOutcome::Accepted);
        return owner;
    }
    return {};
}

} // namespace

TEST_CASE("an owner that was paused until another host had its pool doesn't deny the jobs that were accepted there")
{
    for (const auto order : wakeOrders) {
        for (const auto verb : { JobVerb::Show, JobVerb::Cancel }) {
            JobFleet fleet(3, 2);
            fleet.settle();
            const auto owner = pauseOwnerAndSubmit(fleet, jobId(1));
            std::optional<JobOutcome> whilePaused;
            std::optional<JobOutcome> atOnce;
            callLater(fleet, owner, verb, jobId(1), whilePaused);
            fleet.runFor(1ms);
            fleet.resumeHost(owner, order);
            fleet.runFor(1ms);
            callLater(fleet, owner, verb, jobId(1), atOnce);
            fleet.runFor(3s);
            CAPTURE(static_cast<int>(order));
            CAPTURE(static_cast<int>(verb));
            CHECK(whilePaused.value_or(JobOutcome::Unknown) != JobOutcome::NoSuchJob);
            CHECK(atOnce.value_or(JobOutcome::Unknown) != JobOutcome::NoSuchJob);
            CHECK(fleet.call(owner, JobVerb::Show, jobId(1))->outcome == JobOutcome::Shown);
        }
    }
}
