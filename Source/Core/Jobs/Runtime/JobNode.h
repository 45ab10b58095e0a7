#pragma once

/// One host of the job subsystem: takes callers' calls, passes them to the owners of pools, and owns some itself.
/// Runs on one loop and meets the world through ports only, so that tests run whole fleets in virtual time.

#include "Common/TaskLoop.h"
#include "Jobs/Runtime/JobMetrics.h"
#include "Jobs/Runtime/Ownership.h"
#include "Jobs/Runtime/PoolOwner.h"
#include "Ports/JobPort.h"
#include "Ports/PeerPort.h"
#include "Ports/PublishedPort.h"

#include <functional>
#include <memory>

namespace Jobs {

/// What the platform promises and asks for, and what moves and maintenance weigh.
struct FleetLimits {
    milliseconds holderSilence { 3000 }; ///< Between orders of two holders for one machine.
    milliseconds moveTime { 1500 };
    milliseconds maintenanceTime { 2000 };
    bool movesMachines = true;
};

/// Settings of a host.
struct JobNodeSettings {
    OwnershipSettings ownership;
    PoolLimits pool;
    SessionLimits session;
    FleetLimits fleet;
};

/// The ports that a host meets the world through.
struct JobNodePorts {
    Common::TaskLoop& loop;
    Ports::PlatformPort& platform;
    Ports::WorkerPort& workers;
    Ports::MachinePort& machines;
    Ports::PublishedPort& published;
    Ports::PeerPort& peers;
};

/// onJobCall(), isReady(), metrics() and the peer sink may be called from any thread, the rest on the loop's only.
class JobNode final : public Ports::JobSink, public Ports::PeerSink {
public:
    JobNode(const JobNodePorts&, JobNodeSettings);
    ~JobNode() override;
    JobNode(const JobNode&) = delete;
    JobNode& operator=(const JobNode&) = delete;

    void start();
    /// Hands all duties over; goes on passing calls to their new owners. The callback runs when all are handed over.
    void leave(std::function<void()> left);
    /// The process ends: answers what still waits, and refuses what still comes.
    void abandon();

    void onJobCall(Ports::JobCall, Ports::JobReply) override;
    bool isReady() const override;
    std::string metrics() const override;
    void onFrameReceived(const Ports::HostId& from, std::string frame) override;
    void onPeerDisconnected(const Ports::HostId&) override;

    const Ownership& ownership() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Jobs
