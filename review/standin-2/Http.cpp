#include "Http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cstring>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Review {

namespace {

    constexpr int listenBacklog = 256;
    constexpr int pollInterval = 100; ///< Milliseconds between checks of whether the server was closed.
    constexpr std::size_t readSize = 65536;

    sockaddr_in loopback(unsigned port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        return address;
    }

    int bindSocket(unsigned port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto address = loopback(port);
        if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
            throw std::runtime_error("can't bind a port");
        return fd;
    }

    unsigned portOf(int fd)
    {
        sockaddr_in address {};
        socklen_t size = sizeof address;
        getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
        return ntohs(address.sin_port);
    }

    std::string lowered(std::string text)
    {
        std::ranges::transform(text, text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        return text;
    }

    void sendAll(int fd, const std::string& text)
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const auto n = ::send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return;
            sent += static_cast<std::size_t>(n);
        }
    }

    /// Reads the header lines of the head after its first line.
    std::map<std::string, std::string> readHeaders(const std::string& head)
    {
        std::map<std::string, std::string> headers;
        for (auto at = head.find("\r\n"); at != std::string::npos;) {
            const auto begin = at + 2;
            at = head.find("\r\n", begin);
            const auto line = head.substr(begin, at == std::string::npos ? at : at - begin);
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            const auto value = line.find_first_not_of(' ', colon + 1);
            headers[lowered(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
        }
        return headers;
    }

    std::size_t bodyLength(const std::map<std::string, std::string>& headers)
    {
        const auto it = headers.find("content-length");
        return it == headers.end() ? 0 : std::stoul("0" + it->second);
    }

    /// Takes a whole message from the buffer: its head and its body.
    std::optional<std::pair<std::string, std::string>> takeMessage(std::string& buf)
    {
        const auto end = buf.find("\r\n\r\n");
        if (end == std::string::npos)
            return std::nullopt;
        auto head = buf.substr(0, end);
        const auto length = bodyLength(readHeaders(head));
        if (buf.size() < end + 4 + length)
            return std::nullopt;
        auto body = buf.substr(end + 4, length);
        buf.erase(0, end + 4 + length);
        return std::pair(std::move(head), std::move(body));
    }

    HttpRequest requestOf(const std::string& head, std::string body)
    {
        HttpRequest request;
        const auto line = head.substr(0, head.find("\r\n"));
        const auto space = line.find(' ');
        request.method = line.substr(0, space);
        auto target = line.substr(space + 1, line.rfind(' ') - space - 1);
        const auto mark = target.find('?');
        request.path = target.substr(0, mark);
        request.query = mark == std::string::npos ? "" : target.substr(mark + 1);
        request.headers = readHeaders(head);
        request.body = std::move(body);
        return request;
    }

    void resetConnection(int fd)
    {
        const linger reset { 1, 0 };
        setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }

} // namespace

std::string HttpRequest::queryField(const std::string& name) const
{
    const auto begin = ("&" + query).find("&" + name + "=");
    if (begin == std::string::npos)
        return {};
    std::string decoded;
    for (auto n = begin + name.size() + 1; n < query.size() && query[n] != '&'; ++n) {
        if (query[n] == '%' && n + 2 < query.size()) {
            decoded += static_cast<char>(std::stoi(query.substr(n + 1, 2), nullptr, 16));
            n += 2;
        } else {
            decoded += query[n];
        }
    }
    return decoded;
}

std::unique_ptr<HttpServer> HttpServer::listen(Handler handler, unsigned port)
{
    const int fd = bindSocket(port);
    if (::listen(fd, listenBacklog) != 0)
        throw std::runtime_error("can't listen");
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(handler), fd, portOf(fd)));
}

HttpServer::HttpServer(Handler handler, int socket, unsigned port)
    : m_handler(std::move(handler))
    , m_socket(socket)
    , m_port(port)
    , m_acceptor([this] { accept(); })
{
}

HttpServer::~HttpServer()
{
    close();
    m_acceptor.join();
    for (auto& it : m_threads)
        it.join();
}

void HttpServer::close()
{
    if (m_isClosed.exchange(true))
        return;
    ::shutdown(m_socket, SHUT_RDWR);
    const std::lock_guard lock(m_lock);
    for (const int it : m_connections) {
        resetConnection(it);
        ::shutdown(it, SHUT_RD);
    }
}

void HttpServer::accept()
{
    while (!m_isClosed) {
        pollfd waiting { m_socket, POLLIN, 0 };
        if (::poll(&waiting, 1, pollInterval) <= 0)
            continue;
        const int fd = ::accept4(m_socket, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(m_lock);
        m_connections.insert(fd);
        m_threads.emplace_back([this, fd] { serve(fd); });
    }
    ::close(m_socket);
}

void HttpServer::serve(int socket)
{
    std::string buf;
    while (!m_isClosed && serveOne(socket, buf)) { }
    const std::lock_guard lock(m_lock);
    m_connections.erase(socket);
    ::close(socket);
}

/// Reads more of the connection and serves the request that is whole then. Returns false at the connection's end.
bool HttpServer::serveOne(int socket, std::string& buf)
{
    pollfd waiting { socket, POLLIN, 0 };
    if (::poll(&waiting, 1, pollInterval) <= 0)
        return true;
    std::string part(readSize, '\0');
    const auto n = ::recv(socket, part.data(), part.size(), 0);
    if (n <= 0)
        return false;
    buf.append(part, 0, static_cast<std::size_t>(n));
    while (const auto message = takeMessage(buf)) {
        const auto result = m_handler(requestOf(message->first, message->second));
        if (m_isClosed)
            return false;
        if (result.treatment == Treatment::Reset) {
            resetConnection(socket);
            return false;
        }
        const auto& [status, body] = result.response;
        if (result.treatment == Treatment::Answer)
            sendAll(socket, "HTTP/1.1 " + std::to_string(status) + " Answer\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    return true;
}

HttpResponse httpCall(unsigned port, const HttpRequest& request, milliseconds timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = loopback(port);
    HttpResponse response { 0, {} };
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(fd);
        return response;
    }
    auto text = request.method + " " + request.path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : request.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    sendAll(fd, text + "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body);
    std::string buf;
    while (std::chrono::steady_clock::now() < until) {
        pollfd waiting { fd, POLLIN, 0 };
        const auto left = std::chrono::ceil<milliseconds>(until - std::chrono::steady_clock::now());
        if (::poll(&waiting, 1, static_cast<int>(std::max<std::int64_t>(0, left.count()))) <= 0)
            break;
        std::string part(readSize, '\0');
        const auto n = ::recv(fd, part.data(), part.size(), 0);
        if (n <= 0)
            break;
        buf.append(part, 0, static_cast<std::size_t>(n));
        if (const auto message = takeMessage(buf)) {
            response.status = std::stoi(message->first.substr(message->first.find(' ') + 1, 3));
            response.body = message->second;
            break;
        }
    }
    ::close(fd);
    return response;
}

unsigned freePort()
{
    // Below the ports that the system gives to outgoing connections.
    constexpr unsigned firstPort = 12000;
    constexpr unsigned ports = 18000;
    constexpr unsigned portsPerProcess = 60;
    static std::atomic<unsigned> s_next { static_cast<unsigned>(::getpid()) * portsPerProcess };
    for (unsigned n = 0; n < ports; ++n) {
        const auto port = firstPort + s_next++ % ports;
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(port);
        const bool isFree = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(fd);
        if (isFree)
            return port;
    }
    throw std::runtime_error("no port is free");
}

} // namespace Review
