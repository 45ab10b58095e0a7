/// Runs hundreds of seeded schedules of one wave under failures. Each safeguard is shown to be needed: the failure occurs in
/// some schedule with the safeguard off, and in none with all safeguards on.

#include "Waves/WaveSimulation.h"

#include <doctest/doctest.h>

using namespace Fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seeds = 100;

/// Sums over all seeds.
struct Totals {
    unsigned belowBudget = 0;
    unsigned drainsWhileBelow = 0;
    unsigned rebootedTwice = 0;
    unsigned unfinished = 0;
    unsigned drains = 0;
    unsigned overcommitted = 0;
};

Totals runAll(const WaveScenario& scenario, std::uint64_t count = seeds)
{
    Totals totals;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        const auto outcome = runWave(scenario, seed * 7919);
        totals.belowBudget += outcome.belowBudget;
        totals.drainsWhileBelow += outcome.drainsWhileBelow;
        totals.rebootedTwice += outcome.rebootedTwice;
        totals.unfinished += !outcome.finished;
        totals.overcommitted += outcome.overcommitted;
        totals.drains += outcome.drains;
    }
    return totals;
}

WaveScenario racingPlanners()
{
    WaveScenario scenario;
    scenario.planners = 2;
    scenario.store = { 0.1, 0.1, 0.05, 1500ms };
    scenario.freezeChance = 0.01;
    return scenario;
}

WaveScenario failingHosts()
{
    WaveScenario scenario;
    scenario.hostFailureChance = 0.02;
    scenario.unknownShare = 0.02;
    return scenario;
}

WaveScenario failingRacks()
{
    WaveScenario scenario;
    scenario.rackFailureChance = 0.01;
    return scenario;
}

/// True if some seed shows the fault; stops at the first one.
bool isFaultFound(const WaveScenario& scenario, unsigned WaveOutcome::*fault)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        if (runWave(scenario, seed * 7919).*fault)
            return true;
    }
    return false;
}

void checkSafeAndFinished(const Totals& totals)
{
    CHECK(totals.belowBudget == 0);
    CHECK(totals.overcommitted == 0);
    CHECK(totals.drainsWhileBelow == 0);
    CHECK(totals.unfinished == 0);
    CHECK(totals.drains > 0);
}

} // namespace

TEST_CASE("concurrent planners over a store with lost and late replies never exceed a budget")
{
    auto scenario = racingPlanners();
    checkSafeAndFinished(runAll(scenario));
    auto withRack = scenario;
    withRack.rackFailureChance = 0.002;
    checkSafeAndFinished(runAll(withRack));
    scenario.guards.compareVersion = false;
    CHECK(isFaultFound(scenario, &WaveOutcome::overcommitted));
}

TEST_CASE("drains before their reservation is stored would exceed a budget")
{
    auto scenario = racingPlanners();
    scenario.guards.reserveBeforeDrain = false;
    CHECK(isFaultFound(scenario, &WaveOutcome::overcommitted));
}

TEST_CASE("hosts that are down or unknown count against the budget, and failures stop the wave until they are over")
{
    auto scenario = failingHosts();
    checkSafeAndFinished(runAll(scenario));
    scenario.guards.excludeDownHosts = false;
    CHECK(isFaultFound(scenario, &WaveOutcome::drainsWhileBelow));
}

TEST_CASE("the loss of a rack during a wave breaks no budget")
{
    auto scenario = failingRacks();
    checkSafeAndFinished(runAll(scenario));
    scenario.guards.tolerateRackLoss = false;
    CHECK(isFaultFound(scenario, &WaveOutcome::belowBudget));
}

TEST_CASE("a planner frozen past the end of its duty breaks no budget, and the next one finishes the wave from the records")
{
    auto scenario = racingPlanners();
    scenario.planners = 3;
    scenario.dutyMoves = true;
    scenario.freezeChance = 0.05;
    checkSafeAndFinished(runAll(scenario));
}

TEST_CASE("without failures every host is rebooted exactly once")
{
    WaveScenario scenario;
    const auto totals = runAll(scenario, 20);
    checkSafeAndFinished(totals);
    CHECK(totals.rebootedTwice == 0);
    CHECK(totals.drains == 20 * 21);
}
