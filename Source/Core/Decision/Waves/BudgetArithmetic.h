#pragma once

/// Availability arithmetic of a pool in one data centre: how many hosts serve, how many must, and what a lost rack leaves.

#include "Decision/Waves/FleetView.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Decision {

/// Safeguards that tests switch off one at a time to show what each prevents. All are on in the product.
struct WaveGuards {
    bool reserveBeforeDrain = true;
    bool countDownHosts = true;
    bool compareVersion = true;
    bool lookAheadRack = true;
};

/// Budget of one service. Several services may share a pool.
struct ServiceBudget {
    std::string service;
    std::string pool;
    unsigned minimumAvailablePercent = 0; ///< Of the hosts published in the pool.
};

/// Hosts that must be available: the percentage of the published hosts, rounded up.
unsigned requiredHosts(unsigned publishedHosts, unsigned minimumAvailablePercent);

/// Counts of one pool in one data centre.
class PoolTally {
public:
    unsigned published() const { return m_published; }
    unsigned available() const { return m_available; }
    /// Available hosts that remain when the rack that holds most of them is lost; all of them with the guard off.
    unsigned afterWorstRack() const;
    /// The same with one host of `rack` away.
    unsigned afterWorstRackWithout(const std::string& rack) const;
    /// Available hosts of the pool in a rack.
    unsigned availableIn(const std::string& rack) const;
    /// Rack that holds most of the available hosts; empty when there are none.
    std::string fullestRack() const;
    /// Counts one more or one fewer available host.
    void add(const std::string& rack);
    void remove(const std::string& rack);

private:
    friend struct PoolStanding;

    bool m_lookAhead = true;
    unsigned m_published = 0;
    unsigned m_available = 0;
    std::map<std::string, unsigned> m_byRack;
};

/// Where a pool stands against its budgets.
struct PoolStanding {
    PoolTally tally; ///< Available hosts, guests included: those that serve the pool, are up, and aren't reserved.
    PoolTally own; ///< Those of them that were published in the pool.
    PoolTally atHome; ///< Hosts published in the pool that are up, wherever they serve.
    unsigned required = 0;

    /// Every pool that a host of the view serves or was published in, counted in one pass.
    static std::map<std::string, PoolStanding> countAll(
        const FleetView&, const std::set<std::string>& reserved, const std::vector<ServiceBudget>&, const WaveGuards&);

private:
    static PoolStanding create(const WaveGuards&);
};

using PoolStandings = std::map<std::string, PoolStanding>;

/// The highest requirement among the budgets of a pool, in hosts.
unsigned requiredOfPool(const std::string& pool, unsigned publishedHosts, const std::vector<ServiceBudget>&);

} // namespace Decision
