#pragma once

/// State of a connection. PeerSession.cpp holds its HTTP/2 part, PeerConnection.cpp its socket.

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

/// Bytes that the HTTP/2 library hands over, as text.
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

    // The session.
    bool openSession();
    bool submitRequest();
    bool acceptRequest(std::int32_t stream);
    ssize_t fillBody(std::uint8_t* buf, std::size_t length, std::uint32_t& flags);
    int headerArrived(std::int32_t stream, std::string_view name, std::string_view value);
    int frameReceived(const nghttp2_frame&);
    int bodyArrived(std::int32_t stream, std::string_view bytes);

    // The socket.
    void open(PeerConnection& connection, uv_loop_t&);
    void connected(int status);
    void startReading();
    void bytesArrived(std::string_view);
    void deliver();
    void pump();
    /// True when all was taken by the socket at once; else a write is under way, or the connection is closed.
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
    std::size_t queueOffset = 0; ///< Bytes of the first frame, prefix included, that were passed on.
    bool finishing = false;
    bool agreed = false; ///< The request was accepted.
    bool established = false; ///< The owner was told so.
    bool ended = false;
    bool failed = false;
    FrameReader reader;
    std::vector<std::string> arrived;
    unsigned silentTicks = 0;
    unsigned handshakeTicks = 0;
};

} // namespace Adapters
