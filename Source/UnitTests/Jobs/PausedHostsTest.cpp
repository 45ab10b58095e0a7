/// Hosts that don't run for some seconds and then go on with a view that has become outdated meanwhile.

#include "JobFleet.h"
#include "Jobs/Runtime/MemberText.h"
#include "Jobs/Runtime/StoreKeys.h"

#include <doctest/doctest.h>
#include <string>
#include <utility>
#include <vector>

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

// The claimer has seen a release. During its pause the next holder claims the duty and its lease lapses, so that it may still act.
TEST_CASE("a claim that was decided before a pause doesn't rely on the release by an earlier holder than the last")
{
    VirtualLoop loop;
    HostLoop hostLoop(loop);
    FakeStore store { loop };
    FakeStorePort port(store, "claimer", &hostLoop);
    const auto term = std::string(StoreKeys::terms) + "desk";
    const auto hold = [&](const std::string& holder) {
        store.put(Ownership::keyOf("desk"), holder);
        store.put(term, holder);
    };
    const auto endHold = [&](const std::string& newTerm) {
        Ports::Transaction transaction;
        transaction.deletes = { Ownership::keyOf("desk") };
        transaction.puts = { { term, newTerm, 0 } };
        store.state.transact(transaction, loop.now());
    };
    hold("first 1");
    // They have their turn first and miss it: the claimer's claim waits.
    for (const std::string name : { "second", "third", "fourth", "fifth" })
        store.put(StoreKeys::members + name, formatMember({ name, name + ":1", "dc", 2000 }));
    OwnershipSettings settings;
    settings.self = { "claimer", "claimer:1", "dc", 1000 };
    std::vector<Predecessor> predecessors;
    Ownership::Hooks hooks;
    hooks.acquired = [&predecessors](const std::string&, Fence, Predecessor predecessor) { predecessors.push_back(predecessor); };
    hooks.changed = [] {};
    Ownership ownership(hostLoop, port, settings, std::move(hooks));
    ownership.start();
    ownership.setDuties({ "desk" });
    loop.runFor(1500ms);
    endHold("released");
    loop.runFor(settings.claimStagger / 2);
    hostLoop.pause();
    hold("second 2");
    endHold("second 2");
    loop.runFor(1s);
    CHECK(predecessors.empty());
    hostLoop.resume(WakeOrder::TimersFirst);
    loop.runFor(3s);
    REQUIRE(predecessors.size() == 1);
    CHECK(predecessors.front() == Predecessor::Lapsed);
}
