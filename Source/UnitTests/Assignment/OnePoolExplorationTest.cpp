/// Exhaustive exploration of the protocol that keeps every upstream in at most one pool: it is safe with all safeguards, and
/// each safeguard is needed.

#include "Assignment/Explorer.h"
#include "Assignment/Scenarios.h"

#include <cstdio>
#include <doctest/doctest.h>

using namespace OnePool;
using Decision::AssignmentGuards;

namespace {

constexpr std::size_t maximumStates = 400000;

struct NamedScenario {
    const char* name;
    Scenario scenario;
};

struct GuardCase {
    const char* guard;
    bool AssignmentGuards::*member;
    Scenario scenario;
};

void print(const char* name, const Exploration& exploration)
{
    std::printf("%-28s %8zu states, %s\n", name, exploration.states,
        exploration.violation.empty() ? "no violation" : exploration.violation.c_str());
    std::fflush(stdout);
}

void checkSafe(const NamedScenario& named)
{
    INFO(named.name);
    const Exploration exploration = explore(named.scenario, maximumStates);
    print(named.name, exploration);
    for (const std::string& step : exploration.trace)
        MESSAGE(step);
    CHECK(exploration.violation.empty());
    CHECK(exploration.exhausted);
    CHECK(exploration.moveCompleted);
}

} // namespace

TEST_CASE("no reachable state has an upstream in two pools")
{
    const NamedScenario cases[] = {
        { "late renewal", lateRenewal() },
        { "new lease", newLease() },
        { "restart, pinned", restart(true) },
        { "abort and retry", abortAndRetry() },
        { "racing movers", racingMovers() },
        { "two movers, floating", twoMovers(false) },
        { "two hosts, floating", twoHosts(false) },
        { "two hosts, pinned", twoHosts(true) },
        { "two upstreams swap pools", swap() },
        { "reordered reads", reorderedReads() },
        { "long pause before sending", longPause() },
        { "long work", longWork() },
        { "unpin and move", unpinAndMove() },
    };
    for (const NamedScenario& named : cases)
        checkSafe(named);
}

// Each of these scenarios is also in the list above, where it is shown to be safe with all safeguards on.
TEST_CASE("with any one safeguard off, some reachable state has an upstream in two pools")
{
    const GuardCase cases[] = {
        { "leaseBeforeDispatch", &AssignmentGuards::leaseBeforeDispatch, lateRenewal() },
        { "leaseCountedFromRequest", &AssignmentGuards::leaseCountedFromRequest, lateRenewal() },
        { "marginBeforeExpiry", &AssignmentGuards::marginBeforeExpiry, longPause() },
        { "readAfterLease", &AssignmentGuards::readAfterLease, newLease() },
        { "rejectOlderVersions", &AssignmentGuards::rejectOlderVersions, reorderedReads() },
        { "idleRequiresNoneInFlight", &AssignmentGuards::idleRequiresNoneInFlight, lateRenewal() },
        { "countAbandonedWork", &AssignmentGuards::countAbandonedWork, lateRenewal() },
        { "explicitAnswersForPinned", &AssignmentGuards::explicitAnswersForPinned, twoHosts(true) },
        { "waitForOrphanedWork", &AssignmentGuards::waitForOrphanedWork, longWork() },
        { "answersMatchIncarnation", &AssignmentGuards::answersMatchIncarnation, restart(true) },
        { "answersMatchVersion", &AssignmentGuards::answersMatchVersion, abortAndRetry() },
        { "evidenceFromCurrentDrain", &AssignmentGuards::evidenceFromCurrentDrain, newLease() },
        { "waitCountedFromGone", &AssignmentGuards::waitCountedFromGone, restart(true) },
        { "unpinOnlyWhenIdle", &AssignmentGuards::unpinOnlyWhenIdle, unpinAndMove() },
        { "compareOnWrite", &AssignmentGuards::compareOnWrite, abortAndRetry() },
        { "compareOnWrite, two movers", &AssignmentGuards::compareOnWrite, racingMovers() },
    };
    for (const GuardCase& it : cases) {
        INFO(it.guard);
        Scenario scenario = it.scenario;
        scenario.guards.*(it.member) = false;
        scenario.checkOnlyTwoPools = true;
        const Exploration exploration = explore(scenario, maximumStates);
        print(it.guard, exploration);
        CHECK(exploration.violation.ends_with("is in two pools"));
    }
}
