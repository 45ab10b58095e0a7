#pragma once

/// One connection of a KeepAliveClient.

#include <chrono>
#include <cstdint>
#include <http_parser.h>
#include <string>
#include <string_view>
#include <uv.h>

namespace Adapters {

/// Carries one call after the other. Frees itself once the loop has closed it.
class KeepAliveConnection {
public:
    /// What the client is told. `answered` and `broken` may use the connection again or close it.
    class Owner {
    public:
        virtual void connected(KeepAliveConnection&) = 0;
        /// A part of an answer came.
        virtual void progressed(KeepAliveConnection&) = 0;
        /// A whole answer came; the connection may carry another call when `isReusable`.
        virtual void answered(KeepAliveConnection&, bool isReusable) = 0;
        /// It failed or the peer closed it; it's closed already.
        virtual void broken(KeepAliveConnection&) = 0;

    protected:
        ~Owner() = default;
    };

    /// Null when the address isn't numeric or no socket can be had. Later, `connected` or `broken` is called.
    static KeepAliveConnection* connect(uv_loop_t*, Owner&, const std::string& address, std::chrono::milliseconds deadPeer);

    /// Sends a request; `broken` may be called before it returns.
    void send(std::string request);
    /// Resets it, which drops what the system still holds of a request; the owner isn't told.
    void close();

    const std::string& address() const { return m_address; }
    bool hasSent() const { return m_hasSent; } ///< True when bytes of the present request may have left.

    std::uint64_t call = 0; ///< Of the owner; zero while idle.
    int status = 0; ///< Of the present answer.
    std::string body;

private:
    explicit KeepAliveConnection(Owner&, std::string address);
    ~KeepAliveConnection() = default;

    static int onBody(http_parser*, const char* bytes, std::size_t n);
    static int onComplete(http_parser*);
    static void onConnected(uv_connect_t*, int status);
    static void onRead(uv_stream_t*, ssize_t n, const uv_buf_t*);
    static void onWritten(uv_write_t*, int status);

    void setOptions(std::chrono::milliseconds deadPeer);
    void received(const char* bytes, std::size_t n);
    void fail();

    Owner& m_owner;
    std::string m_address;
    uv_tcp_t m_socket {};
    uv_connect_t m_connecting {};
    uv_write_t m_writing {};
    http_parser m_parser {};
    std::string m_unsent; ///< Of the present request, while the system takes no more.
    bool m_hasSent = false;
    bool m_isComplete = false;
    bool m_isReusable = false;
    bool m_isClosed = false;
};

} // namespace Adapters
