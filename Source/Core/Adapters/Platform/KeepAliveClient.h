#pragma once

/// HTTP/1.1 client for many small calls to a known set of servers over persistent connections.

#include "Adapters/Platform/EventLoop.h"
#include "Adapters/Platform/HttpCall.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace Adapters {

/// Limits of a client's connections.
struct ConnectionLimits {
    std::size_t idleConnections = 64; ///< For all servers together; beyond it, the one that was used longest ago is closed.
    std::size_t connectionsPerServer = 4; ///< Further calls wait for a connection, in order.
    std::chrono::milliseconds peerTimeout { 15000 }; ///< A connection fails after this time without an acknowledgement from the peer.
};

/// For hosts that place thousands of tasks a second, for which libcurl takes too long per call (docs/MEASUREMENTS.md, jobs,
/// row 19). Supports only what these need: plain HTTP, numeric addresses and complete answers; no redirects, no streaming, and
/// no response headers. Never sends a request twice. Used on the loop's thread only.
class KeepAliveClient {
public:
    using CallId = std::uint64_t;

    static std::unique_ptr<KeepAliveClient> create(EventLoop&, const ConnectionLimits& = {});
    /// Call shutdown() on the loop's thread first.
    ~KeepAliveClient();
    KeepAliveClient(const KeepAliveClient&) = delete;
    KeepAliveClient& operator=(const KeepAliveClient&) = delete;

    /// Starts a call. The callback runs exactly once, later, on the loop's thread; after shutdown() it runs immediately with
    /// NotSent. The timeout includes connecting and waiting for a free connection. When a call times out or is cancelled, its
    /// connection is reset, so that no more bytes of the request reach the server.
    CallId start(const HttpCall&, HttpCallback);
    /// Ends a call immediately, with Broken or, if no byte was sent, NotSent. Unknown calls are ignored.
    void cancel(CallId);
    /// Cancels all calls and closes all connections.
    void shutdown();

private:
    class Private;

    KeepAliveClient(EventLoop&, const ConnectionLimits&);

    std::unique_ptr<Private> m_private;
};

} // namespace Adapters
