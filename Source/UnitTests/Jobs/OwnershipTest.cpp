/// Tests of ownership: duties that no host serves although the store names a holder, and duties that no host claims.

#include "Jobs/Runtime/Ownership.h"
#include "JobFleet.h"

#include <doctest/doctest.h>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

/// Returns the host that the store names as the duty's holder; empty for none.
std::string storedHolder(JobFleet& fleet, const std::string& duty)
{
    const auto reply = fleet.store.state.read(Ownership::keyOf(duty), false, fleet.loop.now());
    if (reply.values.empty())
        return {};
    return reply.values.front().value.substr(0, reply.values.front().value.find(' '));
}

void deleteKey(JobFleet& fleet, const std::string& key)
{
    Ports::Transaction transaction;
    transaction.deletes = { key };
    fleet.store.state.transact(transaction, fleet.loop.now());
}

} // namespace

TEST_CASE("a host whose keys the store deleted without revoking their lease registers and claims duties again")
{
    JobFleet fleet(1, 2);
    fleet.settle();
    REQUIRE(storedHolder(fleet, "desk") == "host-0");
    deleteKey(fleet, "/marigold/control/members/host-0");
    deleteKey(fleet, Ownership::keyOf("desk"));
    fleet.runFor(3s);
    CHECK(storedHolder(fleet, "desk") == "host-0");
    const auto answer = fleet.call("host-0", Ports::JobVerb::Submit, jobId(1), oneStep(2));
    REQUIRE(answer);
    CHECK(answer->outcome == Ports::JobOutcome::Accepted);
}

TEST_CASE("a pool whose release the store didn't receive isn't left bound to the lease of the stopping host")
{
    JobFleet fleet(2, 2);
    fleet.settle();
    const auto owner = storedHolder(fleet, "desk");
    REQUIRE_FALSE(owner.empty());
    fleet.store.cutHosts = { owner };
    fleet.hosts.at(owner)->node->leave([] {});
    fleet.runFor(300ms);
    fleet.store.cutHosts.clear();
    fleet.runFor(3s);
    CHECK_FALSE(storedHolder(fleet, "desk").empty());
    CHECK(storedHolder(fleet, "desk") != owner);
}

TEST_CASE("a claim that is answered while its host is leaving doesn't leave the pool without a working owner")
{
    JobFleet fleet(2, 2);
    fleet.settle();
    const auto owner = storedHolder(fleet, "desk");
    REQUIRE_FALSE(owner.empty());
    fleet.killHost(owner);
    const auto claimer = fleet.hosts.begin()->first;
    for (auto time = 0ms; storedHolder(fleet, "desk") != claimer && time < 5s; time += 1ms)
        fleet.runFor(1ms);
    REQUIRE(fleet.ownerOf("desk").empty()); // The claim is stored, but its answer is still in flight.
    fleet.hosts.at(claimer)->node->leave([] {});
    fleet.addHost("host-2");
    fleet.runFor(3s);
    CHECK(storedHolder(fleet, "desk") == "host-2");
}

TEST_CASE("after an outage of the store pools return to their previous owners, not to the first hosts that register")
{
    for (auto outage = 3000ms; outage < 4300ms; outage += 100ms) {
        JobFleet fleet(0, 2);
        for (unsigned n = 0; n < 8; ++n) {
            fleet.addHost("host-" + std::to_string(n));
            fleet.runFor(170ms); // Spreads the renewals in time, and with them the hosts' recovery.
        }
        fleet.settle();
        const auto owner = storedHolder(fleet, "desk");
        fleet.store.isDown = true;
        fleet.runFor(outage);
        fleet.store.state.expireLeases(fleet.loop.now());
        fleet.runFor(100ms);
        fleet.store.isDown = false;
        fleet.runFor(4s);
        CAPTURE(outage.count());
        CHECK(storedHolder(fleet, "desk") == owner);
    }
}

TEST_CASE("a pool owned by a host with a small processor share moves to one with a large share, and its jobs complete")
{
    JobFleet fleet(0, 4);
    fleet.addHost("weak", 120);
    fleet.settle();
    REQUIRE(storedHolder(fleet, "desk") == "weak");
    for (unsigned n = 0; n < 10; ++n)
        fleet.call("weak", Ports::JobVerb::Submit, jobId(n), oneStep(6));
    fleet.addHost("strong", 1000);
    fleet.runFor(1500ms);
    for (unsigned n = 10; n < 20; ++n)
        fleet.call("weak", Ports::JobVerb::Submit, jobId(n), oneStep(6));
    fleet.runFor(3s);
    CHECK(storedHolder(fleet, "desk") == "strong");
    fleet.runFor(15s);
    for (unsigned n = 0; n < 20; ++n)
        CHECK(fleet.stateOf("weak", jobId(n)) == JobState::Completed);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
}
