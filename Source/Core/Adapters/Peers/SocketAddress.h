#pragma once

/// Parsing of numeric socket addresses.

#include <optional>
#include <string>

#include <sys/socket.h>

namespace Adapters {

/// Parses "1.2.3.4:80" or "[::1]:80"; host names aren't resolved. Returns nullopt for anything else.
std::optional<sockaddr_storage> parseSocketAddress(const std::string& text);

} // namespace Adapters
