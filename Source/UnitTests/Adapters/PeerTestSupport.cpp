#include "Adapters/PeerTestSupport.h"

#include <array>

#include <arpa/inet.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace PeerTesting {

namespace {

    constexpr std::chrono::milliseconds pollInterval { 2 };

    sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    bool isReadable(int socket)
    {
        pollfd it { socket, POLLIN, 0 };
        return ::poll(&it, 1, static_cast<int>(pollInterval.count())) > 0;
    }

} // namespace

bool waitUntil(const std::function<bool()>& condition)
{
    const auto limit = std::chrono::steady_clock::now() + waitLimit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > limit)
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

void RecordingSink::onFrameReceived(const Ports::HostId& from, std::string frame)
{
    const std::lock_guard lock(m_mutex);
    m_frames[from].push_back(std::move(frame));
}

void RecordingSink::onPeerDisconnected(const Ports::HostId& host)
{
    const std::lock_guard lock(m_mutex);
    ++m_disconnections[host];
}

std::vector<std::string> RecordingSink::framesFrom(const Ports::HostId& host) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_frames.find(host);
    return it == m_frames.end() ? std::vector<std::string> {} : it->second;
}

std::size_t RecordingSink::countFrom(const Ports::HostId& host) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_frames.find(host);
    return it == m_frames.end() ? 0 : it->second.size();
}

int RecordingSink::disconnectionsOf(const Ports::HostId& host) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_disconnections.find(host);
    return it == m_disconnections.end() ? 0 : it->second;
}

Ports::PeerSettings settingsOf(const Ports::HostId& host, std::uint16_t port)
{
    Ports::PeerSettings settings;
    settings.self = host;
    settings.listenAddress = "127.0.0.1:" + std::to_string(port);
    settings.reconnectDelay = std::chrono::milliseconds(20);
    return settings;
}

Host::Host(const Ports::PeerSettings& settings, const Adapters::PeerGuards& guards)
    : name(settings.self)
    , peers(Adapters::Nghttp2Peers::create(settings, guards).take())
{
    peers->start(sink);
}

Ports::PeerAddress Host::address() const { return { name, "127.0.0.1:" + std::to_string(peers->listenPort()) }; }

bool Host::sendWhenConnected(const Ports::HostId& to, const std::string& frame)
{
    return waitUntil([&] { return peers->send(to, frame); });
}

int connectTo(std::uint16_t port)
{
    const int it = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = loopback(port);
    if (::connect(it, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0)
        return it;
    ::close(it);
    return -1;
}

Relay::Relay(std::uint16_t target)
    : m_target(target)
    , m_listener(::socket(AF_INET, SOCK_STREAM, 0))
{
    auto address = loopback(0);
    socklen_t size = sizeof(address);
    if (::bind(m_listener, reinterpret_cast<sockaddr*>(&address), size) != 0)
        throw std::runtime_error("the relay can't bind its port");
    ::listen(m_listener, 16);
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { run(); });
}

Relay::~Relay()
{
    m_stopping = true;
    m_thread.join();
    ::close(m_listener);
}

void Relay::run()
{
    while (!m_stopping) {
        if (!isReadable(m_listener))
            continue;
        const int clientSocket = ::accept(m_listener, nullptr, nullptr);
        const int serverSocket = connectTo(m_target);
        if (serverSocket >= 0)
            relayConnection(clientSocket, serverSocket);
        ::close(clientSocket);
        ::close(serverSocket);
        ++m_endedConnections;
    }
}

void Relay::relayConnection(int clientSocket, int serverSocket)
{
    std::string forward;
    std::string backward;
    m_cut = false;
    while (!m_stopping && !m_cut) {
        if (!relayBytes(clientSocket, serverSocket, forward) || !relayBytes(serverSocket, clientSocket, backward))
            return;
        m_heldBytes = forward.size();
    }
}

/// Returns false at the end of the stream, once all held bytes have been passed on, or if the receiver has closed.
bool Relay::relayBytes(int from, int to, std::string& held)
{
    std::array<char, 65536> buf {};
    bool ended = false;
    if (isReadable(from)) {
        const auto size = ::recv(from, buf.data(), buf.size(), MSG_DONTWAIT);
        ended = size <= 0;
        held.append(buf.data(), ended ? 0 : static_cast<std::size_t>(size));
    }
    if (m_frozen)
        return true;
    while (!held.empty()) {
        const auto size = ::send(to, held.data(), held.size(), MSG_NOSIGNAL);
        if (size < 0)
            return false;
        held.erase(0, static_cast<std::size_t>(size));
    }
    return !ended;
}

} // namespace PeerTesting
