#pragma once

/// A data centre in virtual time with planners that race for one wave over a faulty store, and the invariants checked at each step.

#include "Decision/Waves/WavePlanner.h"
#include "Waves/FakeFleet.h"
#include "Waves/FakeStore.h"

#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Fakes {

/// What happens in a run.
struct WaveScenario {
    std::size_t planners = 1;
    StoreFaults store;
    Decision::WaveGuards guards;
    double freezeChance = 0; ///< A planner stops for up to a minute, with the store's answers waiting for it.
    double rackFailureChance = 0; ///< Each step; one rack at a time.
    double hostFailureChance = 0; ///< Each step.
    double unknownShare = 0;
    std::chrono::seconds failureTime { 400 };
    std::chrono::minutes failuresEnd { 15 };
    bool dutyMoves = false; ///< Only one planner has the duty; it moves on when its holder is frozen.
};

/// What was seen.
struct WaveOutcome {
    unsigned belowBudget = 0; ///< Steps with fewer hosts available than the budget, with at most one rack lost.
    unsigned drainsWhileBelow = 0; ///< Drains begun although failures had already taken the pool to its budget.
    unsigned overspent = 0; ///< Steps without any failure in which the loss of one more rack would break a budget.
    unsigned drains = 0;
    unsigned rebootedTwice = 0;
    bool finished = false;
    std::chrono::seconds took { 0 };
};

/// Runs one seeded schedule to the end of the wave, or of the time allowed.
WaveOutcome runWave(const WaveScenario&, std::uint64_t seed);

} // namespace Fakes
