#pragma once

/// Detection of request bodies that crash upstreams.

#include "Common/Time.h"

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>

namespace Decision {

/// Counts the distinct upstreams that were lost while running a request body. Bounded to 4096 bodies; the entry that was
/// updated least recently is dropped first.
class HarmfulRequests {
public:
    /// A body is harmful once `losses` distinct upstreams were lost while running it, until `retention` after the last loss.
    HarmfulRequests(unsigned losses, std::chrono::milliseconds retention);

    void recordLoss(Common::Instant, std::uint64_t bodyHash, const std::string& upstream);

    /// An upstream completed the body, so earlier losses had other causes and are cleared.
    void recordSuccess(std::uint64_t bodyHash) { m_entries.erase(bodyHash); }
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
