#pragma once

/// Upstreams of one pool and their slots, as used by the owner of the pool.

#include "Decision/Requests/RequestTypes.h"
#include "Decision/Requests/UpstreamHealth.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Decision {

/// Returns whether this host may currently send requests to an upstream on behalf of a pool; false during moves and drains
/// and without the required lease.
using MayDispatch = std::function<bool(const std::string& upstream, const std::string& pool, Instant)>;

/// Selects the healthy upstream with the most free slots and counts the slots in use, including those used by peers.
class SlotTable {
public:
    SlotTable(std::string pool, const RequestGuards&);

    /// Replaces the set of upstreams. Upstreams that remain keep their counts and health.
    void setUpstreams(const std::vector<PoolUpstream>&);

    /// Slots that a peer reports in use on the pool's upstreams. Replaces the peer's previous report; expires after
    /// `retention`.
    void setPeerUse(Instant now, const HostId& peer, const std::vector<Messages::UpstreamUse>&, std::chrono::milliseconds retention);

    /// Called when a peer is lost and can no longer report the end of its attempts: its slots are released linearly over
    /// `runTime`.
    void releasePeerSlots(Instant now, const HostId& peer, std::chrono::microseconds runTime);

    /// Acquires a slot on the best upstream, preferring upstreams that aren't in `avoid`. Returns null when no slot is free.
    /// Upstreams that are being probed are preferred for a request that may probe and are the last choice for others.
    /// The pointer is valid until the next change of the table.
    const PoolUpstream* acquire(Instant now, const MayDispatch&, const std::vector<std::string>& avoid, bool mayProbe);

    /// Returns a slot acquired by acquire().
    void release(const std::string& upstream);

    /// The upstream refused an attempt because its slots are full: it receives no attempts for 20 ms.
    void recordRefusal(Instant now, const std::string& upstream);

    /// No connection could be made: counts as a failure, and the upstream receives no attempts for 250 ms.
    void recordUnreachable(Instant now, const std::string& upstream);

    void recordSuccess(const std::string& upstream);

    /// Counts a failed attempt. May eject the upstream, unless a third of the pool's upstreams (at least one) are ejected
    /// already or most of the pool is failing alike.
    void recordFailure(Instant now, const std::string& upstream);

    /// Slots of all upstreams that may be used now, including busy ones.
    unsigned usableSlots(Instant now, const MayDispatch&) const;

    /// True when at least one attempt can be started now.
    bool hasFreeSlot(Instant now, const MayDispatch&) const;

    /// Slots in use by this host.
    unsigned busy() const { return m_busy; }

    /// "ip:port" of an upstream; empty when it isn't in the pool.
    std::string addressOf(const std::string& upstream) const;
    unsigned busyOn(const std::string& upstream) const;
    bool hasUpstreams() const { return !m_upstreams.empty(); }
    std::size_t upstreams() const { return m_upstreams.size(); }
    std::vector<Messages::UpstreamUse> uses() const;

private:
    struct PeerUse {
        unsigned slots = 0;
        Instant until {};
        std::chrono::microseconds decay { 0 }; ///< Period before `until` over which the slots are released; zero until the peer is lost.
    };

    struct Entry {
        PoolUpstream upstream;
        unsigned inFlight = 0;
        bool listed = true; ///< False when the upstream was removed from the set while attempts are in flight.
        UpstreamHealth health;
        Instant pausedUntil {};
        std::map<HostId, PeerUse> peerUse;
    };

    static unsigned remainingSlots(const PeerUse&, Instant now);
    unsigned peerSlots(const Entry&, Instant now) const;
    unsigned freeSlots(const Entry&, Instant now) const;
    bool mostFailLike(Instant now, const Entry&) const;
    void considerEjection(Instant now, Entry&);

    std::string m_pool;
    RequestGuards m_guards;
    std::map<std::string, Entry> m_upstreams;
    unsigned m_busy = 0;
};

} // namespace Decision
