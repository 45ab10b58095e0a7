#pragma once

/// One HTTP/2 connection between two hosts. Frames travel from the dialler to the listener in the body of one
/// long-lived request, so that a message costs neither a stream nor headers.

#include "Ports/PeerPort.h"

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include <uv.h>

namespace Adapters {

class PeerConnection;

/// Hears what happens on connections; called on the loop's thread.
class ConnectionOwner {
public:
    virtual ~ConnectionOwner() = default;
    /// Both sides have agreed: peer() is known to a listener, and a dialler may enqueue frames.
    virtual void connectionEstablished(PeerConnection&) = 0;
    virtual void onFrameReceived(PeerConnection&, std::string frame) = 0;
    /// A frame of that size has left the connection's queue.
    virtual void frameWritten(PeerConnection&, std::size_t frameBytes) = 0;
    /// Nothing more comes or goes; frames still queued are dropped.
    virtual void connectionClosed(PeerConnection&) = 0;
    /// The last event: the owner deletes the connection.
    virtual void connectionReleased(PeerConnection&) = 0;
    /// Scratch space for one read, shared by all connections of the loop.
    virtual uv_buf_t readBuffer() = 0;
};

/// Limits that all connections of a host share.
struct ConnectionSettings {
    Ports::HostId self;
    std::size_t maximumFrameBytes = 0;
};

/// True for 1 to 64 letters, digits, dots, hyphens and underscores.
bool isValidHostId(const Ports::HostId&);

/// Lives on one loop and is used on its thread only.
class PeerConnection {
public:
    /// A connection to `peer`, which is dialled at once; a failure is told by connectionClosed(), later.
    static std::unique_ptr<PeerConnection> dial(uv_loop_t&, const ConnectionSettings&, ConnectionOwner&, const Ports::HostId& peer, const sockaddr_storage&);
    /// The next connection that waits at a listener; `peer()` is empty until it is established.
    static std::unique_ptr<PeerConnection> accept(uv_stream_t& listener, const ConnectionSettings&, ConnectionOwner&);
    ~PeerConnection();
    PeerConnection(const PeerConnection&) = delete;
    PeerConnection& operator=(const PeerConnection&) = delete;

    const Ports::HostId& peer() const;
    bool isDialler() const;
    bool isEstablished() const;

    /// Sends frames in order; on an established dialler only.
    void enqueue(std::vector<std::string> frames);
    /// Sends what is queued and ends the request; the listener then closes the connection.
    void finish();
    /// To be called once a liveness interval: pings, and closes a connection that is silent or doesn't get established.
    void tick();
    /// Closes at once; harmless on a closed connection.
    void close();

private:
    struct Private;
    explicit PeerConnection(std::unique_ptr<Private>);

    std::unique_ptr<Private> m_private;
};

} // namespace Adapters
