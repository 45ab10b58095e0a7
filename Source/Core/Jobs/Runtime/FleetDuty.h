#pragma once

/// The fleet duty: orders maintenance and moves of machines. One host holds it at a time.

#include "Jobs/Runtime/JobNode.h"
#include "Jobs/Runtime/NodeMessages.h"
#include "Jobs/Runtime/Ownership.h"

#include <functional>
#include <memory>
#include <string>

namespace Jobs {

/// Dependencies and settings of a FleetDuty.
struct FleetContext {
    Common::TaskLoop& loop;
    Ports::PlatformPort& platform;
    Ports::MachinePort& machines;
    Ports::PublishedPort& published;
    std::string holder; ///< Name of this host; sent along with every order.
    FleetLimits limits;
    Predecessor predecessor = Predecessor::Lapsed;
    /// Requests the load of the call's pool from its owner, on this host or another. The callback never runs from within the
    /// call; its answer has `isOwner` unset when no serving owner answered.
    std::function<void(LoadCall, std::function<void(const LoadCallAnswer&)>)> requestLoad;
    std::function<bool()> mayOrder; ///< False while this host's lease may have expired; then no orders are sent.
    std::function<void(std::chrono::milliseconds)> onForecastError {}; ///< Called with how much later than expected a peak started; may be empty.
};

/// Created when this host acquires the duty, destroyed when it loses it. Used on the loop's thread only.
class FleetDuty {
public:
    /// `Fence` is the duty's fencing token: every order and every write to the store carries it.
    FleetDuty(const FleetContext&, Fence);
    ~FleetDuty();
    FleetDuty(const FleetDuty&) = delete;
    FleetDuty& operator=(const FleetDuty&) = delete;

    /// Reads the intents of earlier holders and starts making decisions. Call it once.
    void begin();
    /// Replaces the pools and queues that decisions are made for.
    void configure(const JobConfiguration&);
    /// Starts a published wave, or resumes it where the previous holder left off. Retries until its progress is read from the
    /// store; ignores a wave that is known already.
    void addWave(const MaintenanceWave&);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Jobs
