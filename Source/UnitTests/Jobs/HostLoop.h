#pragma once

/// The loop of one host in virtual time. While the host is paused nothing runs on it: expired timers, posted tasks and the answers to
/// its calls wait, as they do for a process that was stopped or isn't scheduled.

#include "Common/TaskLoop.h"
#include "VirtualLoop.h"

#include <functional>
#include <map>
#include <vector>

/// What a host that continues runs first. The order of its timers, of posts from other threads, and of answers isn't defined.
enum class WakeOrder {
    TimersFirst,
    PostsFirst,
    AnswersFirst,
};

class HostLoop final : public Common::TaskLoop {
public:
    explicit HostLoop(VirtualLoop& base)
        : m_base(base)
    {
    }
    ~HostLoop() override { kill(); }

    Common::Instant now() const override { return m_base.now(); }
    Common::WallTime wallNow() const override { return m_base.wallNow(); }
    void post(Task) override;
    TimerId after(std::chrono::milliseconds delay, Task) override;
    void cancel(TimerId) override;

    void pause() { m_isPaused = true; }
    void resume(WakeOrder);
    bool isPaused() const { return m_isPaused; }
    /// Drops all tasks; none runs from then on.
    void kill();

    /// Runs the task now, or on resume(). For answers to the host's calls.
    void deliver(Task);

private:
    void fire(TimerId);
    void runSoon(std::vector<Task>&);

    VirtualLoop& m_base;
    std::map<TimerId, Task> m_timers; ///< By the id in the base loop.
    std::vector<TimerId> m_expired; ///< Timers that expired during the pause.
    std::vector<Task> m_posts;
    std::vector<Task> m_answers;
    bool m_isPaused = false;
    bool m_isKilled = false;
};

/// Returns a callback that waits while the host is paused. `loop` may be null, for a host that is never paused.
template<class... Arguments>
std::function<void(Arguments...)> deferWhilePaused(HostLoop* loop, std::function<void(Arguments...)> callback)
{
    if (!loop)
        return callback;
    return [loop, callback = std::move(callback)](Arguments... arguments) {
        loop->deliver([callback, ... copies = std::decay_t<Arguments>(arguments)] { callback(copies...); });
    };
}
