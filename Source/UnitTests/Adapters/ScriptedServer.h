#pragma once

/// An HTTP server whose responses a test writes itself, byte by byte.

#include "Adapters/CallersRawSocket.h"

#include <atomic>
#include <doctest/doctest.h>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace AdapterTests {

/// Listens on loopback and runs a script for each request, on a thread per connection. A script returns false to close the
/// connection. Connections are served until the client closes them; the destructor waits for that.
class ScriptedServer {
public:
    using Script = std::function<bool(RawSocket&, const HttpMessage&)>;

    ScriptedServer(std::uint16_t port, Script script)
        : m_port(port)
        , m_script(std::move(script))
        , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const int on = 1;
        ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const auto address = RawSocket::loopback(port);
        REQUIRE(::bind(m_listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
        REQUIRE(::listen(m_listener, 64) == 0);
        m_acceptor = std::thread([this] { acceptAll(); });
    }

    ~ScriptedServer()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        m_acceptor.join();
        ::close(m_listener);
        for (auto& thread : m_threads)
            thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    int requests() const { return m_requests; }
    int connections() const { return m_connections; }

private:
    void acceptAll()
    {
        for (;;) {
            const int fd = ::accept(m_listener, nullptr, nullptr);
            if (fd < 0)
                return;
            ++m_connections;
            m_threads.emplace_back([this, fd] { serve(RawSocket(fd)); });
        }
    }

    void serve(RawSocket socket)
    {
        while (const auto request = socket.read()) {
            ++m_requests;
            if (!m_script(socket, *request))
                return;
        }
    }

    std::uint16_t m_port;
    Script m_script;
    int m_listener;
    std::atomic<int> m_requests { 0 };
    std::atomic<int> m_connections { 0 };
    std::vector<std::thread> m_threads; // Accessed by the acceptor and, once that has ended, by the destructor.
    std::thread m_acceptor;
};

} // namespace AdapterTests
