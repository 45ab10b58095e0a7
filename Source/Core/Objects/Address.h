#pragma once

/// Addresses of upstreams by IP number and port.

#include <optional>
#include <string>

namespace Objects {

/// The one spelling of an "ip:port" or "[ipv6]:port"; nothing when it is no address that can be called.
std::optional<std::string> canonicalAddress(const std::string&);

} // namespace Objects
