#pragma once

/// Peer port based on nghttp2: cleartext HTTP/2 with prior knowledge, on a libuv loop with a thread of its own.
/// Registered as "nghttp2".

#include "Common/Result.h"
#include "Ports/PeerPort.h"
#include "Ports/PortError.h"

#include <cstdint>
#include <memory>

namespace Adapters {

class PeerLoop;

/// Safeguards of the peer adapter. Tests disable one to reproduce the fault that it prevents.
struct PeerGuards {
    bool closeSuperseded = true; ///< A host's new connection closes its old one, whose frames could else arrive after newer ones.
};

/// Each host dials each of its peers; frames are sent from the dialler to the listener. A frame is sent at most once: frames
/// that are queued or in flight when a connection breaks are dropped, and the sinks of both sides get onPeerDisconnected().
/// There is neither authentication nor encryption: the host id that a dialler sends is trusted.
class Nghttp2Peers : public Ports::PeerPort {
public:
    /// Fails if the host id or the listen address is invalid.
    static Common::Result<std::unique_ptr<Nghttp2Peers>, Ports::PortError> create(const Ports::PeerSettings&, const PeerGuards& = {});
    ~Nghttp2Peers() override;

    /// Call once. Throws Ports::PortError if the address can't be bound. The sink is called on the loop's thread until stop()
    /// returns, and must not throw or call stop().
    void start(Ports::PeerSink&) override;
    /// Replaces the set of peers. Peers with an invalid host id or address are ignored, and so is this host itself. A peer that
    /// is removed or has another address is disconnected.
    void setPeers(std::vector<Ports::PeerAddress>) override;
    /// Queues a frame. Returns false, and the frame is certainly not sent, if the peer isn't connected, its queue is full or the
    /// frame is too large.
    bool send(const Ports::HostId&, std::string frame) override;
    /// Sends the queued frames, for half a second at most, then closes every connection and joins the thread.
    void stop() override;

    /// Port that start() has bound, for settings with port 0.
    std::uint16_t listenPort() const;

private:
    explicit Nghttp2Peers(std::unique_ptr<PeerLoop>);

    std::unique_ptr<PeerLoop> m_loop;
};

} // namespace Adapters
