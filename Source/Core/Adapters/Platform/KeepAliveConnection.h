#pragma once

/// A single connection of a KeepAliveClient.

#include <chrono>
#include <cstdint>
#include <http_parser.h>
#include <list>
#include <string>
#include <string_view>
#include <uv.h>

namespace Adapters {

/// Carries one call at a time. Deletes itself once the loop has closed it. Used on the loop's thread only.
class KeepAliveConnection {
public:
    /// Receives the events of a connection. onAnswer() may send the next request or close the connection.
    class Owner {
    public:
        /// The connection is ready for its first request.
        virtual void onConnectionOpened(KeepAliveConnection&) = 0;
        /// A part of an answer was received.
        virtual void onAnswerProgress(KeepAliveConnection&) = 0;
        /// A complete answer was received. The connection may carry another call if `isReusable`; else the owner closes it.
        virtual void onAnswer(KeepAliveConnection&, bool isReusable) = 0;
        /// The connection failed or was closed by the peer. It is closed already and frees itself.
        virtual void onConnectionLost(KeepAliveConnection&) = 0;

    protected:
        ~Owner() = default;
    };

    /// Returns null if the address isn't numeric or connecting fails at once. Else onConnectionOpened() or onConnectionLost() is
    /// called later.
    static KeepAliveConnection* connect(uv_loop_t*, Owner&, const std::string& address, std::chrono::milliseconds peerTimeout);

    /// Sends a request. onConnectionLost() may be called before this returns.
    void send(std::string request);
    /// Resets the connection, which drops unsent bytes of a request in the system. Calls no function of the owner.
    void close();

    const std::string& address() const { return m_address; }
    bool mayHaveBeenSent() const { return m_mayHaveBeenSent; } ///< True if bytes of the current request may have been sent.

    std::uint64_t call = 0; ///< Owner's id of the current call; zero while idle.
    std::list<KeepAliveConnection*>::iterator idlePosition {}; ///< Place in the owner's list of idle connections; valid while idle.
    int status = 0; ///< HTTP status of the current answer.
    std::string body; ///< Of the current answer.

private:
    explicit KeepAliveConnection(Owner&, std::string address);
    ~KeepAliveConnection() = default;

    static int onBody(http_parser*, const char* bytes, std::size_t n);
    static int onComplete(http_parser*);
    static void onConnected(uv_connect_t*, int status);
    static void onRead(uv_stream_t*, ssize_t n, const uv_buf_t*);
    static void onWritten(uv_write_t*, int status);

    void setOptions(std::chrono::milliseconds peerTimeout);
    void handleBytes(const char* bytes, std::size_t n);
    void fail();

    Owner& m_owner;
    std::string m_address;
    uv_tcp_t m_socket {};
    uv_connect_t m_connecting {};
    uv_write_t m_writing {};
    http_parser m_parser {};
    std::string m_unsent; ///< The current request; must stay valid until the system has accepted all of it.
    bool m_mayHaveBeenSent = false;
    bool m_isComplete = false;
    bool m_isReusable = false;
    bool m_isClosed = false;
};

} // namespace Adapters
