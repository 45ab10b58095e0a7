#include "Common/Rendezvous.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace Common {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::vector<std::string> rendezvousTop(std::string_view key, const std::vector<std::string>& members, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(members.size());
    const auto seed = hash64(key);
    for (const auto& member : members)
        weighted.emplace_back(hash64(member, seed), member);
    std::sort(weighted.rbegin(), weighted.rend());
    std::vector<std::string> top;
    for (const auto& [weight, member] : weighted) {
        if (top.size() == count)
            break;
        top.push_back(member);
    }
    return top;
}

} // namespace Common
