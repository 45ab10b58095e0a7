#pragma once

/// A libuv loop on a thread of its own that drives a libcurl multi handle.

#include "Common/Result.h"
#include "Ports/PortError.h"

#include <chrono>
#include <curl/curl.h>
#include <functional>
#include <memory>

namespace Adapters {

/// Runs transfers. Only post() and stop() may be called from threads other than the loop's.
class CurlLoop {
public:
    using Task = std::function<void()>;
    /// Called on the loop's thread when a transfer has completed or failed; its handle is already removed.
    using Finished = std::function<void(CURL*, CURLcode)>;

    /// Starts the thread. Fails if libcurl can't be initialized.
    static Common::Result<std::unique_ptr<CurlLoop>, Ports::PortError> create(unsigned connectionsPerHost, Finished);
    ~CurlLoop();

    /// Queues a task for the loop's thread. After stop(), drops it and returns false.
    bool post(Task);
    /// Starts a transfer. False if libcurl refuses it; then nothing was sent.
    bool add(CURL*);
    /// Aborts a transfer. Its connection is closed unless the transfer was complete.
    void remove(CURL*);
    /// Sets the deadline timer, replacing its previous delay and task. The task runs once, on the loop's thread.
    void setDeadlineTimer(std::chrono::milliseconds delay, Task);
    /// Runs the tasks posted so far and then `last`, ends the loop and joins its thread. Further calls do nothing.
    void stop(Task last);

private:
    class Private;
    explicit CurlLoop(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_impl;
};

} // namespace Adapters
