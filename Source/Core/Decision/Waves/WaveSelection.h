#pragma once

/// Selects the hosts that a wave takes next, and computes how many may be down at once and which spare hosts it must borrow.

#include "Decision/Waves/BudgetLedger.h"
#include "Decision/Waves/HostDecisions.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Decision {

/// Selects up to `limit` candidates that may be taken out of service together. Hosts that aren't serving or aren't up are
/// skipped. Prefers the rack with the most available hosts, because that allows the most hosts at once under the
/// allowance for a lost rack; within the rack, idle hosts first, then those with the fewest busy slots.
std::vector<const HostView*> selectHosts(const FleetView&, const BudgetLedger&, std::vector<const HostView*> candidates, std::size_t limit);

/// Number of the hosts in `tally` that may be down at once: `required` hosts must remain after the loss of one more rack. To
/// plan a whole wave, `tally` must also include the hosts that the wave has already reserved.
unsigned safeConcurrency(PoolTally tally, unsigned required);

using HostsByPool = std::map<std::string, std::vector<const HostView*>>;

/// Hosts that serve a pool other than their home pool, by the pool that they serve.
HostsByPool borrowedByPool(const FleetView&);

/// Hosts of one pool; empty if the map doesn't contain the pool.
std::vector<const HostView*> hostsOf(const HostsByPool&, const std::string& pool);

/// True if the pool could spare one host once all hosts that it has lent are returned. It then needs no loan, only
/// their return.
bool canSpareOwnHost(const PoolAvailability&);

/// Returns the loans that a pool too small for its own maintenance needs during the wave: hosts already lent that it still
/// needs, then new ones. `waiting` holds the pool's hosts that haven't been rebooted yet, `borrowed` the hosts of other
/// pools that serve it, and `free` the spare hosts that may be lent; those already in the pool are skipped. Empty if the
/// pool needs no loan or if the available hosts aren't enough.
std::vector<MoveHost> findLoans(const std::string& pool, const PoolAvailability&, const std::vector<const HostView*>& waiting,
    const std::vector<const HostView*>& borrowed, const std::vector<const HostView*>& free);

/// Size of a pool for a static forecast.
struct FleetShape {
    unsigned hosts = 0; ///< Hosts of one pool in one data centre.
    unsigned racks = 0; ///< Racks that the hosts are spread over evenly.
    unsigned minimumAvailablePercent = 0;
    std::chrono::seconds cycle { 0 }; ///< Time to drain, reboot and return one host.
};

/// Result of a static forecast.
struct FleetForecast {
    unsigned atOnce = 0; ///< Hosts that may be down at once.
    std::chrono::seconds length { 0 }; ///< Duration of the wave; zero if no host may be down.
};

/// Computes from the size alone how many hosts may be down at once and how long a wave over all hosts takes.
FleetForecast forecastFleet(const FleetShape&);

} // namespace Decision
