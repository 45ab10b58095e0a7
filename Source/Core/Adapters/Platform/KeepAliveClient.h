#pragma once

/// HTTP/1.1 client for many small calls to a known set of servers, over connections that are kept open.

#include "Adapters/Platform/EventLoop.h"
#include "Adapters/Platform/HttpCall.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace Adapters {

/// Bounds of a client's connections.
struct ConnectionLimits {
    std::size_t idleConnections = 64; ///< Over all servers; further ones are closed after their call.
    std::size_t connectionsPerServer = 4; ///< Further calls wait for one, in order.
    std::chrono::milliseconds deadPeer { 15000 }; ///< Without a sign of life of the peer, a connection is given up.
};

/// For hosts that place thousands of tasks a second, where a call by libcurl takes too long (docs/MEASUREMENTS.md, jobs, row 19).
/// It does no more than that needs: plain HTTP, numeric addresses, whole answers, no redirects, and it never sends a
/// request twice. The headers of answers aren't kept. Used on the loop's thread only.
class KeepAliveClient {
public:
    using CallId = std::uint64_t;

    static std::unique_ptr<KeepAliveClient> create(EventLoop&, const ConnectionLimits& = {});
    /// Call shutdown() before, on the loop's thread.
    ~KeepAliveClient();
    KeepAliveClient(const KeepAliveClient&) = delete;
    KeepAliveClient& operator=(const KeepAliveClient&) = delete;

    /// The callback runs once, later, on the loop's thread; at once, as NotSent, after shutdown(). The time limit of the call
    /// includes connecting and waiting for a connection. A connection whose call is given up is reset, so that nothing of it
    /// reaches the server any more.
    CallId start(const HttpCall&, HttpCallback);
    /// Ends a call, at once; unknown ones are ignored.
    void cancel(CallId);
    /// Ends all calls and closes all connections.
    void shutdown();

private:
    class Private;

    KeepAliveClient(EventLoop&, const ConnectionLimits&);

    std::unique_ptr<Private> m_private;
};

} // namespace Adapters
