#pragma once

/// Parsing of numeric socket addresses. Host names aren't resolved.

#include <cstdint>
#include <optional>
#include <string_view>

#include <sys/socket.h>

namespace Common {

/// What an address is for.
enum class AddressUse {
    Connect, ///< Names one host and a port from 1 to 65535.
    Listen, ///< May also name all local interfaces (0.0.0.0 or ::) and port 0, for any free port.
};

/// Parses digits, nothing before or after them, that are at most 65535.
std::optional<std::uint16_t> parsePort(std::string_view);

/// Parses "1.2.3.4:80" or "[::1]:80". Returns nullopt for anything else.
std::optional<sockaddr_storage> parseSocketAddress(std::string_view, AddressUse);

} // namespace Common
