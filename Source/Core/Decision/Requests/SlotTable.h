#pragma once

/// Upstreams of one pool with their slots, as its owner uses them.

#include "Decision/Requests/RequestTypes.h"
#include "Decision/Requests/UpstreamHealth.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Decision {

/// Tells whether this host may send work to an upstream for a pool now (moves, drains, leases).
using MayDispatch = std::function<bool(const std::string& upstream, const std::string& pool, Instant)>;

/// Picks the least loaded healthy upstream and keeps count of slots, those in use by peers included.
class SlotTable {
public:
    SlotTable(std::string pool, const RequestGuards&);

    /// Replaces the set of upstreams; counts of those that stay are kept.
    void setUpstreams(const std::vector<PoolUpstream>&);

    /// Slots that a peer reported in use on the pool's upstreams, replacing its earlier report.
    void setForeignUse(Instant now, const HostId& peer, const std::vector<Messages::UpstreamUse>&, std::chrono::milliseconds retention);

    /// The peer is gone and can't say when its attempts end: its slots come free evenly over `runTime`.
    void peerLost(Instant now, const HostId& peer, std::chrono::microseconds runTime);

    /// Takes a slot on the best upstream that isn't in `avoid`, or on any when all are; nothing when none is free.
    /// Upstreams that are being probed come first for a request that may probe, and last for others.
    const PoolUpstream* take(Instant now, const MayDispatch&, const std::vector<std::string>& avoid, bool mayProbe);

    /// Gives a slot back.
    void release(const std::string& upstream);

    /// The upstream said that its slots are full: it gets nothing for a moment.
    void refused(Instant now, const std::string& upstream);

    /// No connection could be made: a failure, and the upstream gets nothing for a while.
    void unreachable(Instant now, const std::string& upstream);

    void succeeded(const std::string& upstream);
    void failed(Instant now, const std::string& upstream);

    /// Slots that may be used now, busy ones included.
    unsigned usableSlots(Instant now, const MayDispatch&) const;

    /// True when one more attempt could be placed now.
    bool hasFreeSlot(Instant now, const MayDispatch&) const;

    unsigned busy() const { return m_busy; }
    /// "ip:port" of an upstream; empty when it isn't in the pool.
    std::string addressOf(const std::string& upstream) const;
    unsigned busyOn(const std::string& upstream) const;
    bool hasUpstreams() const { return !m_upstreams.empty(); }
    std::size_t upstreams() const { return m_upstreams.size(); }
    std::vector<Messages::UpstreamUse> uses() const;

private:
    struct Foreign {
        unsigned slots = 0;
        Instant until {};
        std::chrono::microseconds fading { 0 }; ///< Time before `until` during which slots come free; zero for none.
    };

    struct Entry {
        PoolUpstream upstream;
        unsigned inFlight = 0;
        bool listed = true; ///< False once it left the set while work was still out.
        UpstreamHealth health;
        Instant fullUntil {};
        std::map<HostId, Foreign> foreign;
    };

    static unsigned slotsLeft(const Foreign&, Instant now);
    unsigned foreignSlots(const Entry&, Instant now) const;
    unsigned freeSlots(const Entry&, Instant now) const;
    void considerEjection(Instant now, Entry&);

    std::string m_pool;
    RequestGuards m_guards;
    std::map<std::string, Entry> m_upstreams;
    unsigned m_busy = 0;
};

} // namespace Decision
