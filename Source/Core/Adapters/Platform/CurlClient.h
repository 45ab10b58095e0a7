#pragma once

/// HTTP client: libcurl's multi interface on an EventLoop.

#include "Adapters/Platform/EventLoop.h"
#include "Adapters/Platform/HttpCall.h"

#include <cstdint>
#include <memory>

namespace Adapters {

/// Runs calls at once and side by side. Used on the loop's thread only.
class CurlClient {
public:
    using CallId = std::uint64_t;

    static std::unique_ptr<CurlClient> create(EventLoop&);
    /// Call shutdown() before, on the loop's thread.
    ~CurlClient();

    /// The callback runs once, later, on the loop's thread; at once, as NotSent, after shutdown().
    CallId start(HttpCall, HttpCallback, HttpDataCallback = {});
    /// Ends a call as Broken, at once; unknown ones are ignored.
    void cancel(CallId);
    /// Ends all calls as Broken and closes all connections.
    void shutdown();

private:
    class Private;

    explicit CurlClient(EventLoop&);

    std::unique_ptr<Private> m_private;
};

} // namespace Adapters
