#pragma once

/// A TaskLoop with a virtual clock that advances only in runFor().

#include "Common/TaskLoop.h"

#include <deque>
#include <map>

/// Shared by all hosts and fakes of a test. Tasks run in the order of their due time, then in the order in which they were
/// scheduled.
class VirtualLoop final : public Common::TaskLoop {
public:
    Common::Instant now() const override { return m_now; }
    Common::WallTime wallNow() const override { return Common::WallTime(std::chrono::hours(500000) + std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch())); }
    void post(Task task) override { after(std::chrono::milliseconds(0), std::move(task)); }

    TimerId after(std::chrono::milliseconds delay, Task task) override
    {
        const auto id = ++m_lastTimer;
        const auto at = m_now + std::max(delay, std::chrono::milliseconds(0));
        m_tasks[{ at, id }] = std::move(task);
        m_times[id] = at;
        return id;
    }

    void cancel(TimerId id) override
    {
        const auto it = m_times.find(id);
        if (it == m_times.end())
            return;
        m_tasks.erase({ it->second, id });
        m_times.erase(it);
    }

    void runFor(std::chrono::milliseconds time)
    {
        const auto until = m_now + time;
        while (!m_tasks.empty() && m_tasks.begin()->first.first <= until) {
            auto node = m_tasks.extract(m_tasks.begin());
            m_now = std::max(m_now, node.key().first);
            m_times.erase(node.key().second);
            node.mapped()();
        }
        m_now = until;
    }

private:
    using Key = std::pair<Common::Instant, TimerId>;

    Common::Instant m_now { std::chrono::hours(1) };
    TimerId m_lastTimer = 0;
    std::map<Key, Task> m_tasks;
    std::map<TimerId, Common::Instant> m_times;
};
