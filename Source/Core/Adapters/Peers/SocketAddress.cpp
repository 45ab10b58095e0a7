#include "Adapters/Peers/SocketAddress.h"

#include <charconv>

#include <uv.h>

namespace Adapters {

namespace {

    std::optional<int> parsePort(const std::string& text)
    {
        std::uint16_t port = 0;
        const auto* end = text.data() + text.size();
        const auto [rest, ec] = std::from_chars(text.data(), end, port);
        if (ec != std::errc {} || rest != end)
            return std::nullopt;
        return port;
    }

} // namespace

std::optional<sockaddr_storage> parseSocketAddress(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    const auto port = parsePort(text.substr(colon + 1));
    if (!port)
        return std::nullopt;

    sockaddr_storage address {};
    const auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        const auto inner = host.substr(1, host.size() - 2);
        if (uv_ip6_addr(inner.c_str(), *port, reinterpret_cast<sockaddr_in6*>(&address)) != 0)
            return std::nullopt;
        return address;
    }
    if (uv_ip4_addr(host.c_str(), *port, reinterpret_cast<sockaddr_in*>(&address)) != 0)
        return std::nullopt;
    return address;
}

} // namespace Adapters
