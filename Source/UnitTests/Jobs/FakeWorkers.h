#pragma once

/// The stand-in workers in virtual time, behind a port with delays and lost answers.

#include "Ports/MachinePort.h"
#include "Ports/WorkerPort.h"
#include "Standins/JobWorker.h"
#include "VirtualLoop.h"

#include <list>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using FakeWorker = Standins::JobWorker;
using RunMonitor = Standins::RunMonitor;

/// The workers of a fleet behind one host's port, with the delay of the way there and back.
class FakeWorkerPort final : public Ports::WorkerPort {
public:
    FakeWorkerPort(VirtualLoop&, std::map<std::string, std::shared_ptr<FakeWorker>>&);

    void start(const Ports::StartOrder&, Ports::WorkerCallback) override;
    void stop(const Ports::StopOrder&, Ports::WorkerCallback) override;
    void throttle(const Ports::ThrottleOrder&, Ports::WorkerCallback) override;
    void look(const Ports::LookOrder&, Ports::LookCallback) override;
    /// The host is killed: nothing that is under way reaches it.
    void kill() { *m_isAlive = false; }

    /// The next starts are carried out late and not answered.
    unsigned startsToDelay = 0;
    std::string delayedWorker; ///< That the latest of these was for.
    /// Starts for a worker that is cut off wait in the network and reach it when the cut ends.
    bool holdsUpStarts = false;
    /// The next starts are lost on their way.
    unsigned startsToLose = 0;
    /// The next starts are carried out, but their answers are lost.
    unsigned startAnswersToLose = 0;

private:
    FakeWorker* reach(const std::string& worker);
    void holdUp(const Ports::StartOrder&);

    VirtualLoop& m_loop;
    std::map<std::string, std::shared_ptr<FakeWorker>>& m_workers;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};
