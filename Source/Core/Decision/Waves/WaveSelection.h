#pragma once

/// Which hosts a wave takes next, how many may be down at once, and which spare hosts it needs on loan.

#include "Decision/Waves/BudgetLedger.h"
#include "Decision/Waves/HostDecisions.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Decision {

/// Hosts among the candidates that may be disrupted together, at most `limit`; hosts that
/// don't serve are left out. Takes from the rack with most available
/// hosts first, so that the rack look-ahead leaves room for the most; among those, the least busy host.
std::vector<const HostView*> selectHosts(const FleetView&, const BudgetLedger&, std::vector<const HostView*> candidates, std::size_t limit);

/// Hosts of a pool that may be down at once when `tally` counts all of them.
unsigned safeConcurrency(PoolTally tally, unsigned required);

using HostsByPool = std::map<std::string, std::vector<const HostView*>>;

/// Hosts that serve another pool than their own, by the pool that they serve.
HostsByPool guestsByPool(const FleetView&);

/// None when the pool isn't there.
std::vector<const HostView*> hostsOf(const HostsByPool&, const std::string& pool);

/// True when the pool's own hosts, all at home, could spare one: then it needs no loan, only its hosts back.
bool suffices(const PoolStanding&);

/// Spare hosts that a pool too small for its own maintenance needs for the time of its wave: those on loan already that
/// it still needs, and new ones. `waiting` holds the pool's hosts yet to be done, `guests` those of other pools that serve
/// it, `free` spare hosts that may be lent; those in the pool itself are passed over.
std::vector<MoveHost> findLoans(const std::string& pool, const PoolStanding&, const std::vector<const HostView*>& waiting,
    const std::vector<const HostView*>& guests, const std::vector<const HostView*>& free);

/// Size of a fleet for a forecast on paper.
struct FleetShape {
    unsigned hosts = 0; ///< Of one pool in one data centre.
    unsigned racks = 0; ///< That the pool is spread over evenly.
    unsigned minimumAvailablePercent = 0;
    std::chrono::seconds cycle { 0 }; ///< Drain, reboot and return of one host.
};

/// Result of a forecast on paper.
struct FleetForecast {
    unsigned atOnce = 0;
    std::chrono::seconds length { 0 }; ///< Zero when nothing may be down at all.
};

/// Works out how many hosts may be down at once, and how long every host takes.
FleetForecast forecastFleet(const FleetShape&);

} // namespace Decision
