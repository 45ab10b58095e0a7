#include "Adapters/Peers/PeerLoop.h"

#include "Adapters/Peers/FrameReader.h"
#include "Adapters/Peers/UvHandles.h"
#include "Common/SocketAddress.h"
#include "Ports/PortError.h"

#include <csignal>
#include <utility>

#include <netinet/in.h>

namespace Adapters {

namespace {

    constexpr std::size_t readBufferBytes = std::size_t { 64 } << 10;
    constexpr int listenBacklog = 511;
    constexpr std::size_t maximumConnections = 4096;
    constexpr std::chrono::milliseconds livenessInterval { 1000 };
    constexpr std::chrono::milliseconds lingerTime { 500 };

    /// Makes writes to a closed connection fail with an error instead of a signal.
    void blockBrokenPipeSignal()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGPIPE);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    }

} // namespace

PeerLoop::PeerLoop(const Ports::PeerSettings& settings, const sockaddr_storage& listenAddress, const PeerGuards& guards)
    : m_settings(settings)
    , m_listenAddress(listenAddress)
    , m_guards(guards)
    , m_connectionSettings { settings.self, settings.maximumFrameBytes }
    , m_readBuffer(readBufferBytes)
{
}

PeerLoop::~PeerLoop() { stop(); }

void PeerLoop::start(Ports::PeerSink& sink)
{
    m_sink = &sink;
    openHandles();
    if (const int ec = listen(); ec != 0) {
        closeHandles();
        run();
        throw Ports::PortError("can't listen for peers on " + m_settings.listenAddress + ": " + uv_strerror(ec));
    }
    startTimer(
        m_livenessTimer, [](uv_timer_t* it) { static_cast<PeerLoop*>(it->data)->onTick(); }, livenessInterval, livenessInterval);
    {
        const std::lock_guard lock(m_mutex);
        m_running = true;
        if (m_newPeers)
            uv_async_send(&m_wake);
    }
    m_thread = std::thread([this] {
        blockBrokenPipeSignal();
        run();
    });
}

void PeerLoop::setPeers(std::vector<Ports::PeerAddress> peers)
{
    const std::lock_guard lock(m_mutex);
    m_newPeers = std::move(peers);
    if (m_running)
        uv_async_send(&m_wake);
}

bool PeerLoop::send(const Ports::HostId& host, std::string frame)
{
    if (frame.size() > m_settings.maximumFrameBytes)
        return false;
    const std::lock_guard lock(m_mutex);
    const auto it = m_outboxes.find(host);
    if (!m_running || it == m_outboxes.end() || !it->second->connected)
        return false;
    auto& outbox = *it->second;
    const auto bytes = frame.size() + framePrefixBytes;
    if (outbox.queuedBytes + bytes > m_settings.maximumQueuedBytes)
        return false;
    outbox.queuedBytes += bytes;
    outbox.pending.push_back(std::move(frame));
    if (std::exchange(outbox.dirty, true))
        return true;
    m_dirty.emplace_back(host, it->second);
    uv_async_send(&m_wake);
    return true;
}

void PeerLoop::stop()
{
    if (!m_thread.joinable())
        return;
    {
        const std::lock_guard lock(m_mutex);
        m_stopRequested = true;
        if (m_running)
            uv_async_send(&m_wake);
    }
    m_thread.join();
}

void PeerLoop::openHandles()
{
    uv_loop_init(&m_loop);
    uv_tcp_init(&m_loop, &m_listener);
    uv_async_init(&m_loop, &m_wake, [](uv_async_t* it) { static_cast<PeerLoop*>(it->data)->onWake(); });
    for (auto* timer : { &m_livenessTimer, &m_redialTimer, &m_lingerTimer }) {
        uv_timer_init(&m_loop, timer);
        timer->data = this;
    }
    m_listener.data = this;
    m_wake.data = this;
}

int PeerLoop::listen()
{
    if (const int ec = uv_tcp_bind(&m_listener, reinterpret_cast<const sockaddr*>(&m_listenAddress), 0); ec != 0)
        return ec;
    const auto onConnection = [](uv_stream_t* it, int status) {
        if (status == 0)
            static_cast<PeerLoop*>(it->data)->acceptPending();
    };
    if (const int ec = uv_listen(asStream(m_listener), listenBacklog, onConnection); ec != 0)
        return ec;
    sockaddr_storage bound {};
    int size = sizeof(bound);
    if (const int ec = uv_tcp_getsockname(&m_listener, reinterpret_cast<sockaddr*>(&bound), &size); ec != 0)
        return ec;
    const bool isIp4 = bound.ss_family == AF_INET;
    m_listenPort = ntohs(isIp4 ? reinterpret_cast<sockaddr_in*>(&bound)->sin_port : reinterpret_cast<sockaddr_in6*>(&bound)->sin6_port);
    return 0;
}

void PeerLoop::closeHandles()
{
    closeHandle(m_listener);
    closeHandle(m_wake);
    closeHandle(m_livenessTimer);
    closeHandle(m_redialTimer);
    closeHandle(m_lingerTimer);
}

void PeerLoop::run()
{
    uv_run(&m_loop, UV_RUN_DEFAULT);
    uv_loop_close(&m_loop);
}

void PeerLoop::beginStop()
{
    m_stopping = true;
    closeHandle(m_listener);
    closeHandle(m_redialTimer);
    {
        const std::lock_guard lock(m_mutex);
        m_running = false;
    }
    flushOutboxes();
    startTimer(
        m_lingerTimer, [](uv_timer_t* it) { static_cast<PeerLoop*>(it->data)->endStop(); }, lingerTime);
    std::vector<PeerConnection*> outgoing;
    for (const auto& [host, dialler] : m_diallers)
        if (dialler.connection)
            outgoing.push_back(dialler.connection);
    for (auto* connection : outgoing) {
        if (connection->isEstablished())
            connection->finish();
        else
            connection->close();
    }
    if (outgoing.empty())
        endStop();
}

void PeerLoop::endStop()
{
    if (std::exchange(m_stopped, true))
        return;
    for (const auto& [connection, owned] : m_connections)
        connection->close();
    closeHandles();
}

void PeerLoop::onWake()
{
    std::optional<std::vector<Ports::PeerAddress>> peers;
    bool stopRequested = false;
    {
        const std::lock_guard lock(m_mutex);
        peers = std::exchange(m_newPeers, std::nullopt);
        stopRequested = m_stopRequested;
    }
    if (m_stopping)
        return;
    if (peers)
        applyPeers(std::move(*peers));
    flushOutboxes();
    if (stopRequested)
        beginStop();
}

void PeerLoop::onTick()
{
    for (const auto& [connection, owned] : m_connections)
        connection->tick();
}

void PeerLoop::acceptPending()
{
    auto connection = PeerConnection::accept(*asStream(m_listener), m_connectionSettings, *this);
    auto* it = connection.get();
    m_connections.emplace(it, std::move(connection));
    if (m_connections.size() > maximumConnections)
        it->close();
}

/// Moves pending frames from the outboxes to their connections.
void PeerLoop::flushOutboxes()
{
    std::vector<std::pair<Ports::HostId, std::vector<std::string>>> batches;
    {
        const std::lock_guard lock(m_mutex);
        for (auto& [host, outbox] : m_dirty) {
            outbox->dirty = false;
            if (outbox->connected)
                batches.emplace_back(host, std::exchange(outbox->pending, {}));
        }
        m_dirty.clear();
    }
    for (auto& [host, frames] : batches) {
        const auto it = m_diallers.find(host);
        if (it != m_diallers.end() && it->second.connection)
            it->second.connection->enqueue(std::move(frames));
    }
}

bool PeerLoop::isUsable(const Ports::PeerAddress& peer) const
{
    return peer.host != m_settings.self && isValidHostId(peer.host) && Common::parseSocketAddress(peer.address, Common::AddressUse::Connect);
}

void PeerLoop::applyPeers(std::vector<Ports::PeerAddress> peers)
{
    std::map<Ports::HostId, Ports::PeerAddress> wanted;
    for (auto& peer : peers)
        if (isUsable(peer))
            wanted.emplace(peer.host, peer);

    std::vector<Ports::HostId> removed;
    for (const auto& [host, dialler] : m_diallers) {
        const auto it = wanted.find(host);
        if (it == wanted.end() || it->second != dialler.address)
            removed.push_back(host);
    }
    for (const auto& host : removed)
        removeDialler(host);
    for (const auto& [host, peer] : wanted)
        if (!m_diallers.contains(host))
            addDialler(peer);
}

void PeerLoop::addDialler(const Ports::PeerAddress& peer)
{
    auto outbox = std::make_shared<Outbox>();
    {
        const std::lock_guard lock(m_mutex);
        m_outboxes[peer.host] = outbox;
    }
    auto& dialler = m_diallers[peer.host];
    dialler = { peer, *Common::parseSocketAddress(peer.address, Common::AddressUse::Connect), std::move(outbox), nullptr };
    dial(dialler);
}

void PeerLoop::removeDialler(const Ports::HostId& host)
{
    {
        const std::lock_guard lock(m_mutex);
        m_outboxes.erase(host);
    }
    if (auto* connection = m_diallers[host].connection)
        connection->close();
    m_diallers.erase(host);
}

void PeerLoop::dialAll()
{
    for (auto& [host, dialler] : m_diallers)
        if (!dialler.connection)
            dial(dialler);
}

void PeerLoop::dial(Dialler& dialler)
{
    auto connection = PeerConnection::dial(m_loop, m_connectionSettings, *this, dialler.address.host, dialler.socketAddress);
    dialler.connection = connection.get();
    m_connections.emplace(dialler.connection, std::move(connection));
}

PeerLoop::Dialler* PeerLoop::findDialler(const PeerConnection& connection)
{
    const auto it = m_diallers.find(connection.peer());
    if (it == m_diallers.end() || it->second.connection != &connection)
        return nullptr;
    return &it->second;
}

void PeerLoop::onConnectionEstablished(PeerConnection& connection)
{
    if (!connection.isDialler()) {
        handleInboundEstablished(connection);
        return;
    }
    if (auto* dialler = findDialler(connection); dialler && !m_stopping) {
        const std::lock_guard lock(m_mutex);
        dialler->outbox->connected = true;
    }
}

/// A host that dials again has abandoned its old connection, even if that one still looks open here.
void PeerLoop::handleInboundEstablished(PeerConnection& connection)
{
    const auto it = m_inbound.find(connection.peer());
    if (it != m_inbound.end() && m_guards.closeSuperseded)
        it->second->close();
    m_inbound[connection.peer()] = &connection;
}

void PeerLoop::onConnectionFrame(PeerConnection& connection, std::string frame)
{
    m_sink->onFrameReceived(connection.peer(), std::move(frame));
}

void PeerLoop::onFrameWritten(PeerConnection& connection, std::size_t frameBytes)
{
    if (auto* dialler = findDialler(connection))
        dialler->outbox->queuedBytes -= frameBytes + framePrefixBytes;
}

void PeerLoop::onConnectionClosed(PeerConnection& connection)
{
    const auto peer = connection.peer();
    const bool wasEstablished = connection.isEstablished();
    if (auto* dialler = findDialler(connection)) {
        handleDiallerClosed(*dialler, wasEstablished);
    } else if (const auto it = m_inbound.find(peer); it != m_inbound.end() && it->second == &connection) {
        m_inbound.erase(it);
    }
    if (wasEstablished)
        m_sink->onPeerDisconnected(peer);
}

void PeerLoop::handleDiallerClosed(Dialler& dialler, bool wasEstablished)
{
    dialler.connection = nullptr;
    if (wasEstablished)
        closeOutbox(*dialler.outbox);
    if (!m_stopping) {
        if (!uv_is_active(asHandle(m_redialTimer)))
            startTimer(
                m_redialTimer, [](uv_timer_t* it) { static_cast<PeerLoop*>(it->data)->dialAll(); }, m_settings.reconnectDelay);
        return;
    }
    for (const auto& [host, it] : m_diallers)
        if (it.connection)
            return;
    endStop();
}

void PeerLoop::closeOutbox(Outbox& outbox)
{
    const std::lock_guard lock(m_mutex);
    outbox.connected = false;
    outbox.pending.clear();
    outbox.queuedBytes = 0;
}

void PeerLoop::onConnectionReleased(PeerConnection& connection) { m_connections.erase(&connection); }

uv_buf_t PeerLoop::readBuffer() { return uv_buf_init(m_readBuffer.data(), static_cast<unsigned>(m_readBuffer.size())); }

} // namespace Adapters
