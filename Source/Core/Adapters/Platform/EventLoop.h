#pragma once

/// A libuv loop with a task queue and one-shot timers.

#include "Common/TaskLoop.h"

#include <chrono>
#include <memory>

struct uv_loop_s;

namespace Adapters {

/// Runs tasks and timers on one thread. post() and stop() may be called from any thread, the other functions only on the
/// loop's thread or before the loop runs.
class EventLoop final : public Common::TaskLoop {
public:
    static std::unique_ptr<EventLoop> create();
    ~EventLoop() override;
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Runs the loop on a new thread.
    void start();
    /// Runs the loop on the calling thread until stop().
    void run();
    /// Ends the loop after the tasks posted so far and joins the thread of start(). Tasks posted later are dropped.
    void stop();
    /// Queues a task for the loop's thread. Tasks run in the order of posting.
    void post(Task) override;
    /// Runs the task once after the delay.
    TimerId after(std::chrono::milliseconds delay, Task) override;
    /// Cancels a timer. Unknown and expired timers are ignored.
    void cancel(TimerId) override;
    Common::Instant now() const override;
    Common::WallTime wallNow() const override;
    /// Runs the task on the loop each time the process receives the signal.
    void onSignal(int signal, Task);
    /// The libuv loop, for other classes' handles. The loop can't end before they are closed.
    uv_loop_s* handle();

private:
    class Private;

    EventLoop();

    std::unique_ptr<Private> m_private;
};

} // namespace Adapters
