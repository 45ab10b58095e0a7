#pragma once

/// The orders of one decision about the fleet's machines. No I/O, no clock.

#include "Jobs/Fleet/MovePlanner.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Jobs {

/// A machine to go into maintenance.
struct MaintenanceStart {
    std::uint64_t wave = 0;
    std::string machine;
};

struct FleetOrders {
    std::set<std::string> machines() const
    {
        std::set<std::string> names;
        for (const auto& it : maintenance)
            names.insert(it.machine);
        for (const auto& it : moves)
            names.insert(it.machine);
        return names;
    }

    std::vector<MaintenanceStart> maintenance;
    std::vector<MachineMove> moves;
};

} // namespace Jobs
