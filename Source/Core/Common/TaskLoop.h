#pragma once

/// Clock, timers and task queue of one thread. Tests use an implementation that runs on a virtual clock.

#include "Common/Time.h"

#include <chrono>
#include <cstdint>
#include <functional>

namespace Common {

/// Runs tasks and timers one at a time. post() may be called from any thread, everything else on the loop's thread only.
class TaskLoop {
public:
    using Task = std::function<void()>;
    using TimerId = std::uint64_t;

    virtual ~TaskLoop() = default;
    /// Time since boot, including time in suspend.
    virtual Instant now() const = 0;
    /// Wall-clock time; may jump in either direction.
    virtual WallTime wallNow() const = 0;
    /// Queues a task for the loop's thread; tasks run in the order in which they were posted.
    virtual void post(Task) = 0;
    /// Runs the task once on the loop's thread after the delay, unless cancel() is called first.
    virtual TimerId after(std::chrono::milliseconds delay, Task) = 0;
    /// Cancels a timer; unknown and expired ids are ignored.
    virtual void cancel(TimerId) = 0;
};

} // namespace Common
