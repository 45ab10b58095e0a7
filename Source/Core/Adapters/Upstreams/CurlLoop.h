#pragma once

/// One libuv loop on its own thread that drives one libcurl multi handle.

#include "Common/Result.h"
#include "Ports/PortError.h"

#include <chrono>
#include <curl/curl.h>
#include <functional>
#include <memory>

namespace Adapters {

/// Runs transfers. Only post() and stop() may be called from other threads than the loop's.
class CurlLoop {
public:
    using Task = std::function<void()>;
    /// Called on the loop's thread when a transfer has ended by itself; the handle is already removed.
    using Finished = std::function<void(CURL*, CURLcode)>;

    static Common::Result<std::unique_ptr<CurlLoop>, Ports::PortError> create(unsigned connectionsPerHost, Finished);
    ~CurlLoop();

    /// Runs a task on the loop's thread; false once the loop has been stopped, and the task is dropped.
    bool post(Task);
    /// Adds a transfer; false when libcurl refuses it, and nothing was sent.
    bool add(CURL*);
    /// Takes a transfer out; its connection is closed unless the transfer was whole.
    void remove(CURL*);
    /// Sets the one alarm, in place of an earlier one; the task runs on the loop's thread.
    void setAlarm(std::chrono::milliseconds delay, Task);
    /// Runs the tasks posted so far and then the last one, ends the loop and joins its thread.
    void stop(Task last);

private:
    class Private;
    explicit CurlLoop(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_impl;
};

} // namespace Adapters
