#pragma once

/// HTTP server by Pistache: hands requests on with a handle each, and writes one reply for each handle, in the order in
/// which the requests of a connection came, from whatever thread.

#include "Adapters/Callers/Connection.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <pistache/http.h>
#include <string>

namespace Adapters {

/// Where and how it listens.
struct HttpEndpointSettings {
    std::string listenAddress; ///< "ip:port".
    unsigned threads = 1;
    std::size_t maximumBodyBytes = 1 << 20;
    std::chrono::milliseconds readTimeout { 10000 }; ///< For headers and bodies that stop short.
    std::chrono::milliseconds longestWait { 60000 }; ///< Of a request for its reply.
};

/// Thread-safe but for start() and stop().
class HttpEndpoint {
public:
    struct Hooks {
        std::function<void(Ports::CallerHandle, const Pistache::Http::Request&)> request; ///< On a thread of the library.
        std::function<void(Ports::CallerHandle)> gone; ///< The client of an unanswered request hung up; may be empty.
    };

    HttpEndpoint(HttpEndpointSettings, Hooks, CallerGuards = {});
    ~HttpEndpoint();
    HttpEndpoint(const HttpEndpoint&) = delete;
    HttpEndpoint& operator=(const HttpEndpoint&) = delete;

    /// Throws Ports::PortError when the address can't be had.
    void start();
    /// A second reply, or one to a client that has gone, is dropped.
    void reply(Ports::CallerHandle, Reply);
    std::size_t unanswered() const;
    /// Replies to requests that come from now on end their connection.
    void closeAfterAnswers();
    void stop();

private:
    class Private;
    std::unique_ptr<Private> m_impl;
};

} // namespace Adapters
