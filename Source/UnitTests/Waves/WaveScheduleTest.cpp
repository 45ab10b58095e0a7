/// Hundreds of seeded schedules of one wave under failures. For each safeguard: with it off the fault is found, with it on never.

#include "Waves/WaveWorld.h"

#include <doctest/doctest.h>

using namespace Fakes;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seeds = 100;

/// Totals over all seeds.
struct Totals {
    unsigned belowBudget = 0;
    unsigned drainsWhileBelow = 0;
    unsigned rebootedTwice = 0;
    unsigned unfinished = 0;
    unsigned drains = 0;
    unsigned overspent = 0;
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
        totals.overspent += outcome.overspent;
        totals.drains += outcome.drains;
    }
    return totals;
}

WaveScenario racing()
{
    WaveScenario scenario;
    scenario.planners = 2;
    scenario.store = { 0.1, 0.1, 0.05, 1500ms };
    scenario.freezeChance = 0.01;
    return scenario;
}

WaveScenario failing()
{
    WaveScenario scenario;
    scenario.hostFailureChance = 0.02;
    scenario.unknownShare = 0.02;
    return scenario;
}

WaveScenario losingRack()
{
    WaveScenario scenario;
    scenario.rackFailureChance = 0.01;
    return scenario;
}

/// True once a schedule shows the fault; runs no further.
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
    CHECK(totals.overspent == 0);
    CHECK(totals.drainsWhileBelow == 0);
    CHECK(totals.unfinished == 0);
    CHECK(totals.drains > 0);
}

} // namespace

TEST_CASE("planners that race over a store with lost and late answers never overspend")
{
    auto scenario = racing();
    checkSafeAndFinished(runAll(scenario));
    auto withRack = scenario;
    withRack.rackFailureChance = 0.002;
    checkSafeAndFinished(runAll(withRack));
    scenario.guards.compareVersion = false;
    CHECK(isFaultFound(scenario, &WaveOutcome::overspent));
}

TEST_CASE("no drain begins before its reservation is stored")
{
    auto scenario = racing();
    scenario.guards.reserveBeforeDrain = false;
    CHECK(isFaultFound(scenario, &WaveOutcome::overspent));
}

TEST_CASE("hosts that are down or unknown are counted, and failures stop the wave until they are over")
{
    auto scenario = failing();
    checkSafeAndFinished(runAll(scenario));
    scenario.guards.countDownHosts = false;
    CHECK(isFaultFound(scenario, &WaveOutcome::drainsWhileBelow));
}

TEST_CASE("a lost rack in mid-wave leaves the budget whole")
{
    auto scenario = losingRack();
    checkSafeAndFinished(runAll(scenario));
    scenario.guards.lookAheadRack = false;
    CHECK(isFaultFound(scenario, &WaveOutcome::belowBudget));
}

TEST_CASE("a planner frozen beyond its duty does no harm, and the next one carries on from the records")
{
    auto scenario = racing();
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
