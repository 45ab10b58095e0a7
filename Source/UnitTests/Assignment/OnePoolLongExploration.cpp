/// Explorations that take too long for each build. Run by hand with assignment_exploration_long.

#include "Assignment/Explorer.h"
#include "Assignment/Scenarios.h"

#include <cstdio>
#include <doctest/doctest.h>

using namespace OnePool;

namespace {

constexpr std::size_t maximumStates = 4000000;

void checkSafe(const char* name, Scenario scenario)
{
    INFO(name);
    scenario.uncertainWrites = true;
    const Exploration exploration = explore(scenario, maximumStates);
    std::printf("%-28s %8zu states, %s, %s\n", name, exploration.states, exploration.exhausted ? "all" : "cut short",
        exploration.violation.empty() ? "no violation" : exploration.violation.c_str());
    std::fflush(stdout);
    CHECK(exploration.violation.empty());
    CHECK(exploration.exhausted);
    CHECK(exploration.moveCompleted);
}

} // namespace

TEST_CASE("no reachable state of the larger scenarios has an upstream in two pools")
{
    checkSafe("new lease", newLease());
    checkSafe("restart, floating", restart(false));
    checkSafe("restart, pinned", restart(true));
    checkSafe("racing movers", racingMovers());
    checkSafe("two upstreams swap pools", swap());
    for (const bool pinned : { false, true }) {
        Scenario scenario = twoMovers(pinned);
        scenario.leaseCalls = true;
        checkSafe(pinned ? "two movers, pinned" : "two movers, floating", scenario);
        scenario = twoHosts(pinned);
        scenario.leaseCalls = true;
        scenario.dispatches = false;
        checkSafe(pinned ? "two hosts, pinned" : "two hosts, floating", scenario);
    }
}
