#pragma once

/// A whole fleet of the job subsystem in virtual time: hosts, store, workers, machines, and callers.

#include "FakeStore.h"
#include "FakeWorkers.h"
#include "Jobs/Runtime/JobNode.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

class JobFleet;

/// Delivers frames between hosts. A partitioned or killed host neither sends nor receives any.
class FakePeerPort final : public Ports::PeerPort {
public:
    FakePeerPort(JobFleet& fleet, std::string host)
        : m_fleet(fleet)
        , m_host(std::move(host))
    {
    }

    void start(Ports::PeerSink&) override { }
    void setPeers(std::vector<Ports::PeerAddress>) override { }
    bool send(const Ports::HostId&, std::string frame) override;
    void stop() override { }

private:
    JobFleet& m_fleet;
    std::string m_host;
};

/// Machine service: lists the machines of the fleet and records the orders that it receives.
class FakeMachinePort final : public Ports::MachinePort {
public:
    explicit FakeMachinePort(JobFleet& fleet, HostLoop* hostLoop = nullptr)
        : m_fleet(fleet)
        , m_hostLoop(hostLoop)
    {
    }

    void list(Ports::MachineListCallback) override;
    void move(const Ports::MachineOrder&, Ports::MachineCallback) override;
    void maintain(const Ports::MachineOrder&, Ports::MachineCallback) override;
    void advise(const Jobs::TaskKey& step, const std::vector<std::string>& workers, Ports::AdviceCallback) override;

private:
    JobFleet& m_fleet;
    HostLoop* m_hostLoop; ///< Null for a host that is never paused.
};

/// Published values are names of objects that the fleet holds, instead of their text.
class FakePublishedPort final : public Ports::PublishedPort {
public:
    explicit FakePublishedPort(JobFleet& fleet)
        : m_fleet(fleet)
    {
    }

    std::string operatorPrefix() const override { return "op/"; }
    std::string configurationKey() const override { return "op/configuration"; }
    std::string wavePrefix() const override { return "op/waves/"; }
    std::string workerPrefix() const override { return "workers/"; }
    std::optional<Jobs::JobConfiguration> readConfiguration(const std::string& value) const override;
    std::optional<Jobs::MaintenanceWave> readWave(const std::string& value) const override;
    std::optional<Jobs::WorkerEntry> readWorker(std::string_view id, const std::string& value) const override;
    Ports::Put waveStatus(std::uint64_t wave, bool isCompleted) const override { return { "status/" + std::to_string(wave), isCompleted ? "completed" : "running", 0 }; }

private:
    JobFleet& m_fleet;
};

/// A fleet with one pool, "desk", whose queue "bookings" has the path prefix "/bookings/".
class JobFleet {
public:
    struct Host {
        ~Host();

        std::string name;
        std::unique_ptr<HostLoop> loop;
        std::unique_ptr<FakeStorePort> store;
        std::unique_ptr<FakeWorkerPort> workers;
        std::unique_ptr<FakePeerPort> peers;
        std::unique_ptr<FakeMachinePort> machines;
        std::unique_ptr<Jobs::JobNode> node;
    };

    explicit JobFleet(unsigned hosts, unsigned workers, unsigned coresPerWorker = 4);

    void addHost(const std::string& name, unsigned strengthPermille = 1000);
    /// The process is killed and loses all its state.
    void killHost(const std::string& name);
    /// The process doesn't run until resumeHost(); what others send to it waits.
    void pauseHost(const std::string& name);
    void resumeHost(const std::string& name, WakeOrder = WakeOrder::TimersFirst);
    std::shared_ptr<FakeWorker> addWorker(const std::string& id, const std::string& machine, unsigned cores);
    void publishWorker(const std::string& id);
    /// The worker crashes; its machine is listed as down until a worker with another id, or a new incarnation, runs there.
    void crashWorker(const std::string& id);
    void unpublishWorker(const std::string& id);
    void publishConfiguration();
    void publishWave(const Jobs::MaintenanceWave&);
    void runFor(std::chrono::milliseconds time) { loop.runFor(time); }
    /// Sets the run time of each task that starts from now on, on every worker.
    void setRunTime(std::chrono::milliseconds);
    /// The first worker that runs a task. Throws std::logic_error if there is none.
    FakeWorker& busyWorker();
    /// Runs for 1.5 s, in which a host acquires the pool and starts to serve.
    void settle() { runFor(std::chrono::milliseconds(1500)); }

    /// Makes a call at a host and runs until it is answered, for at most `callerTimeout`.
    std::optional<Ports::JobAnswer> call(const std::string& host, Ports::JobVerb, const std::string& id, std::optional<Jobs::JobSpec> = {}, std::chrono::milliseconds callerTimeout = std::chrono::milliseconds(3000));
    /// State of a job as shown by a host; Queued when the host doesn't show the job.
    Jobs::JobState stateOf(const std::string& host, const std::string& id);
    /// The first running host that takes itself for the owner of the duty; empty if there is none.
    std::string ownerOf(const std::string& duty) const;

    VirtualLoop loop;
    FakeStore store { loop };
    RunMonitor runMonitor;
    std::map<std::string, std::shared_ptr<FakeWorker>> workers;
    std::map<std::string, std::unique_ptr<Host>> hosts;
    std::vector<std::unique_ptr<Host>> killedHosts; ///< Kept, as pending calls refer to their ports.
    std::set<std::string> partitionedHosts; ///< Hosts that can't reach any other host.
    std::set<Jobs::JobId> jobsWithoutAdvice; ///< Jobs whose steps the advice service doesn't answer for.
    Jobs::JobConfiguration configuration;
    std::map<std::string, Jobs::MaintenanceWave> waves;
    std::map<std::string, Jobs::Machine> machines;
    std::vector<Ports::MachineOrder> maintained;
    std::vector<Ports::MachineOrder> moved;
    std::vector<std::pair<Common::Instant, Ports::MachineOrder>> machineOrders; ///< Both kinds, with the time.
    bool losesMoveAnswers = false;
    unsigned maintenanceAnswersToLose = 0; ///< Number of next orders that are carried out but not answered.
    std::chrono::milliseconds downTime { 3000 }; ///< From a worker's crash to its return.
    std::chrono::milliseconds entryDelay { 0 }; ///< From a worker's return to its entry.
    bool closesConnections = false; ///< Crashed workers' connections end at once, and their machines refuse new ones.
    bool keepsWorkerIds = false; ///< Crashed workers return under their old ids.
    std::function<void(FakeWorker&)> onWorkerAdded; ///< Called for each worker that is added from now on, before it is published.
    unsigned workerCrashes = 0; ///< Of any cause.
    bool failsMachineLists = false;
    std::chrono::milliseconds machineListDelay { 1 }; ///< From the call to the answer, which shows the machines at the time of the call.
    FakeMachinePort machinePort { *this };
    FakePublishedPort published { *this };

private:
    /// The worker has crashed: takes its machine down and schedules its return.
    void onWorkerCrashed(const std::string& id);

    std::uint64_t m_incarnations = 0;
    std::chrono::milliseconds m_runTime { 500 };
};

/// A job of one step.
Jobs::JobSpec oneStep(unsigned tasks, std::chrono::milliseconds estimate = std::chrono::milliseconds(500), std::uint64_t milliCores = 1000);
/// A job of one step with long-running tasks.
Jobs::JobSpec longRunningStep(unsigned tasks);
/// Sixteen hexadecimal digits.
std::string jobId(unsigned number);
