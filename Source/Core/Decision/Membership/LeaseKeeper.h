#pragma once

/// Holds one lease of the store for a host: grants, renews, and tells how long it may be relied on.

#include "Common/Time.h"
#include "Decision/Membership/PlatformActions.h"

#include <chrono>
#include <optional>
#include <vector>

namespace Decision {

/// Times of a lease.
struct LeaseSettings {
    std::chrono::seconds timeToLive { 10 };
    std::chrono::milliseconds renewInterval { 3000 };
    std::chrono::milliseconds retryInterval { 500 }; ///< After a call that failed.
};

/// Keeps a lease alive. Its time is counted from before a call was made, so the holder stops before the store does.
class LeaseKeeper {
public:
    /// With `countFromReply` the time is counted from the reply instead, which is unsafe; for tests.
    explicit LeaseKeeper(LeaseSettings, bool countFromReply = false);

    void tick(Common::Instant now, PlatformToken& nextToken);
    /// True when the reply was to one of this lease's calls.
    bool handle(Common::Instant now, const PlatformReplied&);
    /// Forgets the lease; the next tick asks for another.
    void drop();

    /// The lease, while it may be relied on.
    std::optional<Ports::LeaseId> lease(Common::Instant now) const;
    Common::Instant validUntil() const { return m_validUntil; }
    std::optional<Common::Instant> nextDeadline() const;
    std::vector<PlatformAction> takeActions();

private:
    void onGranted(Common::Instant now, const Ports::PlatformReply&);
    void onRenewed(Common::Instant now, const Ports::PlatformReply&);

    LeaseSettings m_settings;
    bool m_countFromReply;
    Ports::LeaseId m_lease = 0;
    Common::Instant m_validUntil {};
    Common::Instant m_requestedAt {};
    Common::Instant m_nextCall {};
    std::optional<PlatformToken> m_pending;
    Ports::LeaseId m_pendingLease = 0; ///< Zero for a grant.
    std::vector<PlatformAction> m_actions;
};

} // namespace Decision
