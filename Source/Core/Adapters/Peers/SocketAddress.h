#pragma once

/// Numeric socket addresses as settings write them.

#include <optional>
#include <string>

#include <sys/socket.h>

namespace Adapters {

/// Reads "1.2.3.4:80" or "[::1]:80"; names aren't resolved. Nothing when the text is neither.
std::optional<sockaddr_storage> parseSocketAddress(const std::string& text);

} // namespace Adapters
