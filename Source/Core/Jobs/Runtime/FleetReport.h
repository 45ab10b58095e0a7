#pragma once

/// Why machines aren't moved or maintained, as the log tells it.

#include "Jobs/Fleet/MovePlanner.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace Jobs {

/// What the holder of the fleet's duty knew at a decision.
struct FleetPicture {
    std::map<std::string, PoolView> pools;
    std::set<std::string> usedPools; ///< That a queue submits to; the others have no owner.
    const std::map<std::string, MachineView>& machines;
    const std::map<std::uint64_t, WaveRun>& waves;
    std::size_t plannedMoves = 0; ///< Machines being vacated or ordered for a move.
    bool movesMachines = true;
    bool isLeaseValid = true;
    milliseconds silenceLeft { 0 }; ///< Until the last of these may be ordered.
    std::size_t silentMachines = 0; ///< Left alone, as an earlier holder may have ordered something for them.
    std::optional<milliseconds> listAge {}; ///< Of the list of machines; nothing before the first.
};

/// The line; nothing while every used pool is heard, none lacks cores and no wave is due.
std::optional<LogEvent> describeFleet(const FleetPicture&, Instant now);

} // namespace Jobs
