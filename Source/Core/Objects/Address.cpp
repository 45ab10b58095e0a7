#include "Objects/Address.h"

#include "Common/SocketAddress.h"

#include <arpa/inet.h>
#include <array>
#include <string_view>

namespace Objects {

namespace {

    std::optional<std::string> canonicalHost(int family, const std::string& host)
    {
        std::array<unsigned char, sizeof(in6_addr)> number {};
        if (inet_pton(family, host.c_str(), number.data()) != 1 || number == decltype(number) {})
            return std::nullopt;
        std::array<char, INET6_ADDRSTRLEN> buf {};
        if (!inet_ntop(family, number.data(), buf.data(), buf.size()))
            return std::nullopt;
        return std::string(buf.data());
    }

    bool isPort(std::string_view text)
    {
        return Common::parsePort(text) && text.front() != '0';
    }

} // namespace

std::optional<std::string> canonicalAddress(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos || !isPort(std::string_view(address).substr(colon + 1)))
        return std::nullopt;
    const auto host = address.substr(0, colon);
    const auto port = address.substr(colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        const auto canonical = canonicalHost(AF_INET6, host.substr(1, host.size() - 2));
        return canonical ? std::optional("[" + *canonical + "]" + port) : std::nullopt;
    }
    const auto canonical = canonicalHost(AF_INET, host);
    return canonical ? std::optional(*canonical + port) : std::nullopt;
}

} // namespace Objects
