#include "Adapters/Platform/KeepAliveConnection.h"

#include "Common/SocketAddress.h"

#include <algorithm>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utility>

namespace Adapters {

namespace {

    constexpr int keepAliveProbes = 3; ///< Unanswered probes after which the system closes a connection.
    constexpr std::size_t readBytes = 65536; ///< Maximum of one read; a worker's list of a hundred runs has about ten thousand bytes.

    /// All connections of a thread share one buffer, since each read is processed before the next.
    void provideBuffer(uv_handle_t*, std::size_t, uv_buf_t* buf)
    {
        thread_local std::array<char, readBytes> s_bytes;
        *buf = uv_buf_init(s_bytes.data(), s_bytes.size());
    }

} // namespace

KeepAliveConnection::KeepAliveConnection(Owner& owner, std::string address)
    : m_owner(owner)
    , m_address(std::move(address))
{
    m_socket.data = this;
    m_connecting.data = this;
    m_writing.data = this;
    m_parser.data = this;
}

KeepAliveConnection* KeepAliveConnection::connect(uv_loop_t* loop, Owner& owner, const std::string& address, std::chrono::milliseconds peerTimeout)
{
    const auto peer = Common::parseSocketAddress(address, Common::AddressUse::Connect);
    if (!peer)
        return nullptr;
    auto* connection = new KeepAliveConnection(owner, address);
    uv_tcp_init(loop, &connection->m_socket);
    if (uv_tcp_connect(&connection->m_connecting, &connection->m_socket, reinterpret_cast<const sockaddr*>(&*peer), onConnected) != 0) {
        connection->close();
        return nullptr;
    }
    connection->setOptions(peerTimeout);
    return connection;
}

/// Detects an unreachable peer within `peerTimeout`: by keep-alive probes while nothing is sent, and by TCP_USER_TIMEOUT while
/// sent data isn't acknowledged.
void KeepAliveConnection::setOptions(std::chrono::milliseconds peerTimeout)
{
    constexpr int secondInMilliseconds = 1000;
    uv_os_fd_t socket = -1;
    if (uv_fileno(reinterpret_cast<uv_handle_t*>(&m_socket), &socket) != 0)
        return;
    const int interval = std::max(1, static_cast<int>(peerTimeout.count() / secondInMilliseconds / (keepAliveProbes + 1)));
    const auto userTimeout = static_cast<unsigned>(peerTimeout.count());
    const int on = 1;
    // A close resets the connection, also when the process dies, and drops unsent bytes. Otherwise they could reach the peer
    // once a network partition ends.
    const linger reset { 1, 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    uv_tcp_nodelay(&m_socket, 1);
    setsockopt(socket, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPIDLE, &interval, sizeof interval);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
    setsockopt(socket, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbes, sizeof keepAliveProbes);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeout, sizeof userTimeout);
}

void KeepAliveConnection::onConnected(uv_connect_t* request, int status)
{
    auto& self = *static_cast<KeepAliveConnection*>(request->data);
    if (self.m_isClosed)
        return;
    if (status != 0 || uv_read_start(reinterpret_cast<uv_stream_t*>(&self.m_socket), provideBuffer, onRead) != 0) {
        self.fail();
        return;
    }
    self.m_owner.onConnectionOpened(self);
}

void KeepAliveConnection::send(std::string request)
{
    http_parser_init(&m_parser, HTTP_RESPONSE);
    status = 0;
    body.clear();
    m_isComplete = false;
    m_mayHaveBeenSent = false;
    m_unsent = std::move(request);
    auto* stream = reinterpret_cast<uv_stream_t*>(&m_socket);
    uv_buf_t buf = uv_buf_init(m_unsent.data(), static_cast<unsigned>(m_unsent.size()));
    const int n = uv_try_write(stream, &buf, 1);
    if (n < 0 && n != UV_EAGAIN) {
        fail();
        return;
    }
    m_mayHaveBeenSent = n > 0;
    if (n > 0 && static_cast<std::size_t>(n) == m_unsent.size())
        return;
    const auto done = static_cast<std::size_t>(std::max(0, n));
    buf = uv_buf_init(m_unsent.data() + done, static_cast<unsigned>(m_unsent.size() - done));
    m_mayHaveBeenSent = true; // The system may send the rest at any time.
    if (uv_write(&m_writing, stream, &buf, 1, onWritten) != 0)
        fail();
}

void KeepAliveConnection::onWritten(uv_write_t* request, int status)
{
    auto& self = *static_cast<KeepAliveConnection*>(request->data);
    if (status != 0 && !self.m_isClosed)
        self.fail();
}

void KeepAliveConnection::onRead(uv_stream_t* stream, ssize_t n, const uv_buf_t* buf)
{
    auto& self = *static_cast<KeepAliveConnection*>(stream->data);
    if (n > 0)
        self.handleBytes(buf->base, static_cast<std::size_t>(n));
    else if (n < 0 && n != UV_EAGAIN)
        self.handleBytes(nullptr, 0);
}

int KeepAliveConnection::onBody(http_parser* parser, const char* bytes, std::size_t n)
{
    static_cast<KeepAliveConnection*>(parser->data)->body.append(bytes, n);
    return 0;
}

int KeepAliveConnection::onComplete(http_parser* parser)
{
    constexpr unsigned firstFinalStatus = 200;
    auto& self = *static_cast<KeepAliveConnection*>(parser->data);
    if (parser->status_code < firstFinalStatus)
        return 0; // Interim response; the final one follows.
    self.m_isComplete = true;
    self.m_isReusable = http_should_keep_alive(parser) != 0;
    self.status = static_cast<int>(parser->status_code);
    http_parser_pause(parser, 1);
    return 0;
}

/// Zero bytes mean that the peer has closed the connection or reading failed. A close may end an answer without a length.
void KeepAliveConnection::handleBytes(const char* bytes, std::size_t n)
{
    static const http_parser_settings s_settings = [] {
        http_parser_settings settings {};
        http_parser_settings_init(&settings);
        settings.on_body = onBody;
        settings.on_message_complete = onComplete;
        return settings;
    }();
    if (call == 0) {
        fail(); // Closed by the peer, or an unsolicited answer.
        return;
    }
    const auto read = http_parser_execute(&m_parser, &s_settings, bytes, n);
    if (m_isComplete) {
        m_owner.onAnswer(*this, m_isReusable && n > 0 && read == n);
        return;
    }
    if (n == 0 || HTTP_PARSER_ERRNO(&m_parser) != HPE_OK || m_parser.upgrade)
        fail();
    else
        m_owner.onAnswerProgress(*this);
}

void KeepAliveConnection::fail()
{
    if (m_isClosed)
        return;
    close();
    m_owner.onConnectionLost(*this);
}

void KeepAliveConnection::close()
{
    if (!std::exchange(m_isClosed, true))
        uv_close(reinterpret_cast<uv_handle_t*>(&m_socket), [](uv_handle_t* it) { delete static_cast<KeepAliveConnection*>(it->data); });
}

} // namespace Adapters
