#pragma once

/// Membership of the entry hosts of a data centre: the view in the store, heartbeats, and the host's own lease.

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

/// Who this host is and how it keeps time.
struct MembershipSettings {
    Ports::HostId self;
    std::string dataCentre;
    std::string peerAddress; ///< "ip:port" that peers reach this host at.
    std::uint64_t incarnation = 0; ///< Random for every start; zero is not allowed.
    std::vector<std::string> dataCentres; ///< All of them; this one may be among them.
    LeaseSettings lease;
    std::chrono::milliseconds heartbeatInterval { 500 };
    std::chrono::milliseconds foreignHeartbeatInterval { 2000 };
    std::chrono::milliseconds aliveTimeout { 2000 }; ///< A member silent for longer isn't alive.
    std::chrono::milliseconds removalTimeout { 6000 }; ///< A member silent for longer may be removed.
    std::chrono::milliseconds removalRetry { 2000 };
    std::chrono::milliseconds joinRetry { 500 };
    std::chrono::milliseconds viewRefresh { 15000 };
    std::chrono::milliseconds foreignRefresh { 30000 };
};

/// Safeguards; a test turns one off to show that its absence does harm.
struct MembershipGuards {
    bool requireRemovalTimeout = true; ///< Remove only a member that we haven't heard for a time.
    bool requireLeaseGone = true; ///< Remove only a member whose lease key is gone from the store.
    bool replaceOlderSelf = true; ///< A new incarnation takes the place of the older one.
    bool awaitOlderLease = true; ///< A new incarnation joins only once the older one's lease key is gone.
    bool countLeaseFromRequest = true; ///< The lease's time is counted from before the call.
    bool yieldToNewer = true; ///< A host that sees another incarnation of itself steps down for good.
    bool compareAndSwap = true; ///< The view changes by compare-and-swap.
};

/// What membership says about readiness.
struct MembershipReadiness {
    bool member = false; ///< This incarnation stands in the view.
    bool leaseValid = false;
    bool superseded = false; ///< Another incarnation took the place; the process should stop.
    bool leaving = false; ///< By the host list or by leave().
};

/// Membership of one entry host in its data centre. No I/O; not thread-safe.
class Membership {
public:
    static Common::Result<std::unique_ptr<Membership>, DecisionError> create(MembershipSettings, MembershipGuards = {});
    ~Membership();

    void handle(Common::Instant now, const PlatformReplied&);
    void handle(Common::Instant now, const HeartbeatReceived&);
    void handle(Common::Instant now, const PeerDisconnected&);
    void handle(Common::Instant now, const HostListReplied&);
    void tick(Common::Instant now);
    /// Takes this host out of the view; to be called once nothing is in flight any more.
    void leave(Common::Instant now);
    /// Content of the next heartbeats; incarnation, data centre, view epoch and leaving are filled in here.
    void setHeartbeatContent(Messages::Heartbeat);

    std::optional<Common::Instant> nextDeadline() const;
    std::vector<Action> takeActions();

    const View& currentView() const;
    std::uint64_t epoch() const;
    /// True when the view holds this incarnation, as far as this host knows.
    bool isMember() const;
    /// True while this host surely holds its lease key; floating upstreams may be used.
    bool leaseValid(Common::Instant now) const;
    Common::Instant leaseValidUntil() const;
    /// The lease that duties may be held under; nothing unless leaseValid(now).
    std::optional<Ports::LeaseId> lease(Common::Instant now) const;
    bool alive(const Ports::HostId&, Common::Instant now) const;
    /// Members of the view that are alive, this host included when it is a member; in the view's order.
    std::vector<Ports::HostId> aliveMembers(Common::Instant now) const;
    /// Members of another data centre's view; empty when unknown.
    std::vector<ViewMember> hostsOf(const std::string& dataCentre) const;
    /// The last heartbeat of a host's current incarnation.
    const Messages::Heartbeat* lastHeartbeat(const Ports::HostId&) const;
    /// Every peer that frames may go to, of all data centres.
    std::vector<Ports::PeerAddress> peers() const;
    /// Goes up whenever peers() changes.
    std::uint64_t peersVersion() const;
    MembershipReadiness readiness(Common::Instant now) const;
    /// Why the store isn't followed; empty when all is well.
    const std::string& alarm() const;

private:
    class Impl;
    explicit Membership(std::unique_ptr<Impl>);
    std::unique_ptr<Impl> m_impl;
};

} // namespace Decision
