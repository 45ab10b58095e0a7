#include "HostLoop.h"

#include <memory>
#include <utility>

using std::chrono::milliseconds;

void HostLoop::post(Task task)
{
    m_base.post([this, task = std::move(task)] {
        if (m_isPaused)
            m_posts.push_back(task);
        else if (!m_isKilled)
            task();
    });
}

Common::TaskLoop::TimerId HostLoop::after(milliseconds delay, Task task)
{
    // The base loop's ids are unique and the lambda needs the id, which is known only after the call.
    const auto id = std::make_shared<TimerId>(0);
    *id = m_base.after(delay, [this, id] { fire(*id); });
    m_timers[*id] = std::move(task);
    return *id;
}

void HostLoop::cancel(TimerId id)
{
    m_base.cancel(id);
    m_timers.erase(id);
}

void HostLoop::fire(TimerId id)
{
    if (m_isPaused) {
        m_expired.push_back(id);
        return;
    }
    if (const auto node = m_timers.extract(id))
        node.mapped()();
}

void HostLoop::deliver(Task task)
{
    if (m_isPaused)
        m_answers.push_back(std::move(task));
    else if (!m_isKilled)
        task();
}

void HostLoop::runSoon(std::vector<Task>& tasks)
{
    for (auto& it : std::exchange(tasks, {}))
        m_base.post([this, task = std::move(it)] { deliver(task); });
}

void HostLoop::resume(WakeOrder order)
{
    m_isPaused = false;
    if (order == WakeOrder::PostsFirst)
        runSoon(m_posts);
    if (order == WakeOrder::AnswersFirst)
        runSoon(m_answers);
    for (const auto id : std::exchange(m_expired, {}))
        m_base.post([this, id] { fire(id); });
    runSoon(m_posts);
    runSoon(m_answers);
}

void HostLoop::kill()
{
    m_isKilled = true;
    m_isPaused = false;
    // Tasks may own objects that cancel their timers when they are destroyed.
    const auto timers = std::exchange(m_timers, {});
    const auto posts = std::exchange(m_posts, {});
    const auto answers = std::exchange(m_answers, {});
    m_expired.clear();
}
