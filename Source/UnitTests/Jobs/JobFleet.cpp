#include "JobFleet.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

using std::chrono::milliseconds;

namespace {

constexpr milliseconds peerDelay { 1 };
constexpr milliseconds adviceTimeout { 4000 };
constexpr milliseconds machineTimeout { 1500 };

} // namespace

bool FakePeerPort::send(const Ports::HostId& to, std::string frame)
{
    if (m_fleet.partitionedHosts.contains(m_host) || !m_fleet.hosts.contains(to))
        return false;
    m_fleet.loop.after(peerDelay, [&fleet = m_fleet, from = m_host, to, frame = std::move(frame)] {
        const auto it = fleet.hosts.find(to);
        if (it != fleet.hosts.end() && !fleet.partitionedHosts.contains(to))
            it->second->node->onFrameReceived(from, frame);
    });
    return true;
}

void FakeMachinePort::list(Ports::MachineListCallback callback)
{
    callback = deferWhilePaused(m_hostLoop, std::move(callback));
    std::vector<Jobs::Machine> machines;
    for (const auto& [name, machine] : m_fleet.machines)
        machines.push_back(machine);
    m_fleet.loop.after(m_fleet.machineListDelay, [callback, machines, isComplete = !m_fleet.failsMachineLists] { callback(isComplete, isComplete ? machines : std::vector<Jobs::Machine>()); });
}

void FakeMachinePort::move(const Ports::MachineOrder& order, Ports::MachineCallback callback)
{
    callback = deferWhilePaused(m_hostLoop, std::move(callback));
    m_fleet.moved.push_back(order);
    m_fleet.machineOrders.emplace_back(m_fleet.loop.now(), order);
    const auto status = m_fleet.losesMoveAnswers ? Ports::MachineStatus::NoAnswer : Ports::MachineStatus::Done;
    m_fleet.loop.after(peerDelay, [callback, status] { callback(status); });
}

void FakeMachinePort::maintain(const Ports::MachineOrder& order, Ports::MachineCallback callback)
{
    callback = deferWhilePaused(m_hostLoop, std::move(callback));
    m_fleet.maintained.push_back(order);
    m_fleet.machineOrders.emplace_back(m_fleet.loop.now(), order);
    const bool isLost = m_fleet.maintenanceAnswersToLose > 0;
    m_fleet.maintenanceAnswersToLose -= isLost ? 1 : 0;
    m_fleet.loop.after(isLost ? machineTimeout : peerDelay, [callback, isLost] { callback(isLost ? Ports::MachineStatus::NoAnswer : Ports::MachineStatus::Done); });
}

void FakeMachinePort::advise(const Jobs::TaskKey& step, const std::vector<std::string>& workers, Ports::AdviceCallback callback)
{
    callback = deferWhilePaused(m_hostLoop, std::move(callback));
    if (m_fleet.jobsWithoutAdvice.contains(step.job)) {
        m_fleet.loop.after(adviceTimeout, [callback] { callback(Ports::AdviceStatus::NoAnswer, {}, milliseconds(0)); });
        return;
    }
    std::vector<Ports::Ticket> tickets;
    for (std::size_t n = 0; n < workers.size(); n += 2)
        tickets.push_back({ workers[n], "ticket" });
    m_fleet.loop.after(peerDelay, [callback, tickets] { callback(Ports::AdviceStatus::Received, tickets, milliseconds(3000)); });
}

std::optional<Jobs::JobConfiguration> FakePublishedPort::readConfiguration(const std::string& value) const
{
    return value == "unreadable" ? std::nullopt : std::optional(m_fleet.configuration);
}

std::optional<Jobs::MaintenanceWave> FakePublishedPort::readWave(const std::string& value) const
{
    const auto it = m_fleet.waves.find(value);
    return it == m_fleet.waves.end() ? std::nullopt : std::optional(it->second);
}

std::optional<Jobs::WorkerEntry> FakePublishedPort::readWorker(std::string_view id, const std::string& value) const
{
    const auto it = m_fleet.workers.find(std::string(id));
    return it == m_fleet.workers.end() || value == "unreadable" ? std::nullopt : std::optional(it->second->entry);
}

/// The tasks of the loop refer to the ports.
JobFleet::Host::~Host()
{
    node.reset();
    if (loop)
        loop->kill();
}

JobFleet::JobFleet(unsigned hostCount, unsigned workerCount, unsigned coresPerWorker)
{
    Jobs::QueueRule queue;
    queue.name = "bookings";
    queue.host = "desk.example";
    queue.prefix = "/bookings/";
    queue.pool = "desk";
    queue.maximumAttempts = 3;
    queue.stretchPermille = 2000;
    queue.targetDuration = milliseconds(1000);
    configuration = { 1, { queue }, { { "desk", false, true } } };
    publishConfiguration();
    for (unsigned n = 0; n < workerCount; ++n) {
        addWorker("w" + std::to_string(n), "m" + std::to_string(n), coresPerWorker);
        publishWorker("w" + std::to_string(n));
    }
    for (unsigned n = 0; n < hostCount; ++n)
        addHost("host-" + std::to_string(n));
}

void JobFleet::addHost(const std::string& name, unsigned strengthPermille)
{
    auto host = std::make_unique<Host>();
    host->name = name;
    host->loop = std::make_unique<HostLoop>(loop);
    host->store = std::make_unique<FakeStorePort>(store, name, host->loop.get());
    host->workers = std::make_unique<FakeWorkerPort>(loop, workers, host->loop.get());
    host->peers = std::make_unique<FakePeerPort>(*this, name);
    host->machines = std::make_unique<FakeMachinePort>(*this, host->loop.get());
    Jobs::JobNodeSettings settings;
    settings.ownership.self = { name, name + ":1", "dc", strengthPermille };
    settings.ownership.incarnation = ++m_incarnations;
    const Jobs::JobNodePorts ports { *host->loop, *host->store, *host->workers, *host->machines, published, *host->peers };
    host->node = std::make_unique<Jobs::JobNode>(ports, settings);
    host->node->start();
    hosts[name] = std::move(host);
}

void JobFleet::killHost(const std::string& name)
{
    auto host = std::move(hosts.at(name));
    hosts.erase(name);
    host->store->stop();
    host->workers->kill();
    host->node.reset();
    host->loop->kill();
    killedHosts.push_back(std::move(host));
}

void JobFleet::pauseHost(const std::string& name) { hosts.at(name)->loop->pause(); }

void JobFleet::resumeHost(const std::string& name, WakeOrder order) { hosts.at(name)->loop->resume(order); }

std::shared_ptr<FakeWorker> JobFleet::addWorker(const std::string& id, const std::string& machine, unsigned cores)
{
    Jobs::WorkerEntry entry;
    entry.id = id;
    entry.machine = machine;
    entry.pool = "desk";
    entry.address = id + ":1";
    entry.incarnation = static_cast<std::uint64_t>(loop.wallNow().time_since_epoch().count());
    entry.capacity = { cores * 1000ULL, 64000, 0 };
    entry.rack = "r0";
    machines[machine] = { machine, "desk", Jobs::Machine::State::Up, id, "dc", {}, entry.capacity };
    auto worker = std::make_shared<FakeWorker>(loop, runMonitor, entry);
    worker->runTime = m_runTime;
    worker->closesConnections = closesConnections;
    worker->onCrashed = [this, id] { onWorkerCrashed(id); };
    if (onWorkerAdded)
        onWorkerAdded(*worker);
    return workers[id] = std::move(worker);
}

void JobFleet::crashWorker(const std::string& id)
{
    workers.at(id)->crash();
    onWorkerCrashed(id);
}

void JobFleet::onWorkerCrashed(const std::string& id)
{
    ++workerCrashes;
    const auto name = workers.at(id)->entry.machine;
    machines.at(name).state = Jobs::Machine::State::Down;
    machines.at(name).worker.clear();
    loop.after(downTime, [this, id, name] {
        const auto next = keepsWorkerIds ? id : id.substr(0, id.find('-')) + "-" + std::to_string(workerCrashes);
        if (!keepsWorkerIds)
            unpublishWorker(id);
        addWorker(next, name, static_cast<unsigned>(machines.at(name).capacity.milliCores / 1000));
        if (entryDelay.count() == 0)
            publishWorker(next);
        else
            loop.after(entryDelay, [this, next] { publishWorker(next); });
    });
}

void JobFleet::publishWorker(const std::string& id) { store.put("workers/" + id, "entry"); }

void JobFleet::unpublishWorker(const std::string& id)
{
    Ports::Transaction transaction;
    transaction.deletes = { "workers/" + id };
    store.state.transact(transaction, store.now());
}

void JobFleet::publishConfiguration() { store.put("op/configuration", "configuration"); }

void JobFleet::publishWave(const Jobs::MaintenanceWave& wave)
{
    const auto name = std::to_string(wave.number);
    waves[name] = wave;
    store.put("op/waves/" + name, name);
}

std::optional<Ports::JobAnswer> JobFleet::call(const std::string& host, Ports::JobVerb verb, const std::string& id, std::optional<Jobs::JobSpec> spec, milliseconds callerTimeout)
{
    const auto answer = std::make_shared<std::optional<Ports::JobAnswer>>();
    Ports::JobCall call;
    call.verb = verb;
    call.host = "desk.example";
    call.path = "/bookings/" + id;
    call.callerTimeout = callerTimeout;
    call.spec = std::move(spec);
    hosts.at(host)->node->onJobCall(std::move(call), [answer](const Ports::JobAnswer& it) { *answer = it; });
    for (milliseconds waited { 0 }; !*answer && waited < callerTimeout; waited += milliseconds(1))
        runFor(milliseconds(1));
    return *answer;
}

Jobs::JobState JobFleet::stateOf(const std::string& host, const std::string& id)
{
    const auto answer = call(host, Ports::JobVerb::Show, id);
    return answer && answer->outcome == Ports::JobOutcome::Shown ? answer->state : Jobs::JobState::Queued;
}

std::string JobFleet::ownerOf(const std::string& duty) const
{
    for (const auto& [name, host] : hosts) {
        if (host->node->ownership().owns(duty))
            return name;
    }
    return {};
}

void JobFleet::setRunTime(milliseconds time)
{
    m_runTime = time;
    for (const auto& [id, worker] : workers)
        worker->runTime = time;
}

FakeWorker& JobFleet::busyWorker()
{
    const auto it = std::ranges::find_if(workers, [](const auto& entry) { return entry.second->isBusy(); });
    if (it == workers.end())
        throw std::logic_error("no worker is busy");
    return *it->second;
}

Jobs::JobSpec oneStep(unsigned tasks, milliseconds estimate, std::uint64_t milliCores)
{
    Jobs::StepSpec step;
    step.taskCount = tasks;
    step.need = { milliCores, 100, 0 };
    step.estimate = estimate;
    Jobs::JobSpec spec;
    spec.payload = "payload";
    spec.steps = { step };
    return spec;
}

Jobs::JobSpec longRunningStep(unsigned tasks)
{
    auto spec = oneStep(tasks, std::chrono::minutes(1));
    spec.steps.front().isLasting = true;
    return spec;
}

std::string jobId(unsigned number)
{
    auto digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
}
