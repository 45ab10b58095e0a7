#include "Adapters/Peers/Nghttp2Peers.h"

#include "Adapters/Peers/PeerLoop.h"
#include "Common/SocketAddress.h"

namespace Adapters {

namespace {

    const Ports::PeerPortRegistration registration("nghttp2", [](const Ports::PeerSettings& settings) -> std::unique_ptr<Ports::PeerPort> {
        auto peers = Nghttp2Peers::create(settings);
        if (!peers)
            throw Ports::PortError(peers.error());
        return peers.take();
    });

} // namespace

Common::Result<std::unique_ptr<Nghttp2Peers>, Ports::PortError> Nghttp2Peers::create(const Ports::PeerSettings& settings, const PeerGuards& guards)
{
    if (!isValidHostId(settings.self))
        return Ports::PortError("host id '" + settings.self + "' is not 1 to 64 letters, digits, dots, hyphens or underscores");
    const auto address = Common::parseSocketAddress(settings.listenAddress, Common::AddressUse::Listen);
    if (!address)
        return Ports::PortError("peer listen address '" + settings.listenAddress + "' is not ip:port");
    return std::unique_ptr<Nghttp2Peers>(new Nghttp2Peers(std::make_unique<PeerLoop>(settings, *address, guards)));
}

Nghttp2Peers::Nghttp2Peers(std::unique_ptr<PeerLoop> loop)
    : m_loop(std::move(loop))
{
}

Nghttp2Peers::~Nghttp2Peers() { m_loop->stop(); }

void Nghttp2Peers::start(Ports::PeerSink& sink) { m_loop->start(sink); }
void Nghttp2Peers::setPeers(std::vector<Ports::PeerAddress> peers) { m_loop->setPeers(std::move(peers)); }
bool Nghttp2Peers::send(const Ports::HostId& host, std::string frame) { return m_loop->send(host, std::move(frame)); }
void Nghttp2Peers::stop() { m_loop->stop(); }
std::uint16_t Nghttp2Peers::listenPort() const { return m_loop->listenPort(); }

} // namespace Adapters
