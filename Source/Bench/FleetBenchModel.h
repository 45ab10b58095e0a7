#pragma once

/// Fluid simulation of one data centre in one-second steps, which runs the real wave planner and margin policy.

#include "Decision/Moves/MarginPolicy.h"
#include "Decision/Waves/WavePlanner.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace FleetBench {

/// Number of hosts of one pool in one data centre.
struct PoolSize {
    std::string pool;
    unsigned hosts = 0;
    bool spare = false;
};

/// How hosts are distributed over pools.
enum class MovePolicy {
    Margin, ///< The margin policy moves them.
    None, ///< Hosts stay in their published pools.
    FixedMargin, ///< Each pool gets 20% more hosts from the spare pool, permanently.
};

/// Settings of one run.
struct RunSettings {
    std::string dataCentre;
    std::vector<PoolSize> pools; ///< The spare pool comes last.
    Decision::MarginSettings margin;
    MovePolicy policy = MovePolicy::Margin;
    unsigned maximumAtOnce = 0; ///< Hosts that the wave may have out at once; 0 for no limit but the budgets.
    bool withWave = true;
    bool withFailures = true;
    std::chrono::seconds length { 0 };
    std::uint64_t seed = 0;
};

/// Figures of one run, or totals over several.
struct RunFigures {
    /// Idle host-seconds held for peaks: hosts of non-spare pools that are up and serving, less busy slots divided by
    /// slots per host, plus every host that is being moved. The spare pool's work can always wait, so its hosts are
    /// never idle. Hosts that are down or in maintenance don't count. Defined alike for every policy.
    double bufferHostSeconds = 0;
    double forcedHostSeconds = 0; ///< Part of bufferHostSeconds that the budgets force on any policy that serves as much.
    double transitHostSeconds = 0; ///< Part of bufferHostSeconds spent in moves.
    double spareHostSeconds = 0; ///< Host-seconds that served the spare pool.
    double offered = 0; ///< Slot-seconds of work that arrived.
    double served = 0; ///< Slot-seconds served within the deadline.
    double lostToMoves = 0; ///< Late slot-seconds that hosts being moved out of the same pool could have served.
    unsigned moves = 0;
    unsigned poolChanges = 0; ///< Hosts that left a non-spare pool, plus hosts that joined one.
    unsigned budgetViolations = 0; ///< Pool-seconds below the budget.
    unsigned hostsInTwoPools = 0; ///< Host-seconds of hosts that served while being moved.
    bool waveFinished = false;
    std::chrono::seconds rollOut { 0 }; ///< From the start of the wave to its end; 0 if it didn't finish.

    /// Share of the offered work that was served in time; 1 without any work.
    double goodput() const { return offered > 0 ? served / offered : 1; }
    /// Adds up all figures but two: waveFinished holds if both waves did, rollOut is the longer one.
    RunFigures& operator+=(const RunFigures&);
};

constexpr unsigned slotsPerHost = 8;
constexpr unsigned hostsPerRack = 4;
constexpr unsigned budgetPercent = 50;
constexpr double meanLoad = 0.35; // Share of a pool's slots.
constexpr std::chrono::seconds deadline { 3 };

/// Work offered to a pool in each second, in slot-seconds: five times the mean for 8 s, then a twentieth of it for 34 s,
/// else the mean. The pools peak one after another; the spare pool gets no work.
std::vector<double> makeTrace(const RunSettings&, std::size_t poolIndex);

/// Smallest size to which a pool of `hosts` hosts over `racks` racks may be reduced and still keep its budget when one
/// more rack is lost.
unsigned minimumHostsAfterMoves(unsigned hosts, unsigned racks);

/// Simulates one data centre for the length of the settings. Runs with equal settings have equal results.
RunFigures run(const RunSettings&);

} // namespace FleetBench
