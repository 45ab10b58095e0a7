#pragma once

/// Loopback TCP proxy that delays, silences, cuts one way or resets what passes through it.

#include "Adapters/Platform/EventLoop.h"

#include <chrono>
#include <memory>

/// What happens to the bytes of all connections, those already open included.
struct ProxyFault {
    std::chrono::milliseconds delay { 0 };
    bool isSilentUp = false; ///< Bytes from clients are swallowed.
    bool isSilentDown = false; ///< Bytes from the server are swallowed.
};

/// Used on the loop's thread, or before it runs.
class SoakProxy {
public:
    SoakProxy(Adapters::EventLoop&, unsigned targetPort);
    ~SoakProxy();
    SoakProxy(const SoakProxy&) = delete;
    SoakProxy& operator=(const SoakProxy&) = delete;

    unsigned port() const;
    void setFault(const ProxyFault&);
    /// Closes every open connection.
    void reset();
    void shutdown();

private:
    class Private;
    std::shared_ptr<Private> m_impl;
};
