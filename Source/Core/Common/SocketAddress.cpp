#include "Common/SocketAddress.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cstring>
#include <netinet/in.h>
#include <string>

namespace Common {

namespace {

    /// The host's bytes; all of them zero for the address of all interfaces.
    using HostBytes = std::array<unsigned char, sizeof(in6_addr)>;

    std::optional<HostBytes> parseHost(int family, std::string_view text)
    {
        // inet_pton() would end the text at a zero byte.
        HostBytes bytes {};
        if (text.find('\0') != std::string_view::npos || inet_pton(family, std::string(text).c_str(), bytes.data()) != 1)
            return std::nullopt;
        return bytes;
    }

} // namespace

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (ec != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return port;
}

std::optional<sockaddr_storage> parseSocketAddress(std::string_view text, AddressUse use)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto host = text.substr(0, colon);
    const bool isVersion6 = host.size() > 2 && host.front() == '[' && host.back() == ']';
    const int family = isVersion6 ? AF_INET6 : AF_INET;
    const auto port = parsePort(text.substr(colon + 1));
    const auto bytes = parseHost(family, isVersion6 ? host.substr(1, host.size() - 2) : host);
    if (!port || !bytes || (use == AddressUse::Connect && (*port == 0 || std::ranges::all_of(*bytes, [](unsigned char it) { return it == 0; }))))
        return std::nullopt;

    sockaddr_storage address {};
    if (isVersion6) {
        auto& target = reinterpret_cast<sockaddr_in6&>(address);
        target.sin6_family = AF_INET6;
        target.sin6_port = htons(*port);
        std::memcpy(&target.sin6_addr, bytes->data(), sizeof target.sin6_addr);
    } else {
        auto& target = reinterpret_cast<sockaddr_in&>(address);
        target.sin_family = AF_INET;
        target.sin_port = htons(*port);
        std::memcpy(&target.sin_addr, bytes->data(), sizeof target.sin_addr);
    }
    return address;
}

} // namespace Common
