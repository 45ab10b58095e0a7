/// The workers of a pool's owner, and the orders sent to them.

#include "Jobs/Runtime/PoolOwnerState.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace Jobs {

namespace {

    constexpr milliseconds machineListInterval { 1000 }; ///< Between list calls while a worker is silent; each call has a cost.
    constexpr milliseconds removalGrace { 2200 }; ///< Entries that lapsed during an outage of the store are back within 2 s.

} // namespace

void PoolOwner::State::openSession(const WorkerEntry& entry)
{
    auto& session = sessions[entry.id];
    if (session) {
        session->entryChanged(entry);
        return;
    }
    // The previous owner may have granted leases until it was deposed, but none later. An earlier session of this owner may have until now.
    auto limits = context.sessionLimits;
    limits.takeoverLapse = std::max(longestCall + maximumSpanOf(limits.longestLease), std::chrono::ceil<milliseconds>(ownedSince + limits.takeoverLapse - loop.now()));
    // An earlier session of this owner may have raised the token there.
    session = std::make_unique<WorkerSession>(loop, context.workers, limits, journal.newestRevision(), entry, sessionHooks(entry.id));
    session->begin();
}

WorkerSession::Hooks PoolOwner::State::sessionHooks(const std::string& id)
{
    WorkerSession::Hooks result;
    result.onPollAnswered = [this, id](const Ports::PollAnswer& answer, Common::Instant sentAt) { onPollAnswered(id, answer, sentAt); };
    result.onStartSent = [this](const StartRun& run) { core.onStartSent(run, moment()); };
    result.onStartAnswered = [this](const StartRun& run, const Ports::WorkerAnswer& answer) {
        core.onStartAnswer(run, answer, moment());
        if (answer.status != Ports::WorkerStatus::Done && answer.status != Ports::WorkerStatus::NoAnswer)
            scheduleDecision();
    };
    result.onStartedByOther = [this](const StartRun& run) { core.onStartedByOther(run); };
    result.onStartCancelled = [this](const StartRun& run, const Ports::WorkerAnswer& refusal) { core.onStartCancelled(run, refusal, moment()); };
    result.needsStart = [this](const StartRun& run) { return core.needsStart(run); };
    result.needsThrottle = [this](const ThrottleRun& run) { return core.needsThrottle(run); };
    result.mayStart = [this](const StartRun& run) { return core.mayStart(run); };
    result.mayStop = [this](const StopRun& run) { return core.mayStop(run, moment()); };
    result.onStopAnswer = [this](const StopRun& run, const Ports::WorkerAnswer& answer) { core.onStopAnswer(run, answer, moment()); };
    result.onStopCancelled = [this](const StopRun& run) {
        core.onStopCancelled(run, moment());
        scheduleDecision();
    };
    result.onFailing = [this, id](Common::Instant aliveUntil) { core.onWorkerFailing(id, aliveUntil, moment()); };
    result.onSilent = [this, id] {
        core.onWorkerUnresponsive(id, moment());
        silentWorkers.emplace(id, loop.now());
        scheduleMachineList();
        scheduleDecision();
    };
    result.onLapsed = [this, id](WorkerLoss loss) {
        silentWorkers.erase(id);
        core.onWorkerLost(id, loss, moment());
        if (!entries.contains(id))
            scheduleSessionRemoval(id);
        scheduleDecision();
    };
    result.onFenced = [this] { depose("fenced"); };
    result.newestFence = [this] { return journal.newestRevision(); };
    result.mayExtendLease = hooks.mayExtendLease;
    result.mayOrder = hooks.mayOrder;
    result.needsLatencyPoll = [this, id] { return core.needsFrequentPolls(id); };
    result.hasRuns = [this, id] {
        const auto* worker = core.findWorker(id);
        return worker && !worker->runs.empty();
    };
    return result;
}

void PoolOwner::State::scheduleMachineList()
{
    if (isMachineListPending)
        return;
    const auto delay = std::chrono::ceil<milliseconds>(machineListRequestedAt + machineListInterval - loop.now());
    loop.cancel(machineListTimer);
    machineListTimer = loop.after(std::max(milliseconds(0), delay), [self = weak_from_this()] {
        if (const auto it = self.lock())
            it->requestMachineList();
    });
}

void PoolOwner::State::requestMachineList()
{
    if (isClosed || isMachineListPending || silentWorkers.empty())
        return;
    isMachineListPending = true;
    loop.cancel(machineListTimer);
    machineListRequestedAt = loop.now();
    // The list proves nothing about a worker that has become silent since it was requested, for the first time or again.
    context.machines.list([self = weak_from_this(), silentBefore = silentWorkers](bool isComplete, const std::vector<Machine>& machines) {
        const auto state = self.lock();
        if (!state || state->isClosed)
            return;
        if (isComplete)
            state->checkSilentWorkers(silentBefore, machines);
        else
            state->limiter.write({ "machine-list-incomplete", state->pool, { { "silent", std::to_string(state->silentWorkers.size()) } } }, state->loop.now());
        state->isMachineListPending = false;
        state->scheduleMachineList();
    });
}

void PoolOwner::State::checkSilentWorkers(const std::map<std::string, Common::Instant>& silentBefore, const std::vector<Machine>& machines)
{
    std::unordered_map<std::string_view, const Machine*> byName;
    std::unordered_map<std::string_view, const Machine*> byWorker;
    for (const auto& it : machines) {
        byName.emplace(it.name, &it);
        byWorker.emplace(it.worker, &it);
    }
    // A worker that isn't listed may be that of such a machine.
    const bool hasDownMachine = std::ranges::any_of(machines, [](const Machine& it) { return it.state == Machine::State::Down; });
    const bool hasUnknownWorker = std::ranges::any_of(machines, [](const Machine& it) { return it.state == Machine::State::Unknown && it.worker.empty(); });
    for (const auto& [id, since] : silentBefore) {
        const auto silent = silentWorkers.find(id);
        if (silent == silentWorkers.end() || silent->second != since)
            continue;
        // For a worker known from the journal only, look for a machine that still runs it.
        const auto known = knownMachines.find(id);
        const bool isKnown = known != knownMachines.end();
        const auto& index = isKnown ? byName : byWorker;
        const auto machine = index.find(isKnown ? known->second : id);
        if (machine == index.end() && (isKnown || hasUnknownWorker))
            continue;
        checkSilentWorker(id, machine == index.end() ? nullptr : machine->second, hasDownMachine);
    }
}

/// The machine that the worker ran on, or null if none runs it; then it may return on one that is down. A machine that is moved or
/// maintained ends its worker at once.
void PoolOwner::State::checkSilentWorker(const std::string& id, const Machine* machine, bool hasDownMachine)
{
    const auto session = sessions.find(id);
    if (session == sessions.end())
        return;
    if (machine && machine->state == Machine::State::Unknown)
        return;
    if (machine && machine->state == Machine::State::Up && (machine->worker.empty() || machine->worker == id))
        return;
    silentWorkers.erase(id);
    const bool isOrdered = machine && (machine->pool != pool || machine->state == Machine::State::Moving || machine->state == Machine::State::Maintenance);
    const bool isReplaced = machine ? machine->state == Machine::State::Up : !hasDownMachine;
    const auto loss = isOrdered ? WorkerLoss::Ordered : isReplaced ? WorkerLoss::Replaced
                                                                   : WorkerLoss::Crashed;
    log({ "worker-gone", id, { { "machine", machine ? machine->name : "" }, { "listed", machine ? machine->worker : "" }, { "reason", nameOf(loss) } } });
    session->second->confirmGone(loss);
}

void PoolOwner::State::onPollAnswered(const std::string& id, const Ports::PollAnswer& answer, Common::Instant sentAt)
{
    silentWorkers.erase(id);
    core.onPollAnswer(id, answer, sentAt, moment());
    std::uint64_t newest = 0;
    for (const auto& it : answer.ended)
        newest = std::max(newest, it.number);
    flush();
    const auto session = sessions.find(id);
    if (newest > 0 && session != sessions.end()) {
        // Acknowledged to the worker only once they are committed, together with the decisions that follow from them.
        journal.append({}, [self = weak_from_this(), id, incarnation = session->second->incarnation(), newest] {
            const auto state = self.lock();
            const auto it = state ? state->sessions.find(id) : std::map<std::string, std::unique_ptr<WorkerSession>>::iterator();
            if (state && it != state->sessions.end())
                it->second->acknowledgeEnds(incarnation, newest);
        });
    }
    scheduleDecision();
}

void PoolOwner::State::onWorkerListed(const WorkerEntry& entry)
{
    const bool isOfThisPool = entry.pool == pool;
    if (!isOfThisPool) {
        if (entries.contains(entry.id))
            onWorkerUnlisted(entry.id);
        return;
    }
    const bool isBack = pendingRemovals.erase(entry.id) > 0;
    const auto known = entries.find(entry.id);
    if (!isBack && known != entries.end() && known->second == entry && sessions.contains(entry.id))
        return; // A heartbeat.
    entries[entry.id] = entry;
    knownMachines[entry.id] = entry.machine;
    if (!isServing)
        return;
    confirmSuccession(entry);
    core.onWorkerListed(entry, moment());
    if (cordonedMachines.contains(entry.machine))
        cordonWorkers();
    openSession(entry);
    scheduleDecision();
}

/// A silent worker needn't be waited for once its machine has started another one.
void PoolOwner::State::confirmSuccession(const WorkerEntry& later)
{
    const auto earlier = std::ranges::find_if(silentWorkers, [&](const auto& it) { return entries.contains(it.first) && isSuccessor(later, entries.at(it.first)); });
    if (earlier == silentWorkers.end())
        return;
    const auto node = silentWorkers.extract(earlier);
    const auto& id = node.key();
    log({ "worker-gone", id, { { "machine", later.machine }, { "listed", later.id }, { "reason", nameOf(WorkerLoss::Replaced) } } });
    if (const auto it = sessions.find(id); it != sessions.end())
        it->second->confirmGone(WorkerLoss::Replaced);
}

void PoolOwner::State::onWorkerUnlisted(const std::string& id)
{
    if (!entries.contains(id) || !pendingRemovals.insert(id).second)
        return;
    loop.after(removalGrace, [self = weak_from_this(), id] {
        const auto state = self.lock();
        if (!state || state->isClosed || state->pendingRemovals.erase(id) == 0)
            return;
        state->entries.erase(id);
        state->core.onWorkerUnlisted(id, state->moment());
        if (!state->core.findWorker(id))
            state->sessions.erase(id);
        state->scheduleDecision();
    });
}

void PoolOwner::State::scheduleSessionRemoval(const std::string& id)
{
    loop.post([self = weak_from_this(), id] {
        const auto state = self.lock();
        if (state && !state->entries.contains(id))
            state->sessions.erase(id);
    });
}

void PoolOwner::State::cordonWorkers()
{
    std::set<std::string> workers;
    for (const auto& [id, entry] : entries) {
        if (cordonedMachines.contains(entry.machine))
            workers.insert(id);
    }
    core.cordon(workers, moment());
}

void PoolOwner::State::execute(const StartRun& run)
{
    const auto it = sessions.find(run.worker);
    if (it != sessions.end()) {
        it->second->start(run);
        return;
    }
    core.onStartAnswer(run, { Ports::WorkerStatus::NotSent, Ports::WorkerRefusal::None, Ports::WorkerTime(0) }, moment());
    scheduleDecision();
}

void PoolOwner::State::execute(const StopRun& run)
{
    if (const auto it = sessions.find(run.worker); it != sessions.end())
        it->second->stop(run);
    else
        logDroppedOrder("stop", run.task, run.run, run.worker);
}

void PoolOwner::State::execute(const ThrottleRun& run)
{
    if (const auto it = sessions.find(run.worker); it != sessions.end())
        it->second->throttle(run);
    else
        logDroppedOrder("throttle", run.task, run.run, run.worker);
}

void PoolOwner::State::logDroppedOrder(const char* kind, const TaskKey& task, RunNumber run, const std::string& worker)
{
    log({ "order-dropped", task.job, { { "order", kind }, { "task", std::to_string(task.step) + "." + std::to_string(task.index) }, { "run", std::to_string(run) }, { "worker", worker }, { "reason", "no-session" } } });
}

void PoolOwner::State::execute(const AdviceRequest& order)
{
    adviceQueue.add(order);
    requestNextAdvice();
}

void PoolOwner::State::requestNextAdvice()
{
    loop.cancel(adviceTimer);
    if (const auto at = adviceQueue.nextAt(); at && *at > loop.now()) {
        adviceTimer = loop.after(std::chrono::ceil<milliseconds>(*at - loop.now()), [self = weak_from_this()] {
            if (const auto state = self.lock())
                state->requestNextAdvice();
        });
        return;
    }
    const auto order = adviceQueue.next(loop.now());
    if (!order)
        return;
    context.machines.advise(order->step, order->workers, [self = weak_from_this(), order = *order](Ports::AdviceStatus status, const std::vector<Ports::Ticket>& tickets, milliseconds validity) {
        const auto state = self.lock();
        if (state && !state->isClosed)
            state->onAdvice(order, status, tickets, validity);
    });
}

void PoolOwner::State::onAdvice(const AdviceRequest& order, Ports::AdviceStatus status, const std::vector<Ports::Ticket>& tickets, milliseconds validity)
{
    if (status != Ports::AdviceStatus::Received) {
        limiter.write({ "advice-failed", order.step.job, { { "status", std::to_string(static_cast<int>(status)) }, { "waiting", std::to_string(adviceQueue.size()) } } }, loop.now());
        adviceQueue.onFailed(loop.now());
        requestNextAdvice();
        return;
    }
    adviceQueue.onAnswered();
    std::vector<AdvisedWorker> advisedWorkers;
    advisedWorkers.reserve(tickets.size());
    for (const auto& it : tickets)
        advisedWorkers.push_back({ it.worker, it.text });
    core.onAdvice(order, advisedWorkers, std::max(milliseconds(1), validity), moment());
    scheduleDecision();
    requestNextAdvice();
}

} // namespace Jobs
