#include "Adapters/Platform/EventLoop.h"

#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <uv.h>
#include <vector>

namespace Adapters {

class EventLoop::Private {
public:
    struct Timer {
        uv_timer_t handle {};
        Private* owner = nullptr;
        TimerId id = 0;
        Task task;
    };

    struct Signal {
        uv_signal_t handle {};
        Task task;
    };

    Private()
    {
        uv_loop_init(&m_loop);
        m_async.data = this;
        uv_async_init(&m_loop, &m_async, [](uv_async_t* it) { static_cast<Private*>(it->data)->runTasks(); });
    }

    ~Private()
    {
        closeAll();
        uv_run(&m_loop, UV_RUN_DEFAULT);
        uv_loop_close(&m_loop);
    }

    void post(Task task)
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            return;
        m_tasks.push_back(std::move(task));
        uv_async_send(&m_async);
    }

    void requestStop()
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            return;
        m_tasks.push_back([this] { closeAll(); });
        m_stopping = true;
        uv_async_send(&m_async);
    }

    TimerId after(std::chrono::milliseconds delay, Task task)
    {
        auto* timer = new Timer;
        timer->owner = this;
        timer->id = ++m_lastTimer;
        timer->task = std::move(task);
        timer->handle.data = timer;
        uv_timer_init(&m_loop, &timer->handle);
        m_timers[timer->id] = timer;
        uv_update_time(&m_loop);
        uv_timer_start(&timer->handle, onTimer, delay.count() > 0 ? static_cast<std::uint64_t>(delay.count()) : 0, 0);
        return timer->id;
    }

    void cancel(TimerId id)
    {
        const auto it = m_timers.find(id);
        if (it == m_timers.end())
            return;
        Timer* timer = it->second;
        m_timers.erase(it);
        closeTimer(timer);
    }

    void onSignal(int signal, Task task)
    {
        auto* watcher = new Signal;
        watcher->task = std::move(task);
        watcher->handle.data = watcher;
        uv_signal_init(&m_loop, &watcher->handle);
        uv_signal_start(
            &watcher->handle, [](uv_signal_t* it, int) { static_cast<Signal*>(it->data)->task(); }, signal);
        m_signals.push_back(watcher);
    }

    uv_loop_t m_loop {};
    std::thread m_thread;

private:
    static void closeTimer(Timer* timer)
    {
        uv_close(reinterpret_cast<uv_handle_t*>(&timer->handle), [](uv_handle_t* it) { delete static_cast<Timer*>(it->data); });
    }

    static void onTimer(uv_timer_t* handle)
    {
        auto* timer = static_cast<Timer*>(handle->data);
        const Task task = std::move(timer->task);
        timer->owner->cancel(timer->id);
        task();
    }

    void runTasks()
    {
        std::vector<Task> tasks;
        {
            const std::lock_guard lock(m_mutex);
            tasks.swap(m_tasks);
        }
        for (const auto& task : tasks)
            task();
    }

    void closeAll()
    {
        if (m_closed)
            return;
        m_closed = true;
        while (!m_timers.empty())
            cancel(m_timers.begin()->first);
        for (auto* it : std::exchange(m_signals, {}))
            uv_close(reinterpret_cast<uv_handle_t*>(&it->handle), [](uv_handle_t* handle) { delete static_cast<Signal*>(handle->data); });
        uv_close(reinterpret_cast<uv_handle_t*>(&m_async), nullptr);
    }

    uv_async_t m_async {};
    std::mutex m_mutex; ///< Guards m_tasks and m_stopping.
    std::vector<Task> m_tasks;
    bool m_stopping = false;
    bool m_closed = false;
    TimerId m_lastTimer = 0;
    std::map<TimerId, Timer*> m_timers;
    std::vector<Signal*> m_signals;
};

EventLoop::EventLoop()
    : m_private(std::make_unique<Private>())
{
}

EventLoop::~EventLoop()
{
    stop();
}

std::unique_ptr<EventLoop> EventLoop::create()
{
    return std::unique_ptr<EventLoop>(new EventLoop);
}

void EventLoop::start()
{
    m_private->m_thread = std::thread([this] { run(); });
}

void EventLoop::run()
{
    uv_run(&m_private->m_loop, UV_RUN_DEFAULT);
}

void EventLoop::stop()
{
    m_private->requestStop();
    if (m_private->m_thread.joinable())
        m_private->m_thread.join();
}

void EventLoop::post(Task task)
{
    m_private->post(std::move(task));
}

EventLoop::TimerId EventLoop::after(std::chrono::milliseconds delay, Task task)
{
    return m_private->after(delay, std::move(task));
}

void EventLoop::cancel(TimerId id)
{
    m_private->cancel(id);
}

Common::Instant EventLoop::now() const
{
    return Common::BootClock::now();
}

Common::WallTime EventLoop::wallNow() const
{
    return Common::wallNow();
}

void EventLoop::onSignal(int signal, Task task)
{
    m_private->onSignal(signal, std::move(task));
}

uv_loop_s* EventLoop::handle()
{
    return &m_private->m_loop;
}

} // namespace Adapters
