#pragma once

/// Leader election for duties. A duty (the jobs of one pool, or the machines of the fleet) is held by the host whose name
/// is stored in the duty's key in the platform's store. The key is bound to the host's lease, and its revision is the fencing
/// token. Every host watches all of these keys.

#include "Common/TaskLoop.h"
#include "Jobs/Runtime/PrefixFeed.h"
#include "Ports/PlatformPort.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Jobs {

/// Fencing token: grows with every change of a duty's holder.
using Fence = std::uint64_t;

/// A host of the job subsystem, as it registers itself in the store.
struct MemberInfo {
    std::string host;
    std::string address; ///< "ip:port" for peers.
    std::string dataCentre;
    unsigned processorMilliCores = 1000; ///< Processor share in thousandths of a core; weighs the number of duties.
    bool isLeaving = false; ///< Acquires no more duties, but still forwards calls.
};

/// Holder of a duty.
struct OwnerInfo {
    std::string host;
    Fence fence = 0;
};

/// Previous holder of a duty; determines what the new one has to assume about orders and leases in flight.
enum class Predecessor {
    None, ///< Nobody has held the duty before.
    Self, ///< An earlier incarnation of this host, which no longer runs, or this one.
    Released, ///< Another host, which released the duty and has stopped acting on it.
    Lapsed, ///< Another host, which may still act on the duty for a while.
};

/// Identity of this host and times of its leases and claims.
struct OwnershipSettings {
    MemberInfo self;
    std::uint64_t incarnation = 0; ///< Random number that identifies this process.
    std::chrono::seconds leaseTime { 2 }; ///< Time to live of this host's lease. Workers' leases must outlast a takeover that starts with its expiry.
    std::chrono::milliseconds renewInterval { 600 }; ///< The lease survives two lost renewals.
    std::chrono::milliseconds settleTime { 700 }; ///< Delay of claims after the start, for the other hosts to register.
    std::chrono::milliseconds lapseSettleTime { 1400 }; ///< The same after this host's lease has lapsed: a renewal times out after 0.9 s and is retried 0.4 s later.
    std::chrono::milliseconds claimStagger { 150 }; ///< Between the claims of candidates, so that the first one usually wins.
};

/// Registers this host as a member, claims duties and reports changes. Retries failed calls to the store by itself. Used on
/// the loop's thread only.
class Ownership {
public:
    struct Hooks {
        std::function<void(const std::string& duty, Fence, Predecessor)> acquired; ///< This host holds the duty.
        std::function<void(const std::string& duty)> lost; ///< This host has lost the duty; not called after release().
        std::function<void()> changed; ///< Members or holders of duties changed.
        std::function<void()> overloaded; ///< Another host has had far more room for one of the duties at two checks in a row.
        std::function<void()> renewalSent; ///< A grant or renewal of the lease was sent to the store. Optional, as the next one.
        std::function<void()> renewalAnswered; ///< The store has answered one.
    };

    Ownership(Common::TaskLoop&, Ports::PlatformPort&, OwnershipSettings, Hooks);
    ~Ownership();
    Ownership(const Ownership&) = delete;
    Ownership& operator=(const Ownership&) = delete;

    /// Starts to watch, requests a lease and registers this host. Call it once.
    void start();
    /// Replaces the set of duties that the hosts claim. Duties that were held before stay among them until they are retired.
    void setDuties(const std::set<std::string>&);
    /// Releases a duty; does nothing when this host doesn't hold it. Call it only once nothing acts on the duty:
    /// its next holder relies on that.
    void release(const std::string& duty);
    /// Releases a duty that isn't in the set of setDuties(): no host claims it any more until it is in it again.
    void retire(const std::string& duty);
    /// Stops claiming duties; those held have to be released. The host stays a member until its lease lapses, so that it
    /// still gets answers.
    void leave();

    /// Members by host name, as last seen in the store.
    const std::map<std::string, MemberInfo>& members() const;
    /// Holders by duty, as last seen in the store.
    const std::map<std::string, OwnerInfo>& owners() const;
    /// Null when the duty has no holder, as last seen in the store.
    const OwnerInfo* ownerOf(const std::string& duty) const;
    /// True while this host holds the duty.
    bool owns(const std::string& duty) const;
    /// True while this host's lease can't have expired, counted from the sending of the last renewal that succeeded.
    bool isLeaseValid() const;
    /// When the last grant or renewal of the lease that the store confirmed was sent; the epoch before the first.
    Common::Instant lastContact() const;
    /// True while this host is registered as a member.
    bool isRegistered() const;

    /// Key of a duty in the store. Writes under the duty compare its revision with their fence.
    static std::string keyOf(const std::string& duty);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Jobs
