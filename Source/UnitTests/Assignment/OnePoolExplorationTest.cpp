/// Exhaustive exploration of the one-pool protocol: safe with every guard, and each guard is needed.

#include "Assignment/Explorer.h"
#include "Assignment/Scenarios.h"

#include <cstdio>
#include <doctest/doctest.h>

using namespace OnePool;
using Decision::AssignmentGuards;

namespace {

constexpr std::size_t maximumStates = 400000;

struct Named {
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

void checkSafe(const Named& named)
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
    const Named cases[] = {
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
    for (const Named& named : cases)
        checkSafe(named);
}

// Every scenario here stands in the list above, where it is shown safe with all guards on.
TEST_CASE("without any one guard the exploration finds an upstream in two pools")
{
    const GuardCase cases[] = {
        { "leaseBeforeDispatch", &AssignmentGuards::leaseBeforeDispatch, lateRenewal() },
        { "leaseCountedFromAsking", &AssignmentGuards::leaseCountedFromAsking, lateRenewal() },
        { "marginBeforeExpiry", &AssignmentGuards::marginBeforeExpiry, longPause() },
        { "readAfterLease", &AssignmentGuards::readAfterLease, newLease() },
        { "versionsOnlyRise", &AssignmentGuards::versionsOnlyRise, reorderedReads() },
        { "idleMeansNoneInFlight", &AssignmentGuards::idleMeansNoneInFlight, lateRenewal() },
        { "countAbandonedWork", &AssignmentGuards::countAbandonedWork, lateRenewal() },
        { "explicitAnswersForPinned", &AssignmentGuards::explicitAnswersForPinned, twoHosts(true) },
        { "waitForLeftWork", &AssignmentGuards::waitForLeftWork, longWork() },
        { "answersMatchIncarnation", &AssignmentGuards::answersMatchIncarnation, restart(true) },
        { "answersMatchVersion", &AssignmentGuards::answersMatchVersion, abortAndRetry() },
        { "evidenceOfThisDrain", &AssignmentGuards::evidenceOfThisDrain, newLease() },
        { "goneCountedFromGone", &AssignmentGuards::goneCountedFromGone, restart(true) },
        { "unpinOnlyWhenIdle", &AssignmentGuards::unpinOnlyWhenIdle, unpinAndMove() },
        { "writesCompare", &AssignmentGuards::writesCompare, abortAndRetry() },
        { "writesCompare, two movers", &AssignmentGuards::writesCompare, racingMovers() },
    };
    for (const GuardCase& it : cases) {
        INFO(it.guard);
        Scenario scenario = it.scenario;
        scenario.guards.*(it.member) = false;
        scenario.onlyTwoPools = true;
        const Exploration exploration = explore(scenario, maximumStates);
        print(it.guard, exploration);
        CHECK(exploration.violation.ends_with("is in two pools"));
    }
}
