#pragma once

/// Log events of the fleet duty: why machines are not moved or maintained, and peaks as they are detected and expected.

#include "Jobs/Fleet/MovePlanner.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Jobs {

/// Input of one decision of the fleet duty's holder.
struct FleetStatus {
    std::map<std::string, PoolView> pools;
    std::set<std::string> usedPools; ///< Pools that a queue submits to; the others have no owner.
    const std::map<std::string, MachineView>& machines;
    const std::map<std::uint64_t, WaveRun>& waves;
    std::size_t plannedMoves = 0; ///< Machines that are being vacated for a move or have been ordered to move.
    bool movesMachines = true;
    bool isLeaseValid = true;
    milliseconds cooldownLeft { 0 }; ///< Until the last machine in cooldown may be ordered.
    std::size_t machinesInCooldown = 0; ///< Machines that get no orders, as an order by an earlier holder may still be in flight.
    std::optional<milliseconds> listAge {}; ///< Age of the machine list; none before the first read.
};

/// Returns the event; nullopt while every used pool has reported, no pool is short of cores and no wave is running.
std::optional<LogEvent> describeFleet(const FleetStatus&, Instant now);
/// Returns the event; its id is the pool.
LogEvent describePeak(const PeakEvent&, Instant now);

} // namespace Jobs
