#pragma once

/// Best moves with full foresight: a dynamic programme over (hosts, backlog) of each pool and second.

#include "FleetBenchModel.h"

#include <vector>

namespace FleetBench {

/// Result for one pool.
struct OfflineFigures {
    unsigned poolChanges = 0;
    double bufferHostSeconds = 0;
    double lateHostSeconds = 0;
};

/// Pools are solved one by one, as if the other pools' hosts could always be had and a move took no longer than foresight
/// hides; so the weighted cost is at most that of the best joint plan. The backlog is rounded to host-seconds.
OfflineFigures solveOffline(const std::vector<double>& trace, unsigned minimumHosts, unsigned maximumHosts, unsigned startHosts,
    const Decision::MarginSettings&);

} // namespace FleetBench
