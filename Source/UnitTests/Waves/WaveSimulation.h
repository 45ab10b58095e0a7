#pragma once

/// Simulation of one data centre in virtual time: planners run the same wave concurrently over a faulty store, and invariants
/// are checked after each step.

#include "Decision/Waves/WavePlanner.h"
#include "Waves/FakeFleet.h"
#include "Waves/FakeStore.h"

#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Fakes {

/// Configuration of a run. Chances are per step, from 0 to 1.
struct WaveScenario {
    std::size_t planners = 1;
    StoreFaults store;
    Decision::WaveGuards guards;
    double freezeChance = 0; ///< A planner freezes for up to a minute; replies of the store are queued until it resumes.
    double rackFailureChance = 0; ///< A rack fails; at most one at a time.
    double hostFailureChance = 0; ///< A host fails.
    double unknownShare = 0; ///< Share of hosts that a view shows as unknown.
    std::chrono::seconds failureTime { 400 }; ///< How long a failed host or rack stays down.
    std::chrono::minutes failuresEnd { 15 }; ///< No faults are injected after this time.
    bool dutyMoves = false; ///< Only one planner holds the duty; the next one takes over when the holder is frozen. Off: all act at once.
};

/// Result of a run.
struct WaveOutcome {
    unsigned belowBudget = 0; ///< Steps with fewer available hosts than the budget requires, with at most one rack lost.
    unsigned drainsWhileBelow = 0; ///< Drains that took effect although known failures had already put the pool below its budget.
    unsigned overcommitted = 0; ///< Steps before any failure at which the loss of a rack would break a budget.
    unsigned drains = 0;
    unsigned rebootedTwice = 0; ///< Hosts that were rebooted more than once.
    bool finished = false;
    std::chrono::seconds duration { 0 };
};

/// Runs one seeded schedule until the wave is finished or 2 h of virtual time have passed.
WaveOutcome runWave(const WaveScenario&, std::uint64_t seed);

} // namespace Fakes
