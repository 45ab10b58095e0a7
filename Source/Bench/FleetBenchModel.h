#pragma once

/// A data centre as a fluid model, one step a second, driven by the wave planner and the margin policy themselves.

#include "Decision/Moves/MarginPolicy.h"
#include "Decision/Waves/WavePlanner.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace FleetBench {

/// Hosts of one pool in one data centre.
struct PoolSize {
    std::string pool;
    unsigned hosts = 0;
    bool spare = false;
};

/// How hosts are shared out.
enum class MovePolicy {
    Margin, ///< The margin policy.
    None, ///< Hosts stay where they were published.
    FixedMargin, ///< Each pool has 20% more hosts, taken from the spare pool for good.
};

/// One run.
struct RunSettings {
    std::string dataCentre;
    std::vector<PoolSize> pools;
    Decision::MarginSettings margin;
    MovePolicy policy = MovePolicy::Margin;
    unsigned maximumAtOnce = 0; ///< Of the wave; zero for no limit but the budgets.
    bool withWave = true;
    bool withFailures = true;
    std::chrono::seconds length { 0 };
    std::uint64_t seed = 0;
};

/// Figures of one run.
struct RunFigures {
    /// Idle host-seconds held for peaks: hosts of non-spare pools that are up and serving, less busy slots over slots
    /// per host, plus every host between two pools. Hosts of the spare pool run work that can always wait, so they are
    /// never idle. Hosts that are down or in maintenance don't count. The same for every policy.
    double bufferHostSeconds = 0;
    double forcedHostSeconds = 0; ///< The part of the above that the budgets force on any policy which serves as much.
    double transitHostSeconds = 0; ///< The part of the above that stood between two pools.
    double spareHostSeconds = 0; ///< Hosts that serve the spare pool.
    double offered = 0; ///< Slot-seconds of work.
    double served = 0; ///< Slot-seconds within the deadline.
    double lostToMoves = 0; ///< Slot-seconds too late that hosts on their way out of the same pool could have served.
    unsigned moves = 0;
    unsigned poolChanges = 0; ///< Hosts that left a non-spare pool plus hosts that joined one.
    unsigned budgetViolations = 0;
    unsigned hostsInTwoPools = 0;
    bool waveFinished = false;
    std::chrono::seconds rollOut { 0 };

    double goodput() const { return offered > 0 ? served / offered : 1; }
    RunFigures& operator+=(const RunFigures&);
};

constexpr unsigned slotsPerHost = 8;
constexpr unsigned hostsPerRack = 4;
constexpr unsigned budgetPercent = 50;
constexpr double meanLoad = 0.35; // of the slots of a pool
constexpr std::chrono::seconds deadline { 3 };

/// Work offered to a pool in each second, in slot-seconds: five times the mean for 8 s, then a twentieth for 34 s, else
/// the mean; one pool after another.
std::vector<double> makeTrace(const RunSettings&, std::size_t poolIndex);

/// Hosts that a pool of `hosts` over `racks` may be brought down to, the loss of one more rack included.
unsigned movableMinimum(unsigned hosts, unsigned racks);

RunFigures run(const RunSettings&);

} // namespace FleetBench
