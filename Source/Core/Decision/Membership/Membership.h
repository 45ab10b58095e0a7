#pragma once

/// Membership of the entry hosts of a data centre: the view in the store, heartbeats and the host's own lease.

#include "Common/Result.h"
#include "Common/Time.h"
#include "Decision/Membership/Actions.h"
#include "Decision/Membership/DecisionError.h"
#include "Decision/Membership/LeaseKeeper.h"
#include "Decision/Membership/ViewRecord.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Decision {

/// Identity of this host, and its intervals and timeouts.
struct MembershipSettings {
    Ports::HostId self;
    std::string dataCentre;
    std::string peerAddress; ///< "ip:port" where peers reach this host.
    std::uint64_t incarnation = 0; ///< Random for every start; zero is not allowed.
    std::vector<std::string> dataCentres; ///< All data centres, with or without this host's own.
    LeaseSettings lease;
    std::chrono::milliseconds heartbeatInterval { 500 };
    std::chrono::milliseconds foreignHeartbeatInterval { 2000 }; ///< To other data centres.
    std::chrono::milliseconds aliveTimeout { 2000 }; ///< A member without a heartbeat for this long isn't alive.
    std::chrono::milliseconds removalTimeout { 6000 }; ///< A member without a heartbeat for this long may be removed from the view.
    std::chrono::milliseconds removalRetry { 2000 }; ///< Between attempts to remove members.
    std::chrono::milliseconds joinRetry { 500 }; ///< Between attempts to join, and after a call that failed.
    std::chrono::milliseconds viewRefresh { 15000 }; ///< Between reads of the view when nothing makes one due earlier.
    std::chrono::milliseconds foreignRefresh { 30000 }; ///< The same for the views of other data centres.
};

/// Safeguards, all on in production. Tests turn one off to show what it prevents.
struct MembershipGuards {
    bool requireRemovalTimeout = true; ///< Remove only members without a heartbeat for removalTimeout.
    bool requireLeaseGone = true; ///< Remove only members whose lease key is gone from the store.
    bool replaceOlderSelf = true; ///< A new incarnation replaces the older one in the view.
    bool awaitOlderLease = true; ///< A new incarnation joins only once the older one's lease key is gone.
    bool countLeaseFromRequest = true; ///< The lease's validity is counted from before the call is sent.
    bool yieldToNewer = true; ///< A host that another incarnation has replaced in the view stops permanently.
    bool compareAndSwap = true; ///< The view changes by compare-and-swap.
};

/// The part of a host's readiness that depends on membership.
struct MembershipReadiness {
    bool member = false; ///< The view contains this incarnation.
    bool leaseValid = false;
    bool superseded = false; ///< Another incarnation has replaced this one; the process should stop.
    bool leaving = false; ///< The host list marks the host as leaving, or leave() was called.
};

/// Membership of one entry host in its data centre. The caller runs the actions and passes events in. No I/O; not thread-safe.
class Membership {
public:
    /// Fails when the host name or the data centre is empty, or the incarnation zero.
    static Common::Result<std::unique_ptr<Membership>, DecisionError> create(MembershipSettings, MembershipGuards = {});
    ~Membership();

    /// Events; each may bring nextDeadline() forward and add actions.
    void handle(Common::Instant now, const PlatformReplied&);
    void handle(Common::Instant now, const HeartbeatReceived&);
    void handle(Common::Instant now, const PeerDisconnected&);
    /// The kernel reads the host list; an entry that marks this host as leaving sets readiness().leaving.
    void handle(Common::Instant now, const HostListReplied&);
    /// Starts the calls and heartbeats that are due.
    void tick(Common::Instant now);
    /// Removes this host from the view permanently; to be called once no requests are in flight.
    void leave(Common::Instant now);
    /// Content of the following heartbeats. Membership fills in incarnation, data centre and view epoch, and sets `leaving` while
    /// this host leaves.
    void setHeartbeatContent(Messages::Heartbeat);

    /// When tick() is due at the latest; nothing once another incarnation has replaced this one.
    std::optional<Common::Instant> nextDeadline() const;
    /// Store calls and messages to peers since the last takeActions().
    std::vector<Action> takeActions();

    /// The own data centre's view as last read.
    const View& currentView() const;
    std::uint64_t epoch() const;
    /// True when the view as last read contains this incarnation; false once another one has replaced it.
    bool isMember() const;
    /// True while the store is certain to have this host's key under its lease. Floating upstreams may be used only then.
    bool leaseValid(Common::Instant now) const;
    /// When the lease's validity ends, by this host's clock.
    Common::Instant leaseValidUntil() const;
    /// The lease that duties may be held under; nothing unless leaseValid(now).
    std::optional<Ports::LeaseId> lease(Common::Instant now) const;
    /// True for a host in a known view that is this one, or that sent a heartbeat within aliveTimeout and whose connection hasn't
    /// broken since.
    bool alive(const Ports::HostId&, Common::Instant now) const;
    /// Members of the view that are alive, this host included when it is a member; in the view's order.
    std::vector<Ports::HostId> aliveMembers(Common::Instant now) const;
    /// Members of a data centre's view; empty when it isn't known.
    std::vector<ViewMember> hostsOf(const std::string& dataCentre) const;
    /// The last heartbeat of the incarnation that the view contains; null when there is none.
    const Messages::Heartbeat* lastHeartbeat(const Ports::HostId&) const;
    /// Peers that frames may be sent to: the members of all known views but this host.
    std::vector<Ports::PeerAddress> peers() const;
    /// Increases whenever peers() changes.
    std::uint64_t peersVersion() const;
    MembershipReadiness readiness(Common::Instant now) const;
    /// Why the view in the store isn't adopted; empty when it is.
    const std::string& alarm() const;

private:
    class Impl;
    explicit Membership(std::unique_ptr<Impl>);
    std::unique_ptr<Impl> m_impl;
};

} // namespace Decision
