#pragma once

/// Availability of the pools of one data centre: how many hosts are available, how many the budgets require, and how many
/// would remain after the loss of a rack.

#include "Decision/Waves/FleetView.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Decision {

/// Safeguards of a wave. All are on in production; tests switch them off one at a time to show which failure each prevents.
struct WaveGuards {
    bool reserveBeforeDrain = true; ///< A host is drained only after its reservation is stored.
    bool excludeDownHosts = true; ///< A host that is down, unknown or not serving isn't available.
    bool compareVersion = true; ///< A write fails if another planner has changed the record since it was read.
    bool tolerateRackLoss = true; ///< The budget must also hold after the loss of any one rack.
};

/// Availability budget of one service. Several services may share a pool.
struct ServiceBudget {
    std::string service;
    std::string pool;
    unsigned minimumAvailablePercent = 0; ///< Percentage of the hosts that are configured for the pool.
};

/// Number of hosts that must be available: the percentage of the published hosts, rounded up.
unsigned requiredHosts(unsigned publishedHosts, unsigned minimumAvailablePercent);

/// Host counts of one pool in one data centre, in total and by rack.
class PoolTally {
public:
    /// Hosts that are configured for the pool, whichever pool they serve now.
    unsigned published() const { return m_published; }
    unsigned available() const { return m_available; }
    /// Available hosts that remain after the loss of the rack with the most of them; all available hosts if
    /// WaveGuards::tolerateRackLoss is off.
    unsigned afterWorstRack() const;
    /// Like afterWorstRack(), with one available host of `rack` removed first.
    unsigned afterWorstRackWithout(const std::string& rack) const;
    /// Available hosts in a rack.
    unsigned availableIn(const std::string& rack) const;
    /// The rack with the most available hosts; empty if no host is available.
    std::string fullestRack() const;
    /// Adds an available host.
    void add(const std::string& rack);
    /// Removes an available host; no effect if the rack has none.
    void remove(const std::string& rack);

private:
    friend struct PoolAvailability;

    bool m_toleratesRackLoss = true;
    unsigned m_published = 0;
    unsigned m_available = 0;
    std::map<std::string, unsigned> m_byRack;
};

/// Available and required hosts of one pool.
struct PoolAvailability {
    PoolTally tally; ///< Hosts that serve the pool, are up and aren't reserved, borrowed ones included.
    PoolTally ownServing; ///< The same without borrowed hosts.
    PoolTally ownUp; ///< Hosts configured for the pool that are up, whichever pool they serve.
    unsigned required = 0; ///< Hosts that the strictest budget requires.

    /// Counts, in one pass, every pool that a host of the view serves or is configured for.
    static std::map<std::string, PoolAvailability> countAll(
        const FleetView&, const std::set<std::string>& reserved, const std::vector<ServiceBudget>&, const WaveGuards&);

private:
    static PoolAvailability create(const WaveGuards&);
};

using AvailabilityByPool = std::map<std::string, PoolAvailability>;

/// Number of hosts that the strictest budget of the pool requires; zero if it has no budget.
unsigned requiredOfPool(const std::string& pool, unsigned publishedHosts, const std::vector<ServiceBudget>&);

} // namespace Decision
