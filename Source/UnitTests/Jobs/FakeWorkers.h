#pragma once

/// Stand-in workers in virtual time, behind a port that delays calls and loses answers.

#include "HostLoop.h"
#include "Ports/MachinePort.h"
#include "Ports/WorkerPort.h"
#include "Standins/JobWorker.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

using FakeWorker = Standins::JobWorker;
using RunMonitor = Standins::RunMonitor;

enum class WorkerCall {
    Start,
    Stop,
    Throttle,
    Poll,
};

/// One host's port to all workers of a fleet, with a network delay in each direction.
class FakeWorkerPort final : public Ports::WorkerPort {
public:
    FakeWorkerPort(VirtualLoop&, std::map<std::string, std::shared_ptr<FakeWorker>>&, HostLoop* = nullptr);

    void start(const Ports::StartOrder&, Ports::WorkerCallback) override;
    void stop(const Ports::StopOrder&, Ports::WorkerCallback) override;
    void throttle(const Ports::ThrottleOrder&, Ports::WorkerCallback) override;
    void poll(const Ports::PollOrder&, Ports::PollCallback) override;
    /// The host is killed: it gets none of the pending answers.
    void kill() { *m_isAlive = false; }

    std::map<std::string, unsigned> polls; ///< Number of polls sent to each worker.
    /// Number of next starts that are carried out late and not answered.
    unsigned startsToDelay = 0;
    std::string delayedWorker; ///< Target of the latest start that was delayed or lost.
    /// Starts for an unreachable worker are retransmitted until it is reachable, as by TCP.
    bool retransmitsStarts = false;
    /// Calls to an unreachable worker wait for it, as those on connections that are being opened do, until they time out. Its next incarnation
    /// carries them out and answers.
    bool opensConnections = false;
    /// Number of next starts that are lost before they reach the worker.
    unsigned startsToLose = 0;
    /// Number of next starts that are carried out, but whose answers are lost.
    unsigned startAnswersToLose = 0;
    bool losesStops = false; ///< Stops don't reach their workers.
    unsigned stopsToDelay = 0; ///< Number of next stops that are carried out late and not answered.
    unsigned pollsToDelay = 0; ///< The same of polls.
    /// Asked for each call to a worker. A time: the call is carried out that much later, if its worker is reachable then, and not answered.
    std::function<std::optional<std::chrono::milliseconds>(WorkerCall, const std::string& worker)> lateness;
    unsigned callsToNextIncarnation = 0; ///< Number of those that the worker's next incarnation has carried out.
    unsigned callsToRefuse = 0; ///< Number of next starts that an unhealthy worker refuses without effect.

private:
    /// Null for a worker that is unknown, cut off, crashed, or at another address.
    FakeWorker* findReachable(const Ports::WorkerTarget&);
    /// True for a crashed worker whose machine refuses connections.
    bool isRefused(const std::string& worker) const;
    /// Carries out a call that much later, if its worker is reachable then, without an answer.
    void carryOutLate(const Ports::WorkerTarget&, std::chrono::milliseconds delay, std::function<void(FakeWorker&)>);
    /// Makes the call late if `lateness` says so. `giveUp` runs after the timeout.
    bool isMadeLate(WorkerCall, const Ports::WorkerTarget&, std::chrono::milliseconds timeout, std::function<void(FakeWorker&)>, const std::function<void()>& giveUp);
    void retransmitStart(const Ports::StartOrder&);
    /// Makes the call once the worker is reachable; `giveUp` runs instead if it isn't within `timeout`.
    void deliver(const Ports::WorkerTarget&, std::chrono::milliseconds timeout, std::function<void(FakeWorker&)> call, std::function<void()> giveUp);

    VirtualLoop& m_loop;
    std::map<std::string, std::shared_ptr<FakeWorker>>& m_workers;
    HostLoop* m_hostLoop; ///< Null for a host that is never paused.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};
