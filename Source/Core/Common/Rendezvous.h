#pragma once

/// Highest-random-weight (rendezvous) hashing: hosts with the same member list pick the same members for a key.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Common {

/// 64-bit hash (xxHash3); stable across processes and releases.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0);

/// The `count` members with the highest weight for the key, highest first; all members when there are fewer.
std::vector<std::string> rendezvousTop(std::string_view key, const std::vector<std::string>& members, std::size_t count);

} // namespace Common
