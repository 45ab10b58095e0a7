#pragma once

/// Clock, timers and task queue of one thread, so that what runs on it can be driven by a virtual clock in tests.

#include "Common/Time.h"

#include <chrono>
#include <cstdint>
#include <functional>

namespace Common {

/// Runs tasks and timers one after the other. post() may be called from any thread, the rest on the loop's only.
class TaskLoop {
public:
    using Task = std::function<void()>;
    using TimerId = std::uint64_t;

    virtual ~TaskLoop() = default;
    /// Time since boot, suspended time included.
    virtual Instant now() const = 0;
    /// Civil time; may step.
    virtual WallTime wallNow() const = 0;
    /// Runs the task on the loop's thread, in the order of posting.
    virtual void post(Task) = 0;
    /// Runs the task once after the delay.
    virtual TimerId after(std::chrono::milliseconds delay, Task) = 0;
    /// Forgets a timer; unknown and expired ones are ignored.
    virtual void cancel(TimerId) = 0;
};

} // namespace Common
