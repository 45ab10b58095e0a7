#pragma once

/// Thread pool for short jobs.

#include <cstddef>
#include <functional>
#include <memory>

namespace Kernel {

/// A fixed number of threads that take jobs from one queue in the order of posting. Jobs must not wait for other jobs.
/// An exception of a job is logged. Thread-safe.
class WorkerPool {
public:
    using Job = std::function<void()>;

    static std::unique_ptr<WorkerPool> create(unsigned threads);
    ~WorkerPool();
    WorkerPool(const WorkerPool&) = delete;
    WorkerPool& operator=(const WorkerPool&) = delete;

    /// Queues a job; dropped after stop().
    void post(Job);
    /// Runs the queued jobs, then joins the threads. May be called again.
    void stop();

private:
    WorkerPool();

    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Kernel
