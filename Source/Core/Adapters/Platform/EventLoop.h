#pragma once

/// A libuv loop with a task queue and one-shot timers.

#include "Common/TaskLoop.h"

#include <chrono>
#include <memory>

struct uv_loop_s;

namespace Adapters {

/// Runs tasks and timers on one thread. post() and stop() may be called from any thread, the rest on the loop's only
/// (or before it runs).
class EventLoop final : public Common::TaskLoop {
public:
    static std::unique_ptr<EventLoop> create();
    ~EventLoop() override;
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Runs the loop on a thread of its own.
    void start();
    /// Runs the loop on the calling thread until stop().
    void run();
    /// Ends the loop after the tasks posted so far; joins the thread that start() made. Tasks posted later are dropped.
    void stop();
    /// Runs the task on the loop's thread, in the order of posting.
    void post(Task) override;
    /// Runs the task once after the delay.
    TimerId after(std::chrono::milliseconds delay, Task) override;
    /// Forgets a timer; unknown and expired ones are ignored.
    void cancel(TimerId) override;
    Common::Instant now() const override;
    Common::WallTime wallNow() const override;
    /// Runs the task on the loop whenever the process gets the signal. Before the loop runs, or on its thread.
    void onSignal(int signal, Task);
    /// The libuv loop, for handles of other classes; they must close them before the loop can end.
    uv_loop_s* handle();

private:
    class Private;

    EventLoop();

    std::unique_ptr<Private> m_private;
};

} // namespace Adapters
