#include "Adapters/Peers/PeerConnection.h"

#include "Adapters/Peers/PeerConnectionPrivate.h"

#include <algorithm>
#include <utility>

namespace Adapters {

namespace {

    constexpr std::size_t maximumHostIdBytes = 64;
    constexpr std::size_t writeBatchBytes = std::size_t { 256 } << 10;
    /// A connection is closed after more than this many liveness intervals without a byte from the peer or without a completed
    /// handshake.
    constexpr unsigned maximumIdleTicks = 3;

} // namespace

bool isValidHostId(const Ports::HostId& host)
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-_";
    return !host.empty() && host.size() <= maximumHostIdBytes && host.find_first_not_of(allowed) == std::string::npos;
}

void PeerConnection::Private::open(PeerConnection& connection, uv_loop_t& loop)
{
    self = &connection;
    uv_tcp_init(&loop, &socket);
    socket.data = this;
    connectRequest.data = this;
    writeRequest.data = this;
}

void PeerConnection::Private::handleConnect(int status)
{
    if (closing)
        return;
    if (status != 0) {
        close();
        return;
    }
    startReading();
}

void PeerConnection::Private::startReading()
{
    uv_tcp_nodelay(&socket, 1);
    const auto allocate = [](uv_handle_t* handle, std::size_t, uv_buf_t* buf) { *buf = static_cast<Private*>(handle->data)->owner.readBuffer(); };
    const auto read = [](uv_stream_t* handle, ssize_t size, const uv_buf_t* buf) {
        auto* it = static_cast<Private*>(handle->data);
        if (size < 0)
            it->close();
        else if (size > 0)
            it->handleBytes({ buf->base, static_cast<std::size_t>(size) });
    };
    if (!openSession() || uv_read_start(reinterpret_cast<uv_stream_t*>(&socket), allocate, read) != 0) {
        close();
        return;
    }
    pump();
}

void PeerConnection::Private::handleBytes(std::string_view bytes)
{
    idleTicks = 0;
    const auto taken = nghttp2_session_mem_recv(session, reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
    deliver();
    if (taken < 0 || failed || streamEnded) {
        close();
        return;
    }
    pump();
    const bool isOver = !nghttp2_session_want_read(session) && !nghttp2_session_want_write(session);
    if (isOver && !writing)
        close();
}

/// Passes received frames on outside nghttp2's callbacks, so that no exception passes through C code.
void PeerConnection::Private::deliver()
{
    if (accepted && !established && !closing) {
        established = true;
        owner.onConnectionEstablished(*self);
    }
    auto frames = std::exchange(receivedFrames, {});
    for (auto& frame : frames) {
        if (closing)
            return;
        owner.onConnectionFrame(*self, std::move(frame));
    }
}

void PeerConnection::Private::pump()
{
    while (!closing && !writing && session) {
        std::string batch;
        while (batch.size() < writeBatchBytes) {
            const std::uint8_t* data = nullptr;
            const auto size = nghttp2_session_mem_send(session, &data);
            if (size < 0) {
                close();
                return;
            }
            if (size == 0)
                break;
            batch.append(asText(data, static_cast<std::size_t>(size)));
        }
        if (batch.empty() || !write(std::move(batch)))
            return;
    }
}

bool PeerConnection::Private::write(std::string batch)
{
    auto* stream = reinterpret_cast<uv_stream_t*>(&socket);
    auto buf = uv_buf_init(batch.data(), static_cast<unsigned>(batch.size()));
    const int written = uv_try_write(stream, &buf, 1);
    if (written < 0 && written != UV_EAGAIN) {
        close();
        return false;
    }
    const auto done = static_cast<std::size_t>(std::max(written, 0));
    if (done == batch.size())
        return true;

    writeBuffer = std::move(batch);
    buf = uv_buf_init(writeBuffer.data() + done, static_cast<unsigned>(writeBuffer.size() - done));
    const auto finished = [](uv_write_t* request, int ec) {
        auto* it = static_cast<Private*>(request->data);
        it->writing = false;
        if (ec != 0)
            it->close();
        else
            it->pump();
    };
    writing = uv_write(&writeRequest, stream, &buf, 1, finished) == 0;
    if (!writing)
        close();
    return false;
}

void PeerConnection::Private::resumeBody()
{
    if (closing || !session)
        return;
    nghttp2_session_resume_data(session, stream);
    pump();
}

void PeerConnection::Private::close()
{
    if (closing)
        return;
    closing = true;
    queue.clear();
    owner.onConnectionClosed(*self);
    uv_close(reinterpret_cast<uv_handle_t*>(&socket), [](uv_handle_t* handle) {
        auto* it = static_cast<Private*>(handle->data);
        it->owner.onConnectionReleased(*it->self);
    });
}

PeerConnection::PeerConnection(std::unique_ptr<Private> internals)
    : m_private(std::move(internals))
{
}

PeerConnection::~PeerConnection() = default;

std::unique_ptr<PeerConnection> PeerConnection::dial(
    uv_loop_t& loop, const ConnectionSettings& settings, ConnectionOwner& owner, const Ports::HostId& peer, const sockaddr_storage& address)
{
    std::unique_ptr<PeerConnection> connection(new PeerConnection(std::make_unique<Private>(settings, owner, true)));
    auto& it = *connection->m_private;
    it.open(*connection, loop);
    it.peer = peer;
    const auto done = [](uv_connect_t* request, int status) { static_cast<Private*>(request->data)->handleConnect(status); };
    // If this fails at once, tick() closes the connection, like any other that isn't established in time.
    uv_tcp_connect(&it.connectRequest, &it.socket, reinterpret_cast<const sockaddr*>(&address), done);
    return connection;
}

std::unique_ptr<PeerConnection> PeerConnection::accept(uv_stream_t& listener, const ConnectionSettings& settings, ConnectionOwner& owner)
{
    std::unique_ptr<PeerConnection> connection(new PeerConnection(std::make_unique<Private>(settings, owner, false)));
    auto& it = *connection->m_private;
    it.open(*connection, *listener.loop);
    // On failure, tick() closes the connection.
    if (uv_accept(&listener, reinterpret_cast<uv_stream_t*>(&it.socket)) == 0)
        it.startReading();
    return connection;
}

const Ports::HostId& PeerConnection::peer() const { return m_private->peer; }
bool PeerConnection::isDialler() const { return m_private->dialler; }
bool PeerConnection::isEstablished() const { return m_private->established; }

void PeerConnection::enqueue(std::vector<std::string> frames)
{
    if (m_private->closing)
        return;
    for (auto& frame : frames)
        m_private->queue.push_back(std::move(frame));
    m_private->resumeBody();
}

void PeerConnection::finish()
{
    m_private->finishing = true;
    m_private->resumeBody();
}

void PeerConnection::tick()
{
    auto& it = *m_private;
    if (it.closing)
        return;
    const bool timedOut = ++it.idleTicks > maximumIdleTicks;
    const bool handshakeTimedOut = !it.established && ++it.handshakeTicks > maximumIdleTicks;
    if (timedOut || handshakeTimedOut) {
        close();
        return;
    }
    if (!it.session)
        return;
    nghttp2_submit_ping(it.session, NGHTTP2_FLAG_NONE, nullptr);
    it.pump();
}

void PeerConnection::close() { m_private->close(); }

} // namespace Adapters
