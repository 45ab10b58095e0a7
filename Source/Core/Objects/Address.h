#pragma once

/// Addresses of upstreams: an IP address and a port.

#include <optional>
#include <string>

namespace Objects {

/// Canonical form of an "ip:port" or "[ipv6]:port". Nullopt if it is malformed, or has port 0 or the unspecified IP address.
std::optional<std::string> canonicalAddress(const std::string&);

} // namespace Objects
