#pragma once

/// State of a connection. PeerSession.cpp implements the HTTP/2 session, PeerConnection.cpp the socket.

#include "Adapters/Peers/FrameReader.h"
#include "Adapters/Peers/PeerConnection.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include <nghttp2/nghttp2.h>
#include <uv.h>

namespace Adapters {

/// View of bytes from nghttp2 as text.
inline std::string_view asText(const std::uint8_t* data, std::size_t size)
{
    return { reinterpret_cast<const char*>(data), size };
}

struct PeerConnection::Private {
    Private(const ConnectionSettings& theSettings, ConnectionOwner& theOwner, bool dials)
        : settings(theSettings)
        , owner(theOwner)
        , dialler(dials)
        , reader(theSettings.maximumFrameBytes)
    {
    }

    ~Private() { nghttp2_session_del(session); }

    // HTTP/2 session.
    bool openSession();
    bool submitRequest();
    bool acceptRequest(std::int32_t stream);
    ssize_t fillBody(std::uint8_t* buf, std::size_t length, std::uint32_t& flags);
    int handleHeader(std::int32_t stream, std::string_view name, std::string_view value);
    int handleFrame(const nghttp2_frame&);
    int handleBody(std::int32_t stream, std::string_view bytes);

    // Socket.
    void open(PeerConnection& connection, uv_loop_t&);
    void handleConnect(int status);
    void startReading();
    void handleBytes(std::string_view);
    void deliver();
    void pump();
    /// True if the socket accepted the whole batch at once. Else a write is in progress, or the connection is closed.
    bool write(std::string batch);
    void resumeBody();
    void close();

    const ConnectionSettings& settings;
    ConnectionOwner& owner;
    const bool dialler;
    PeerConnection* self = nullptr;
    Ports::HostId peer;

    uv_tcp_t socket {};
    uv_connect_t connectRequest {};
    uv_write_t writeRequest {};
    std::string writeBuffer;
    bool writing = false;
    bool closing = false;

    nghttp2_session* session = nullptr;
    std::int32_t stream = -1;
    std::string method;
    std::string path;
    std::string hostValue;
    std::string status;

    std::deque<std::string> queue;
    std::size_t queueOffset = 0; ///< Bytes of the first frame, prefix included, already passed to nghttp2.
    bool finishing = false;
    bool accepted = false; ///< The request that carries the frames was accepted.
    bool established = false; ///< The owner has been notified.
    bool streamEnded = false;
    bool failed = false;
    FrameReader reader;
    std::vector<std::string> receivedFrames;
    unsigned idleTicks = 0;
    unsigned handshakeTicks = 0;
};

} // namespace Adapters
