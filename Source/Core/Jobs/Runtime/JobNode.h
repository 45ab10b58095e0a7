#pragma once

/// One host of the job subsystem: accepts callers' calls, forwards them to the owners of pools, and owns pools itself.
/// Runs on one loop and does all I/O through ports, so that tests can run whole fleets in virtual time.

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

/// Times of orders to machines, for the holder of the fleet duty.
struct FleetLimits {
    milliseconds holderSilence { 3000 }; ///< Minimum pause between orders of two duty holders for the same machine; the platform requires it.
    milliseconds moveTime { 1500 }; ///< Expected time of a move of a machine to another pool.
    milliseconds maintenanceTime { 2000 }; ///< Expected time of the maintenance of a machine.
    bool movesMachines = true; ///< False when machines are never moved between pools.
};

/// Settings of JobNode.
struct JobNodeSettings {
    OwnershipSettings ownership;
    PoolLimits pool;
    SessionLimits session;
    FleetLimits fleet;
};

/// Ports of JobNode; they have to outlive it.
struct JobNodePorts {
    Common::TaskLoop& loop;
    Ports::PlatformPort& platform;
    Ports::WorkerPort& workers;
    Ports::MachinePort& machines;
    Ports::PublishedPort& published;
    Ports::PeerPort& peers;
};

/// onJobCall(), isReady(), metrics() and the functions of PeerSink are thread-safe; all others run on the loop's thread.
class JobNode final : public Ports::JobSink, public Ports::PeerSink {
public:
    JobNode(const JobNodePorts&, JobNodeSettings);
    ~JobNode() override;
    JobNode(const JobNode&) = delete;
    JobNode& operator=(const JobNode&) = delete;

    /// Follows the operators' entries and joins the fleet.
    void start();
    /// Hands all duties over, and continues to forward calls to their new owners. The callback runs once all duties are released,
    /// after 600 ms at the latest, even if commits are still pending.
    void leave(std::function<void()> onLeft);
    /// For the end of the process: logs unanswered calls, answers those that wait for a peer, and refuses new ones with the
    /// reason "stopping".
    void abandon();

    void onJobCall(Ports::JobCall, Ports::JobReply) override;
    /// True with a configuration in force, until leave().
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
