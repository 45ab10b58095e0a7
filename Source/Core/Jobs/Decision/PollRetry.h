#pragma once

/// When to poll a worker again that hasn't answered. Designed for peaks that move hundreds of machines between pools within seconds: each
/// move ends a worker, whose entry stays in the store for some more seconds, and every attempt to reach it takes a new connection from
/// the host that is busiest at that time.

#include <chrono>

namespace Jobs {

/// What the pool has to lose by a worker that doesn't answer.
enum class WorkerUse {
    Busy, ///< Has runs, whose lease lapses and whose ends aren't noticed.
    Idle, ///< Has no runs; gets none until it answers.
    Gone, ///< Its machine is known to have ended it.
};

/// Delay of the next poll after so many consecutive polls have failed, at least one.
std::chrono::milliseconds pollRetryDelay(unsigned failedPolls, WorkerUse);

} // namespace Jobs
