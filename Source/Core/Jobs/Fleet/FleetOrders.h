#pragma once

/// Orders about the fleet's machines that result from one decision. Does no I/O and reads no clock.

#include "Jobs/Fleet/MovePlanner.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace Jobs {

constexpr milliseconds machineCallTimeout { 1500 }; ///< Calls to the machine service time out after this.

/// An order to start the maintenance of a machine.
struct MaintenanceStart {
    std::uint64_t wave = 0; ///< Number of the wave that the machine belongs to.
    std::string machine;
};

/// Orders to send to the platform's machine service.
struct FleetOrders {
    /// Names of all machines that an order is about.
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
