#pragma once

/// Blocking loopback sockets for tests of the HTTP adapters. They can also send malformed messages.

#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <cstdint>
#include <map>
#include <netinet/tcp.h>
#include <optional>
#include <stdexcept>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace AdapterTests {

/// Head and body of an HTTP message; header names in lower case.
struct HttpMessage {
    std::string startLine;
    std::map<std::string, std::string> headers;
    std::string body;

    /// Status of a response; zero if the start line is too short.
    int status() const { return startLine.size() > 12 ? std::stoi(startLine.substr(9, 3)) : 0; }

    /// Value of a header by its lower-case name; empty if absent.
    std::string header(const std::string& name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }
};

/// Owns a connected TCP socket.
class RawSocket {
public:
    explicit RawSocket(int fd)
        : m_fd(fd)
    {
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }

    /// Throws if the port refuses the connection.
    static RawSocket connectTo(std::uint16_t port)
    {
        RawSocket result(::socket(AF_INET, SOCK_STREAM, 0));
        const auto address = loopback(port);
        if (::connect(result.m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
            throw std::runtime_error("connect failed");
        return result;
    }

    static sockaddr_in loopback(std::uint16_t port)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return address;
    }

    RawSocket(RawSocket&& other) noexcept
        : m_fd(std::exchange(other.m_fd, -1))
        , m_buf(std::move(other.m_buf))
    {
    }
    RawSocket& operator=(RawSocket&& other) noexcept
    {
        std::swap(m_fd, other.m_fd);
        std::swap(m_buf, other.m_buf);
        return *this;
    }
    ~RawSocket() { close(); }

    void close()
    {
        if (m_fd >= 0)
            ::close(std::exchange(m_fd, -1));
    }

    /// Sends all bytes; false if the connection breaks.
    bool send(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    /// Reads one message with Content-Length, or without a body; nullopt if the connection ends before it is complete.
    std::optional<HttpMessage> read()
    {
        std::size_t headEnd = 0;
        while ((headEnd = m_buf.find("\r\n\r\n")) == std::string::npos) {
            if (!fill())
                return std::nullopt;
        }
        auto message = parseHead(m_buf.substr(0, headEnd + 2));
        m_buf.erase(0, headEnd + 4);
        const auto length = message.headers.count("content-length") ? std::stoul(message.headers["content-length"]) : 0;
        while (m_buf.size() < length) {
            if (!fill())
                return std::nullopt;
        }
        message.body = m_buf.substr(0, length);
        m_buf.erase(0, length);
        return message;
    }

    /// Waits until the peer closes the connection; false if it sends bytes first.
    bool waitForClose() { return m_buf.empty() && !fill(); }
    /// Waits for the next byte; false if the peer closes the connection first.
    bool waitForBytes() { return !m_buf.empty() || fill(); }
    /// Discards bytes until the connection ends; true if it ends with a reset.
    bool waitForReset()
    {
        while (fill()) { }
        return errno == ECONNRESET;
    }

private:
    bool fill()
    {
        char chunk[16384];
        const auto n = ::recv(m_fd, chunk, sizeof(chunk), 0);
        if (n <= 0)
            return false;
        m_buf.append(chunk, static_cast<std::size_t>(n));
        return true;
    }

    static HttpMessage parseHead(const std::string& head)
    {
        HttpMessage message;
        auto begin = head.find("\r\n");
        message.startLine = head.substr(0, begin);
        for (begin += 2; begin < head.size();) {
            const auto end = head.find("\r\n", begin);
            const auto line = head.substr(begin, end - begin);
            const auto colon = line.find(':');
            std::string name = line.substr(0, colon);
            for (char& c : name)
                c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            const auto value = line.find_first_not_of(' ', colon + 1);
            message.headers[name] = value == std::string::npos ? "" : line.substr(value);
            begin = end + 2;
        }
        return message;
    }

    int m_fd;
    std::string m_buf;
};

} // namespace AdapterTests
