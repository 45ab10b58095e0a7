#pragma once

/// Loopback TCP proxy that can delay traffic, drop it in one or both directions, or close connections.

#include "Adapters/Platform/EventLoop.h"

#include <chrono>
#include <memory>

/// Applies to all connections, including those that are already open.
struct ProxyFault {
    std::chrono::milliseconds delay { 0 }; ///< In each direction.
    bool dropsClientBytes = false; ///< Drops the bytes that clients send.
    bool dropsServerBytes = false; ///< Drops the bytes that the server sends.
};

/// Used on the loop's thread, or before the loop runs.
class SoakProxy {
public:
    /// Listens on a free port and forwards to `targetPort`; throws std::runtime_error when it can't listen.
    SoakProxy(Adapters::EventLoop&, unsigned targetPort);
    ~SoakProxy();
    SoakProxy(const SoakProxy&) = delete;
    SoakProxy& operator=(const SoakProxy&) = delete;

    unsigned port() const;
    void setFault(const ProxyFault&);
    /// Closes every open connection.
    void reset();
    /// Closes the listener and all connections; must be called before the loop ends.
    void shutdown();

private:
    class Private;
    std::shared_ptr<Private> m_impl;
};
