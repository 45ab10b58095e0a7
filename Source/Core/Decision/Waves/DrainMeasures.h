#pragma once

/// What is done about tasks that hold up a drain: checkpoint first, wait, throttle, and past the limit stop by priority.

#include "Decision/Waves/FleetView.h"
#include "Decision/Waves/HostDecisions.h"

#include <chrono>
#include <vector>

namespace Decision {

/// Limits of one drain.
struct DrainLimits {
    std::chrono::milliseconds limit { 0 }; ///< Nothing is stopped before it.
    std::chrono::milliseconds stopInterval { 0 }; ///< Between one rank and the next.
    unsigned lowestRank = 0; ///< Rank of the lowest priority that is configured: the highest number.
};

/// Measures due after the drain has gone on for `elapsed`. Tasks that can checkpoint are asked to at once. After half
/// of the limit the lowest priority is throttled if a better one shares the host. Past the limit the lowest priority
/// is stopped, and one more rank for each interval; the ranks come from the configuration, so that a new duty holder
/// stops the same tasks at the same time.
std::vector<ControlTask> drainMeasures(const HostView&, std::chrono::milliseconds elapsed, const DrainLimits&);

} // namespace Decision
