#pragma once

/// A whole fleet of the job subsystem in virtual time: hosts, store, workers, machines, and the callers' view.

#include "FakeStore.h"
#include "FakeWorkers.h"
#include "Jobs/Runtime/JobNode.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

class JobFleet;

/// Frames between hosts; a host that is cut off or killed gets and sends none.
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

/// The machine service: every worker's machine, and the orders it got.
class FakeMachinePort final : public Ports::MachinePort {
public:
    explicit FakeMachinePort(JobFleet& fleet)
        : m_fleet(fleet)
    {
    }

    void list(Ports::MachineListCallback) override;
    void move(const Ports::MachineOrder&, Ports::MachineCallback) override;
    void maintain(const Ports::MachineOrder&, Ports::MachineCallback) override;
    void advise(const Jobs::TaskKey& step, const std::vector<std::string>& workers, Ports::AdviceCallback) override;

private:
    JobFleet& m_fleet;
};

/// Values stand for objects of the fleet by name.
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

/// The fleet. One pool, "desk", with the queue "bookings" at "/bookings/".
class JobFleet {
public:
    struct Host {
        std::string name;
        std::unique_ptr<FakeStorePort> store;
        std::unique_ptr<FakeWorkerPort> workers;
        std::unique_ptr<FakePeerPort> peers;
        std::unique_ptr<Jobs::JobNode> node;
    };

    explicit JobFleet(unsigned hosts, unsigned workers, unsigned coresEach = 4);

    void addHost(const std::string& name, unsigned strength = 1000);
    /// The process dies with all it knew.
    void killHost(const std::string& name);
    std::shared_ptr<FakeWorker> addWorker(const std::string& id, const std::string& machine, unsigned cores);
    void publishWorker(const std::string& id);
    void unpublishWorker(const std::string& id);
    void publishConfiguration();
    void publishWave(const Jobs::MaintenanceWave&);
    void runFor(std::chrono::milliseconds time) { loop.runFor(time); }
    /// Of each task that starts from now on, on every worker.
    void setRunTime(std::chrono::milliseconds);
    /// The first worker that runs something; there must be one.
    FakeWorker& busyWorker();
    /// Runs until some host owns the pool and serves.
    void settle() { runFor(std::chrono::milliseconds(1500)); }

    /// Makes a call at a host and runs until it is answered, at most for the time given.
    std::optional<Ports::JobAnswer> call(const std::string& host, Ports::JobVerb, const std::string& id, std::optional<Jobs::JobSpec> = {}, std::chrono::milliseconds patience = std::chrono::milliseconds(3000));
    Jobs::JobState stateOf(const std::string& host, const std::string& id);
    /// Host that owns the duty as the first living host sees it; empty for none.
    std::string ownerOf(const std::string& duty) const;

    VirtualLoop loop;
    FakeStore store { loop };
    RunMonitor witness;
    std::map<std::string, std::shared_ptr<FakeWorker>> workers;
    std::map<std::string, std::unique_ptr<Host>> hosts;
    std::vector<std::unique_ptr<Host>> killed; ///< Kept, so that calls under way meet nothing freed.
    std::set<std::string> cutPeers; ///< Hosts that reach no other host.
    std::set<Jobs::JobId> unadvised; ///< Jobs for whose steps the advice service gives no answer.
    Jobs::JobConfiguration configuration;
    std::map<std::string, Jobs::MaintenanceWave> waves;
    std::map<std::string, Jobs::Machine> machines;
    std::vector<Ports::MachineOrder> maintained;
    std::vector<Ports::MachineOrder> moved;
    bool losesMoveAnswers = false;
    FakeMachinePort machinePort { *this };
    FakePublishedPort published { *this };

private:
    std::uint64_t m_incarnations = 0;
};

/// A job of one step.
Jobs::JobSpec oneStep(unsigned tasks, std::chrono::milliseconds estimate = std::chrono::milliseconds(500), std::uint64_t milliCores = 1000);
/// A job of one step whose tasks last.
Jobs::JobSpec lastingStep(unsigned tasks);
/// Sixteen hexadecimal digits.
std::string jobId(unsigned number);
