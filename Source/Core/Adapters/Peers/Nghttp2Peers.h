#pragma once

/// Peers over cleartext HTTP/2 with prior knowledge, by nghttp2 on a libuv loop with a thread of its own.
/// Registered as "nghttp2".

#include "Common/Result.h"
#include "Ports/PeerPort.h"
#include "Ports/PortError.h"

#include <cstdint>
#include <memory>

namespace Adapters {

class PeerLoop;

/// Safeguards that tests switch off to show what they prevent.
struct PeerGuards {
    bool closeSuperseded = true; ///< A host's new connection closes its old one, so that no frame comes after a newer one.
};

/// Each host dials each of its peers; frames travel from the dialler to the listener. A frame is sent at most once:
/// what is queued or under way when a connection breaks is dropped, and both sides are told. Host names are taken at
/// their word: there is neither authentication nor encryption.
class Nghttp2Peers : public Ports::PeerPort {
public:
    /// An error when the host id or the listen address can't be used.
    static Common::Result<std::unique_ptr<Nghttp2Peers>, Ports::PortError> create(const Ports::PeerSettings&, const PeerGuards& = {});
    ~Nghttp2Peers() override;

    /// To be called once. The sink is called on the loop's thread until stop() returns, and must not throw or call stop().
    void start(Ports::PeerSink&) override;
    /// Peers with an unusable name or address are left out, and so is this host itself.
    void setPeers(std::vector<Ports::PeerAddress>) override;
    /// False also while no connection to the peer stands, and for a frame that is too large.
    bool send(const Ports::HostId&, std::string frame) override;
    /// Sends what is queued, for half a second at most, then closes every connection and joins the thread.
    void stop() override;

    /// Port that start() got, for settings that leave it to the system with ":0".
    std::uint16_t listenPort() const;

private:
    explicit Nghttp2Peers(std::unique_ptr<PeerLoop>);

    std::unique_ptr<PeerLoop> m_loop;
};

} // namespace Adapters
