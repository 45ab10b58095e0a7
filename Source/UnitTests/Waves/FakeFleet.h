#pragma once

/// Simulated hosts of one data centre in virtual time. Executes wave decisions after a random delay, fails hosts on request, and
/// counts available hosts.

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

/// A simulated host: its view and its actual state, which a planner may not know.
struct FakeHost {
    Decision::HostView view;
    Common::Instant upAt {}; ///< When it comes up, if it is down.
    Common::Instant idleAt {}; ///< When its last task ends, if it is draining.
    bool up = true;
    unsigned reboots = 0;
};

/// A drain that has taken effect.
struct ObservedDrain {
    std::string pool;
    Common::Instant at {};
};

/// Simulated hosts; not thread-safe.
class FakeFleet {
public:
    FakeFleet(const FakeStore&, std::string dataCentre, std::uint64_t seed);

    /// Adds hosts to a pool, assigned to the racks in turn, continuing after the rack that the last call used last.
    void addPool(const std::string& pool, unsigned hosts, unsigned racks);
    /// If on, a decision is executed only while the store has the host's reservation in the matching phase.
    void setChecksReservation(bool on) { m_checksReservation = on; }
    /// Share of hosts, from 0 to 1, that a view shows as unknown.
    void setUnknownShare(double share) { m_unknownShare = share; }

    /// Schedules a decision to take effect after a random delay.
    void execute(const Decision::WaveDecision&, Common::Instant now);
    /// Applies everything that is due by `now`.
    void advance(Common::Instant now);
    /// Takes a host down until the given time.
    void fail(const std::string& host, Common::Instant until);
    void failRack(const std::string& rack, Common::Instant until);
    /// The hosts as a planner sees them: their actual state, except for a random share whose health is unknown.
    Decision::FleetView view();

    /// Hosts that are up and serve the pool.
    unsigned available(const std::string& pool) const;
    unsigned availableAfterWorstRack(const std::string& pool) const;
    unsigned published(const std::string& pool) const;
    std::vector<FakeHost>& hosts() { return m_hosts; }
    /// Returns the drains that have taken effect since the last call.
    std::vector<ObservedDrain> takeDrains() { return std::exchange(m_drains, {}); }

private:
    FakeHost* find(const std::string& name);
    bool holdsReservation(const std::string& host, const std::string& phase) const;
    void drain(const Decision::DrainHost&, Common::Instant);
    void reboot(const Decision::RebootHost&, Common::Instant);
    void returnToService(const Decision::ReturnHost&);

    const FakeStore& m_store;
    std::string m_dataCentre;
    std::mt19937_64 m_random;
    std::vector<FakeHost> m_hosts;
    std::multimap<Common::Instant, Decision::WaveDecision> m_decisions;
    std::vector<ObservedDrain> m_drains;
    bool m_checksReservation = true;
    double m_unknownShare = 0;
    unsigned m_nextRack = 0;
};

} // namespace Fakes
