#pragma once

/// HTTP/1.1 server of the stand-ins on an EventLoop. Written directly on libuv, because it must be able to inject faults:
/// responses that are truncated, dropped or never sent.

#include "Adapters/Platform/EventLoop.h"
#include "Common/Result.h"
#include "Standins/RequestParser.h"
#include "Standins/StandinError.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Standins {

struct Response {
    int status = 200;
    std::vector<Header> headers;
    std::string body;
};

/// One request and its response. May be kept and answered later, on the loop's thread. Calls have no effect once the client has
/// disconnected or the response has ended.
class Exchange {
public:
    virtual ~Exchange() = default;
    virtual const Request& request() const = 0;
    /// Sends the whole response; the connection stays open for the next request.
    virtual void reply(const Response&) = 0;
    /// Sends the head with the length of the whole body, then only the first half of the body, and closes the connection.
    virtual void replyTruncated(const Response&) = 0;
    /// Begins a chunked response with status 200; only drop() ends it.
    virtual void beginStream() = 0;
    virtual void sendChunk(std::string_view) = 0;
    /// Closes the connection without completing a response.
    virtual void drop() = 0;
    /// Sets a callback for when the client disconnects, or drop() is called, before the response was sent. It runs once at most.
    virtual void onDisconnect(std::function<void()>) = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;
/// Called for every request, on the loop's thread.
using Handler = std::function<void(const ExchangePtr&)>;

/// Listens on one loopback address. Used on the loop's thread, or before the loop runs.
class HttpServer {
public:
    /// Port 0 selects any free port. Fails when it can't listen there.
    static Common::Result<std::unique_ptr<HttpServer>, StandinError> create(Adapters::EventLoop&, unsigned port, Handler, const std::string& address = "127.0.0.1");
    /// Shuts down; must run on the loop's thread, or while the loop isn't running.
    ~HttpServer();

    unsigned port() const;
    /// Number of open connections.
    std::size_t connectionCount() const;
    /// Closes the listener and all connections: further connects are refused until open().
    void shutdown();
    /// Listens on the same port after shutdown(); false when another process has bound the port since.
    bool open();

private:
    class Private;

    explicit HttpServer(std::unique_ptr<Private>);

    std::unique_ptr<Private> m_private;
};

} // namespace Standins
