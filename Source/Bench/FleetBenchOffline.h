#pragma once

/// Optimal moves with full foresight, by dynamic programming over the states (hosts, backlog) of each pool and second.

#include "FleetBenchModel.h"

#include <vector>

namespace FleetBench {

/// Figures of the optimal plan for one pool.
struct OfflineFigures {
    unsigned poolChanges = 0; ///< Hosts that left the pool, plus hosts that joined it.
    double bufferHostSeconds = 0;
    double lateHostSeconds = 0;
};

/// Solves one pool on its own: hosts are assumed to be available whenever it needs them, and moves to be finished in
/// time, as full foresight allows. The weighted cost is therefore at most that of the best plan for all pools together.
/// `trace` is in slot-seconds per second; the backlog is rounded to host-seconds.
OfflineFigures solveOffline(const std::vector<double>& trace, unsigned minimumHosts, unsigned maximumHosts, unsigned startHosts,
    const Decision::MarginSettings&);

} // namespace FleetBench
