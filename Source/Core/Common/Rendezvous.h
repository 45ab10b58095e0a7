#pragma once

/// Highest-random-weight (rendezvous) hashing: every host that knows the same members picks the same holders for a key.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Common {

/// 64-bit hash of bytes (xxHash3); stable between processes and releases.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// Members ordered by weight for the key, heaviest first, cut to the first `count`.
std::vector<std::string> rendezvousTop(std::string_view key, const std::vector<std::string>& members, std::size_t count);

} // namespace Common
