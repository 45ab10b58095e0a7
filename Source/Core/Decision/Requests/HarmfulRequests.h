#pragma once

/// Detection of request bodies that crash upstreams.

#include "Common/Time.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Decision {

/// Counts the distinct upstreams that were lost while running a request body. When upstreams are lost together and the body can't
/// explain all of them, as it didn't run on some, those under its simultaneous attempts count as one. Bounded to 4096 bodies; the entry
/// that was updated least recently is dropped first.
class HarmfulRequests {
public:
    /// A body is harmful once `losses` distinct upstreams were lost while running it, until `retention` after the last loss.
    HarmfulRequests(unsigned losses, std::chrono::milliseconds retention);

    /// `started` is when the attempt that was lost had been dispatched.
    void recordLoss(Common::Instant, Common::Instant started, std::uint64_t bodyHash, const std::string& upstream);

    /// An upstream completed the body, so earlier losses had other causes and are cleared.
    void recordSuccess(std::uint64_t bodyHash) { m_entries.erase(bodyHash); }
    bool isHarmful(Common::Instant, std::uint64_t bodyHash) const;

private:
    /// Losses within a moment, under any bodies.
    struct Burst {
        Common::Instant beganAt {};
        std::set<std::string> upstreams;
    };
    struct Loss {
        std::string upstream;
        Common::Instant started {};
        Common::Instant at {};
        std::shared_ptr<const Burst> burst;
    };
    struct Entry {
        std::vector<Loss> losses; ///< The newest of each upstream, oldest first.
        Common::Instant last {};
    };

    /// Number of losses that count against the body.
    static unsigned weigh(const Entry&);
    void prune(Common::Instant);

    unsigned m_losses;
    std::chrono::milliseconds m_retention;
    std::shared_ptr<Burst> m_burst; ///< The latest; null before the first loss.
    std::unordered_map<std::uint64_t, Entry> m_entries;
};

} // namespace Decision
