#pragma once

/// Keeps one store lease for a host: acquires it, renews it and tracks how long it is certain to be valid.

#include "Common/Time.h"
#include "Decision/Membership/PlatformActions.h"

#include <chrono>
#include <optional>
#include <vector>

namespace Decision {

/// Lifetime of a lease, and intervals of its calls.
struct LeaseSettings {
    std::chrono::seconds timeToLive { 10 };
    std::chrono::milliseconds renewInterval { 3000 }; ///< From sending a call that succeeded to the next one.
    std::chrono::milliseconds retryInterval { 500 }; ///< After a call that failed.
};

/// Keeps a lease alive. Its validity is counted from before each call is sent, so it ends here before it ends in the store.
class LeaseKeeper {
public:
    /// `countFromReply` counts the validity from the reply instead, which is unsafe; for tests.
    explicit LeaseKeeper(LeaseSettings, bool countFromReply = false);

    /// Drops an expired lease and sends a grant or a renewal when one is due; takes its token from `nextToken`.
    void tick(Common::Instant now, PlatformToken& nextToken);
    /// True when the reply was to one of this lease's calls.
    bool handle(Common::Instant now, const PlatformReplied&);
    /// Forgets the lease without revoking it; a later tick requests another.
    void drop();

    /// The lease while it is certain to be valid; nothing otherwise.
    std::optional<Ports::LeaseId> lease(Common::Instant now) const;
    /// When the validity ends, by this host's clock.
    Common::Instant validUntil() const { return m_validUntil; }
    /// When tick() is due at the latest; nothing while a call is in flight and there is no lease.
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
    Ports::LeaseId m_pendingLease = 0; ///< The lease being renewed; zero for a grant.
    std::vector<PlatformAction> m_actions;
};

} // namespace Decision
