#pragma once

/// One HTTP/2 connection between two hosts. Frames are sent from the dialler to the listener in the body of one long-lived
/// request, so that a frame needs neither a stream nor headers of its own.

#include "Ports/PeerPort.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <uv.h>

namespace Adapters {

class PeerConnection;

/// Receives the events of connections, on the loop's thread.
class ConnectionOwner {
public:
    virtual ~ConnectionOwner() = default;
    /// The handshake is complete: a listener now knows peer(), and a dialler may enqueue frames.
    virtual void onConnectionEstablished(PeerConnection&) = 0;
    /// A listener has received a frame.
    virtual void onConnectionFrame(PeerConnection&, std::string frame) = 0;
    /// A frame of that size, without its prefix, has left the connection's queue.
    virtual void onFrameWritten(PeerConnection&, std::size_t frameBytes) = 0;
    /// Nothing more is sent or received. Frames still queued have been dropped.
    virtual void onConnectionClosed(PeerConnection&) = 0;
    /// Last event of a connection: the owner must delete it.
    virtual void onConnectionReleased(PeerConnection&) = 0;
    /// Buffer for one read, shared by all connections of the loop.
    virtual uv_buf_t readBuffer() = 0;
};

/// Settings shared by all connections of a host.
struct ConnectionSettings {
    Ports::HostId self;
    std::size_t maximumFrameBytes = 0;
};

/// True for 1 to 64 letters, digits, dots, hyphens and underscores.
bool isValidHostId(const Ports::HostId&);

/// Belongs to one loop and is used on its thread only.
class PeerConnection {
public:
    /// Starts to connect to `peer`. A failure is reported later by onConnectionClosed().
    static std::unique_ptr<PeerConnection> dial(uv_loop_t&, const ConnectionSettings&, ConnectionOwner&, const Ports::HostId& peer, const sockaddr_storage&);
    /// Accepts the next pending connection of a listener. peer() is empty until the connection is established.
    static std::unique_ptr<PeerConnection> accept(uv_stream_t& listener, const ConnectionSettings&, ConnectionOwner&);
    ~PeerConnection();
    PeerConnection(const PeerConnection&) = delete;
    PeerConnection& operator=(const PeerConnection&) = delete;

    const Ports::HostId& peer() const;
    bool isDialler() const;
    bool isEstablished() const;

    /// Queues frames, to be sent in order. For established diallers only.
    void enqueue(std::vector<std::string> frames);
    /// Sends the queued frames and ends the request; the listener then closes the connection.
    void finish();
    /// Call once per liveness interval. Sends a ping, but closes the connection if nothing was received for more than three
    /// intervals or if it isn't established after these.
    void tick();
    /// Closes the connection immediately. Harmless if it is closed already.
    void close();

private:
    struct Private;
    explicit PeerConnection(std::unique_ptr<Private>);

    std::unique_ptr<Private> m_private;
};

} // namespace Adapters
