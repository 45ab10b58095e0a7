#include "Kernel/WorkerPool.h"

#include "Kernel/Logging.h"

#include <condition_variable>
#include <deque>
#include <exception>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace Kernel {

struct WorkerPool::Private {
    std::mutex lock;
    std::condition_variable wake;
    std::deque<Job> jobs;
    bool stopping = false;
    std::vector<std::thread> threads;

    std::optional<Job> next()
    {
        std::unique_lock guard(lock);
        wake.wait(guard, [this] { return stopping || !jobs.empty(); });
        if (jobs.empty())
            return std::nullopt;
        Job job = std::move(jobs.front());
        jobs.pop_front();
        return job;
    }

    void run()
    {
        while (auto job = next()) {
            try {
                (*job)();
            } catch (const std::exception& e) {
                // One failing event must not end the process; the request or call that it belongs to ends at its deadline.
                Logging::write(LogLevel::Error, "workers", std::string("a job failed; its request or call will end at the deadline: ") + e.what());
            }
        }
    }
};

WorkerPool::WorkerPool()
    : m_private(std::make_unique<Private>())
{
}

WorkerPool::~WorkerPool()
{
    stop();
}

std::unique_ptr<WorkerPool> WorkerPool::create(unsigned threads)
{
    std::unique_ptr<WorkerPool> pool(new WorkerPool);
    for (unsigned i = 0; i < threads; ++i)
        pool->m_private->threads.emplace_back([it = pool->m_private.get()] { it->run(); });
    return pool;
}

void WorkerPool::post(Job job)
{
    {
        const std::lock_guard guard(m_private->lock);
        if (m_private->stopping)
            return;
        m_private->jobs.push_back(std::move(job));
    }
    m_private->wake.notify_one();
}

void WorkerPool::stop()
{
    {
        const std::lock_guard guard(m_private->lock);
        m_private->stopping = true;
    }
    m_private->wake.notify_all();
    for (auto& thread : m_private->threads) {
        if (thread.joinable())
            thread.join();
    }
}

} // namespace Kernel
