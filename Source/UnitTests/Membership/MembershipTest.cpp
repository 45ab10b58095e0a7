/// Invariants of membership and duties under seeded schedules of faults, with all safeguards and with each one turned off.

#include "Membership/Fleet.h"

#include <doctest/doctest.h>

using namespace Decision;
using namespace Testing;

namespace {

constexpr std::uint64_t scheduleCount = 200;

/// Violations seen over all schedules.
std::set<Violation> violationsOf(MembershipGuards guards)
{
    std::set<Violation> violations;
    for (std::uint64_t seed = 1; seed <= scheduleCount; ++seed) {
        Fleet fleet(seed, guards);
        fleet.runFaults(seconds(60));
        fleet.checkConverged();
        violations.insert(fleet.violations.begin(), fleet.violations.end());
    }
    return violations;
}

/// True when a schedule shows the violation; the search stops at the first one.
bool findsViolation(Violation violation, MembershipGuards guards, DutyGuards dutyGuards = {})
{
    for (std::uint64_t seed = 1; seed <= scheduleCount; ++seed) {
        Fleet fleet(seed, guards, dutyGuards);
        fleet.stopAt = violation;
        fleet.runFaults(seconds(60));
        if (fleet.violations.count(violation))
            return true;
    }
    return false;
}

/// Disconnects a host from the store but not from its peers; true when it stays in the view.
bool keepsHostCutOffFromStore(std::uint64_t seed, MembershipGuards guards)
{
    Fleet fleet(seed, guards);
    fleet.runFor(seconds(10) + fleet.simulation.between(milliseconds(0), milliseconds(5000)));
    const auto name = fleet.hosts[seed % fleet.hosts.size()]->name;
    fleet.store.disconnectedHosts.insert(name);
    fleet.runFor(seconds(60));
    const auto view = decodeView(fleet.store.find(viewKey("imlil"))->value);
    return view->find(name);
}

} // namespace

TEST_CASE("membership invariants hold through store faults, disconnected hosts, pauses and restarts")
{
    const auto violations = violationsOf({});
    for (const auto violation : violations)
        FAIL_CHECK("violation ", static_cast<int>(violation));
    CHECK(violations.empty());
}

TEST_CASE("each safeguard of membership prevents a violation that occurs without it")
{
    MembershipGuards guards;
    SUBCASE("replacing the older incarnation in the view")
    {
        guards.replaceOlderSelf = false;
        CHECK(findsViolation(Violation::TwoIncarnationsInView, guards));
    }
    SUBCASE("stopping when a newer incarnation has joined")
    {
        guards.yieldToNewer = false;
        CHECK(findsViolation(Violation::ReplacedIncarnationRejoined, guards));
    }
    SUBCASE("waiting until the older incarnation's lease key is gone")
    {
        guards.awaitOlderLease = false;
        CHECK(findsViolation(Violation::LeaseUsedAfterExpiry, guards));
    }
    SUBCASE("counting the lease from before the request")
    {
        guards.countLeaseFromRequest = false;
        CHECK(findsViolation(Violation::LeaseUsedAfterExpiry, guards));
    }
    SUBCASE("compare-and-swap of the view")
    {
        guards.compareAndSwap = false;
        CHECK(findsViolation(Violation::LostViewChange, guards));
    }
    SUBCASE("removal only once the lease key is gone")
    {
        guards.requireLeaseGone = false;
        CHECK(findsViolation(Violation::RemovedWhileLeased, guards));
    }
}

TEST_CASE("a host that can't reach the store but reaches its peers stays in the view")
{
    MembershipGuards withoutTimeout;
    withoutTimeout.requireRemovalTimeout = false;
    std::size_t removed = 0;
    for (std::uint64_t seed = 1; seed <= scheduleCount; ++seed) {
        CHECK(keepsHostCutOffFromStore(seed, {}));
        removed += keepsHostCutOffFromStore(seed, withoutTimeout) ? 0 : 1;
    }
    CHECK(removed > 0);
}

TEST_CASE("a late write of a paused duty holder is rejected by its fence")
{
    DutyGuards guards;
    guards.fence = false;
    CHECK(findsViolation(Violation::StaleDutyWrite, {}, guards));
}

TEST_CASE("a leaving host is removed from the view at once, a dead one within lease, removal timeout and retry")
{
    Fleet fleet(7, {});
    fleet.runFor(seconds(10));
    fleet.hosts[0]->leave();
    fleet.runFor(seconds(1));
    CHECK(fleet.hosts[1]->membership->currentView().members.size() == 3);
    CHECK_FALSE(fleet.hosts[0]->membership->isMember());
    fleet.hosts[0]->kill();
    fleet.hosts[2]->kill();
    fleet.runFor(seconds(3));
    CHECK_FALSE(fleet.hosts[1]->membership->alive("host-2", fleet.simulation.now()));
    fleet.runFor(seconds(17));
    CHECK(fleet.hosts[1]->membership->currentView().members.size() == 2);
    CHECK(fleet.hosts[1]->membership->currentView() == fleet.hosts[3]->membership->currentView());
}

TEST_CASE("while the store is down the view stays as it is and leases expire")
{
    Fleet fleet(3, {});
    fleet.runFor(seconds(10));
    const auto epoch = fleet.hosts[0]->membership->epoch();
    fleet.store.faults.down = true;
    fleet.hosts[1]->kill();
    fleet.runFor(seconds(60));
    CHECK(fleet.hosts[0]->membership->epoch() == epoch);
    CHECK(fleet.hosts[0]->membership->isMember());
    CHECK_FALSE(fleet.hosts[0]->membership->leaseValid(fleet.simulation.now()));
    CHECK(fleet.hosts[0]->membership->aliveMembers(fleet.simulation.now()).size() == 3);
    fleet.store.faults.down = false;
    fleet.runFor(seconds(30));
    CHECK(fleet.hosts[0]->membership->currentView().members.size() == 3);
    CHECK(fleet.hosts[0]->membership->leaseValid(fleet.simulation.now()));
}
