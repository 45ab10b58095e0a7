#pragma once

/// HTTP client based on libcurl's multi interface, on an EventLoop.

#include "Adapters/Platform/EventLoop.h"
#include "Adapters/Platform/HttpCall.h"

#include <cstdint>
#include <memory>

namespace Adapters {

/// Runs calls concurrently. Used on the loop's thread only.
class CurlClient {
public:
    using CallId = std::uint64_t;

    static std::unique_ptr<CurlClient> create(EventLoop&);
    /// Call shutdown() on the loop's thread first.
    ~CurlClient();

    /// Starts a call. The callback runs exactly once, later, on the loop's thread; after shutdown() it runs immediately with
    /// NotSent. Parts of the answer go to the data callback, if there is one.
    CallId start(HttpCall, HttpCallback, HttpDataCallback = {});
    /// Ends a call immediately with Broken. Unknown calls are ignored.
    void cancel(CallId);
    /// Ends all calls with Broken and closes all connections.
    void shutdown();

private:
    class Private;

    explicit CurlClient(EventLoop&);

    std::unique_ptr<Private> m_private;
};

} // namespace Adapters
