#pragma once

/// Who has which duty. A duty (the jobs of a pool, or the machines of the fleet) is held through a key in the platform's
/// store under the host's lease; the revision of the key is the fence. Every host follows all of these keys.

#include "Common/TaskLoop.h"
#include "Jobs/Runtime/PrefixFeed.h"
#include "Ports/PlatformPort.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Jobs {

using Fence = std::uint64_t;

/// This host, as others reach it.
struct MemberInfo {
    std::string host;
    std::string address; ///< "ip:port" for peers.
    std::string dataCentre;
    unsigned strength = 1000; ///< Processor share in thousandths of a core.
    bool isLeaving = false; ///< Takes no more duties, but still passes calls on.
};

/// Holder of a duty.
struct OwnerInfo {
    std::string host;
    Fence fence = 0;
};

/// Who had a duty before.
enum class Predecessor {
    None,
    Self, ///< An earlier incarnation of this host, which is surely gone, or this one.
    Released, ///< Another host, which gave it up itself and does nothing more under it.
    Lapsed, ///< Another host, which may go on for a while.
};

/// Times of ownership.
struct OwnershipSettings {
    MemberInfo self;
    std::uint64_t incarnation = 0; ///< Of this process; random.
    std::chrono::seconds leaseTime { 2 }; ///< Workers' leases outlast a takeover with it.
    std::chrono::milliseconds renewInterval { 600 }; ///< Two renewals may be lost.
    std::chrono::milliseconds settleTime { 700 }; ///< After the start, for the other hosts to register.
    std::chrono::milliseconds lapseSettleTime { 1400 }; ///< After a lapse: a renewal is given up after 0.9 s and tried again 0.4 s later.
    std::chrono::milliseconds turnTime { 150 }; ///< Between candidates, so that the first choice usually gets a duty.
};

/// Used on the loop's thread only.
class Ownership {
public:
    struct Hooks {
        std::function<void(const std::string& duty, Fence, Predecessor)> acquired;
        std::function<void(const std::string& duty)> lost;
        std::function<void()> changed; ///< Members or owners changed.
        std::function<void()> overloaded; ///< Another host would carry one of the duties far better.
    };

    Ownership(Common::TaskLoop&, Ports::PlatformPort&, OwnershipSettings, Hooks);
    ~Ownership();
    Ownership(const Ownership&) = delete;
    Ownership& operator=(const Ownership&) = delete;

    void start();
    /// The duties that some host is to have.
    void setDuties(const std::set<std::string>&);
    /// Gives a duty up, once what it did is over.
    void release(const std::string& duty);
    /// Takes no more duties. The host stays a member, so that it gets answers, until its lease lapses.
    void leave();

    const std::map<std::string, MemberInfo>& members() const;
    const std::map<std::string, OwnerInfo>& owners() const;
    /// Null when nobody has it, as far as this host knows.
    const OwnerInfo* ownerOf(const std::string& duty) const;
    bool owns(const std::string& duty) const;
    /// True while the own lease surely stands.
    bool isLeaseValid() const;
    /// When the store last answered a renewal.
    Common::Instant lastContact() const;
    bool isRegistered() const;

    /// Key of a duty, which journals are fenced by.
    static std::string keyOf(const std::string& duty);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Jobs
