#pragma once

/// HTTP/1.1 server of the stand-ins on an EventLoop. Hand-made over libuv, so that it can misbehave on purpose:
/// answers that are cut short, dropped or never sent.

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

/// An answer to send.
struct Response {
    int status = 200;
    std::vector<Header> headers;
    std::string body;
};

/// One request and the way to answer it. May be kept and answered later, on the loop's thread.
/// Does nothing once the client has gone.
class Exchange {
public:
    virtual ~Exchange() = default;
    virtual const Request& request() const = 0;
    virtual void reply(const Response&) = 0;
    /// Sends the head with the length of the whole body, then the first half of it, and closes.
    virtual void replyTruncated(const Response&) = 0;
    /// Begins an answer in chunks.
    virtual void beginStream() = 0;
    virtual void sendChunk(std::string_view) = 0;
    /// Closes the connection without an answer.
    virtual void drop() = 0;
    /// Called once if the client hangs up, or drop() is called, before the answer was sent.
    virtual void onGone(std::function<void()>) = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;
using Handler = std::function<void(const ExchangePtr&)>;

/// Listens on one address of the loopback. Used on the loop's thread, or before the loop runs.
class HttpServer {
public:
    /// Port 0 takes any free one.
    static Common::Result<std::unique_ptr<HttpServer>, StandinError> create(Adapters::EventLoop&, unsigned port, Handler, const std::string& address = "127.0.0.1");
    /// Shuts down; on the loop's thread, or with the loop not running.
    ~HttpServer();

    unsigned port() const;
    /// Open connections.
    std::size_t connectionCount() const;
    /// Closes the listener and all connections: further connects are refused. open() undoes it.
    void shutdown();
    /// Listens again on the same port; false when the port has been taken meanwhile.
    bool open();

private:
    class Private;

    explicit HttpServer(std::unique_ptr<Private>);

    std::unique_ptr<Private> m_private;
};

} // namespace Standins
