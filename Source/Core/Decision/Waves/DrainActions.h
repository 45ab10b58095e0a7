#pragma once

/// Actions on tasks that delay a drain: checkpoint first, then wait, then throttle, and after the drain limit stop by priority.

#include "Decision/Waves/FleetView.h"
#include "Decision/Waves/HostDecisions.h"

#include <chrono>
#include <vector>

namespace Decision {

/// Limits of one drain.
struct DrainLimits {
    std::chrono::milliseconds limit { 0 }; ///< No task is stopped earlier than this after the start of the drain.
    std::chrono::milliseconds stopInterval { 0 }; ///< Interval between stopping one rank and the next.
    unsigned lowestRank = 0; ///< Rank of the lowest configured priority, which is the highest number.
};

/// Returns the actions that are due when the drain has lasted for `elapsed`. Tasks that support checkpoints are told
/// to write one at once. After half of the limit, the lowest priority on the host is throttled if tasks of a higher one run
/// there too. After the limit, the lowest priority is stopped, then one more rank per interval. Ranks count from the lowest
/// configured priority, not from the tasks on the host, so that a new duty holder stops the same tasks at the same time.
std::vector<ControlTask> drainActions(const HostView&, std::chrono::milliseconds elapsed, const DrainLimits&);

} // namespace Decision
