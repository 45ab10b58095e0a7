#pragma once

/// Small HTTP/1.1 server and client on loopback sockets, with a thread for each connection.

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Review {

using std::chrono::milliseconds;

struct HttpRequest {
    std::string method;
    std::string path;
    std::string query;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;

    /// The decoded field of the query; empty when there is none.
    std::string queryField(const std::string& name) const;
};

struct HttpResponse {
    int status = 200; ///< 0 for a call without an answer.
    std::string body = "{}";
};

/// What a server does with a call.
enum class Treatment {
    Answer,
    Silence, ///< Never answers; the connection stays open.
    Reset, ///< Resets the connection.
};

struct HttpResult {
    HttpResponse response;
    Treatment treatment = Treatment::Answer;
};

/// Listens on 127.0.0.1. The handler runs on the connection's thread and may block; it has to return soon after close().
class HttpServer {
public:
    using Handler = std::function<HttpResult(const HttpRequest&)>;

    /// Port 0 selects a free one. Throws std::runtime_error when it can't listen.
    static std::unique_ptr<HttpServer> listen(Handler, unsigned port = 0);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    unsigned port() const { return m_port; }
    /// Closes the listener and resets all connections, as the end of a process does.
    void close();

private:
    HttpServer(Handler, int socket, unsigned port);
    void accept();
    void serve(int socket);
    bool serveOne(int socket, std::string& buf);

    Handler m_handler;
    int m_socket;
    unsigned m_port;
    std::atomic<bool> m_isClosed { false };
    std::mutex m_lock; ///< Guards the connections.
    std::set<int> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/// Sends one request over a new connection and waits for the answer; status 0 without one in time.
HttpResponse httpCall(unsigned port, const HttpRequest&, milliseconds timeout);

/// A port of 127.0.0.1 that is free now.
unsigned freePort();

} // namespace Review
