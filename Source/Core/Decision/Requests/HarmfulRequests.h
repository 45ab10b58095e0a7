#pragma once

/// Bodies that broke several upstreams are set aside for a time.

#include "Common/Time.h"

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

namespace Decision {

/// Counts upstreams lost to one request body. Bounded: the oldest entries go first.
class HarmfulRequests {
public:
    /// A body is harmful once `losses` different upstreams were lost to it.
    HarmfulRequests(unsigned losses, std::chrono::milliseconds retention);

    void lost(Common::Instant, std::uint64_t bodyHash, const std::string& upstream);
    /// An upstream ran the body whole: what was lost before has other causes.
    void succeeded(std::uint64_t bodyHash) { m_entries.erase(bodyHash); }
    bool isHarmful(Common::Instant, std::uint64_t bodyHash) const;

private:
    struct Entry {
        std::set<std::string> upstreams;
        Common::Instant last {};
    };

    void prune(Common::Instant);

    unsigned m_losses;
    std::chrono::milliseconds m_retention;
    std::unordered_map<std::uint64_t, Entry> m_entries;
};

} // namespace Decision
