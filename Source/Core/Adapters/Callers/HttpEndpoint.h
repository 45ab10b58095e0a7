#pragma once

/// HTTP server based on Pistache. Passes each request on with a handle and writes one reply per handle, in the order of the
/// requests on a connection. Replies may come from any thread.

#include "Adapters/Callers/Connection.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <pistache/http.h>
#include <string>

namespace Adapters {

/// Listen address and limits of an endpoint.
struct HttpEndpointSettings {
    std::string listenAddress; ///< "ip:port".
    unsigned threads = 1;
    std::size_t maximumBodyBytes = 1 << 20;
    std::chrono::milliseconds readTimeout { 10000 }; ///< For receiving the headers or the body; answered with 408.
    /// Longest time that a request may wait for its reply. Connections may be idle a minute longer.
    std::chrono::milliseconds maximumReplyDelay { 60000 };
};

/// Thread-safe except for start() and stop().
class HttpEndpoint {
public:
    /// Callbacks of the endpoint, on threads of the library.
    struct Hooks {
        std::function<void(Ports::CallerHandle, const Pistache::Http::Request&)> request; ///< For each request.
        std::function<void(Ports::CallerHandle)> disconnected; ///< The client of an unanswered request disconnected; may be empty.
    };

    HttpEndpoint(HttpEndpointSettings, Hooks, CallerGuards = {});
    ~HttpEndpoint();
    HttpEndpoint(const HttpEndpoint&) = delete;
    HttpEndpoint& operator=(const HttpEndpoint&) = delete;

    /// Starts to listen. Throws Ports::PortError if the address is invalid or in use.
    void start();
    /// Replies to a request. A second reply, or one to a client that has disconnected, is dropped.
    void reply(Ports::CallerHandle, Reply);
    /// Number of requests that were passed on and have no reply yet.
    std::size_t unanswered() const;
    /// Closes the connection after the reply to any request received from now on. Used while a process shuts down.
    void closeAfterAnswers();
    /// Stops the server. Harmless if not started.
    void stop();

private:
    class Private;
    std::unique_ptr<Private> m_impl;
};

} // namespace Adapters
