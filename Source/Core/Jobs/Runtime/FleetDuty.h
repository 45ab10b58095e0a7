#pragma once

/// The holder of the fleet's duty: orders maintenance and moves of machines, one holder at a time.

#include "Jobs/Runtime/JobNode.h"
#include "Jobs/Runtime/NodeMessages.h"
#include "Jobs/Runtime/Ownership.h"

#include <functional>
#include <memory>
#include <string>

namespace Jobs {

/// What the duty works with.
struct FleetContext {
    Common::TaskLoop& loop;
    Ports::PlatformPort& platform;
    Ports::MachinePort& machines;
    Ports::PublishedPort& published;
    std::string holder; ///< This host.
    FleetLimits limits;
    Predecessor predecessor = Predecessor::Lapsed;
    /// Asks the owner of the call's pool, on this host or another.
    std::function<void(LoadCall, std::function<void(const LoadCallAnswer&)>)> askLoad;
    std::function<bool()> mayOrder; ///< False while this host's lease isn't sure.
};

/// Used on the loop's thread only.
class FleetDuty {
public:
    FleetDuty(const FleetContext&, Fence);
    ~FleetDuty();
    FleetDuty(const FleetDuty&) = delete;
    FleetDuty& operator=(const FleetDuty&) = delete;

    void begin();
    void configure(const JobConfiguration&);
    void addWave(const MaintenanceWave&);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Jobs
