#pragma once

/// Threads that run short jobs in the order they were posted.

#include <cstddef>
#include <functional>
#include <memory>

namespace Kernel {

/// A fixed number of threads over one queue. Jobs must not block on other jobs.
class WorkerPool {
public:
    using Job = std::function<void()>;

    static std::unique_ptr<WorkerPool> create(unsigned threads);
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    /// Queues a job; dropped once stop() was called.
    void post(Job);
    /// Runs what is queued, then joins the threads. Safe to call twice.
    void stop();

private:
    WorkerPool();

    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Kernel
