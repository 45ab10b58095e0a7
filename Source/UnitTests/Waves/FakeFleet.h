#pragma once

/// Hosts of one data centre in virtual time. Carries out wave decisions, fails on demand, and counts what is available.

#include "Common/Time.h"
#include "Decision/Waves/FleetView.h"
#include "Decision/Waves/HostDecisions.h"
#include "Waves/FakeStore.h"

#include <chrono>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace Fakes {

/// A host and the truth about it.
struct FakeHost {
    Decision::HostView view;
    Common::Instant upAt {};
    Common::Instant idleAt {};
    bool up = true;
    unsigned reboots = 0;
};

/// A drain that took effect.
struct DrainSeen {
    std::string pool;
    Common::Instant at {};
};

class FakeFleet {
public:
    FakeFleet(const FakeStore&, std::string dataCentre, std::uint64_t seed);

    /// Adds hosts to a pool, one to each rack in turn, going on with the rack where the last call ended.
    void addPool(const std::string& pool, unsigned hosts, unsigned racks);
    /// With the check on, a decision is carried out only while the store holds its reservation in the right phase.
    void setChecksReservation(bool on) { m_checksReservation = on; }
    void setUnknownShare(double share) { m_unknownShare = share; }

    void carryOut(const Decision::WaveDecision&, Common::Instant now);
    void advance(Common::Instant now);
    void fail(const std::string& host, Common::Instant until);
    void failRack(const std::string& rack, Common::Instant until);
    /// What a planner sees: the truth, but for hosts whose state is unknown to it at the moment.
    Decision::FleetView view();

    unsigned available(const std::string& pool) const;
    unsigned availableAfterWorstRack(const std::string& pool) const;
    unsigned published(const std::string& pool) const;
    std::vector<FakeHost>& hosts() { return m_hosts; }
    std::vector<DrainSeen> takeDrains() { return std::exchange(m_drains, {}); }

private:
    FakeHost* find(const std::string& name);
    bool holdsReservation(const std::string& host, const std::string& phase) const;
    void drain(const Decision::DrainHost&, Common::Instant);
    void reboot(const Decision::RebootHost&, Common::Instant);
    void giveWork(const Decision::ReturnHost&);

    const FakeStore& m_store;
    std::string m_dataCentre;
    std::mt19937_64 m_random;
    std::vector<FakeHost> m_hosts;
    std::multimap<Common::Instant, Decision::WaveDecision> m_orders;
    std::vector<DrainSeen> m_drains;
    bool m_checksReservation = true;
    double m_unknownShare = 0;
    unsigned m_nextRack = 0;
};

} // namespace Fakes
