/// What workers tell about their runs.

#include "Jobs/Decision/FillerPacing.h"
#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <utility>

namespace Jobs {

namespace {

    constexpr milliseconds noRoomPause { 150 }; ///< About the time in which a run that is being stopped gives its room back.
    constexpr milliseconds unhealthyPause { 1000 }; ///< One heartbeat or so; a sick worker turns calls away at no cost.
    constexpr milliseconds ejectionPause { 3000 }; ///< First pause of a worker that fails what it starts; doubles to the limit.
    constexpr milliseconds longestEjection { 24000 };
    constexpr unsigned failuresBeforeEjection = 3; ///< Runs in a row; a sound worker fails one in a few hundred.
    constexpr milliseconds stallFloor { 2500 }; ///< Two looks and the time in which checkpoints come.
    constexpr milliseconds lastingStartLimit { 6000 }; ///< Startups take under two seconds.

    bool isHeldHere(const Task* task, const Worker& worker, RunNumber run)
    {
        return task && task->state == Task::State::Placed && task->lastRun == run && task->worker == worker.entry.id;
    }

    bool isStalled(const WorkerRun& run, Instant now)
    {
        if ((run.isLasting && run.percent >= 100) || run.throttlePercent < 100)
            return false;
        return now - run.progressAt > (run.isLasting ? lastingStartLimit : stallFloor + run.estimate / 4);
    }

} // namespace

void PoolCore::startAnswered(const StartRun& order, const Ports::WorkerAnswer& answer, Moment at)
{
    using Ports::WorkerStatus;
    const auto found = m_workers.find(order.worker);
    if (found == m_workers.end() || answer.status == WorkerStatus::NoAnswer)
        return;
    auto& worker = found->second;
    const auto it = worker.runs.find(order.task);
    if (it == worker.runs.end() || it->second.run != order.run)
        return;
    // An old run was stopped or has ended there, perhaps this one by an earlier try whose answer was lost: the worker's
    // list tells its end, or that it never was.
    if (answer.status == WorkerStatus::Done || answer.refusal == Ports::WorkerRefusal::StaleRun) {
        if (it->second.phase == WorkerRun::Phase::Ordered)
            it->second.phase = WorkerRun::Phase::Confirmed;
        it->second.confirmedAt = at.now;
        return;
    }
    log("run-refused", order.task.job, { { "task", std::to_string(order.task.step) + "." + std::to_string(order.task.index) }, { "run", std::to_string(order.run) }, { "worker", order.worker }, { "status", std::to_string(static_cast<int>(answer.status)) }, { "refusal", std::to_string(static_cast<int>(answer.refusal)) } });
    if (answer.refusal == Ports::WorkerRefusal::Ticket)
        m_advice.dropWorker(order.worker);
    const bool isUnhealthy = answer.status != WorkerStatus::Refused;
    worker.avoidUntil = std::max(worker.avoidUntil, at.now + (isUnhealthy ? unhealthyPause : noRoomPause));
    worker.runs.erase(it);
    stopGang(order.task);
    if (isHeldHere(m_jobs.findTask(order.task), worker, order.run))
        recordEnd({ order.task, order.run, RunEnd::Lost, {}, at.wall });
}

void PoolCore::stopAnswered(const StopRun& order, const Ports::WorkerAnswer& answer, Moment at)
{
    const auto found = m_workers.find(order.worker);
    if (found == m_workers.end() || answer.status != Ports::WorkerStatus::Done)
        return;
    const auto it = found->second.runs.find(order.task);
    if (it != found->second.runs.end() && it->second.run == order.run)
        it->second.confirmedAt = at.now;
}

bool PoolCore::mayStop(const StopRun& order, Moment at) const
{
    const auto* worker = findWorker(order.worker);
    if (!worker || worker->entry.state == WorkerEntry::State::Draining)
        return true;
    const auto it = worker->runs.find(order.task);
    if (it == worker->runs.end() || it->second.run != order.run || !it->second.isStopOptional)
        return true;
    return isStalled(it->second, at.now) || mayInterrupt(order.task, at.now);
}

void PoolCore::stopWithdrawn(const StopRun& order, Moment at)
{
    const auto found = m_workers.find(order.worker);
    if (found == m_workers.end())
        return;
    const auto it = found->second.runs.find(order.task);
    if (it == found->second.runs.end() || it->second.run != order.run || it->second.phase != WorkerRun::Phase::Stopping)
        return;
    log("stop-withdrawn", order.task.job, { { "task", std::to_string(order.task.step) + "." + std::to_string(order.task.index) }, { "run", std::to_string(order.run) }, { "worker", order.worker } });
    it->second.phase = WorkerRun::Phase::Confirmed;
    it->second.confirmedAt = at.now;
}

void PoolCore::looked(const std::string& id, const Ports::PollAnswer& answer, Instant sentAt, Moment at)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return;
    const auto known = found->second.entry.incarnation;
    if (answer.incarnation != 0 && known != 0 && answer.incarnation != known) {
        if (answer.incarnation < known)
            return; // Overtaken by an answer of the next incarnation.
        workerLost(id, "new-incarnation", at);
    }
    auto& worker = m_workers[id];
    if (answer.incarnation != 0)
        worker.entry.incarnation = answer.incarnation;
    if (!worker.isOpen)
        log("worker-heard", id, { { "running", std::to_string(answer.running.size()) }, { "ended", std::to_string(answer.ended.size()) } });
    worker.isOpen = true;
    ++worker.looks;
    for (const auto& it : answer.ended)
        endSeen(worker, it, at);
    for (const auto& it : answer.running)
        runSeen(worker, it, at);
    findVanished(worker, sentAt, at);
    findStalled(worker, at);
    pace(worker);
}

void PoolCore::endSeen(Worker& worker, const Ports::EndedTask& end, Moment at)
{
    if (end.number <= worker.endsSeen)
        return;
    worker.endsSeen = end.number;
    const auto it = worker.runs.find(end.task);
    if (it != worker.runs.end() && it->second.run <= end.run)
        worker.runs.erase(it);
    const auto* task = m_jobs.findTask(end.task);
    const bool isHeld = isHeldHere(task, worker, end.run);
    const bool isLateDone = task && task->state == Task::State::Waiting && end.runEnd == RunEnd::Done;
    log("run-ended", end.task.job, { { "task", std::to_string(end.task.step) + "." + std::to_string(end.task.index) }, { "run", std::to_string(end.run) }, { "worker", worker.entry.id }, { "how", nameOf(end.runEnd) }, { "current", isHeld ? "yes" : "no" } });
    if (!isHeld && !isLateDone)
        return;
    judgeWorker(worker, end.task, end.runEnd, at);
    if (end.runEnd != RunEnd::Done)
        stopGang(end.task);
    recordEnd({ end.task, end.run, end.runEnd, end.checkpoint, at.wall });
}

/// A task that can never be done fails everywhere: only the first failure of a task speaks against the worker.
void PoolCore::judgeWorker(Worker& worker, const TaskKey& key, RunEnd runEnd, Moment at)
{
    const auto* task = m_jobs.findTask(key);
    if (runEnd == RunEnd::Done)
        worker.failuresInRow = 0;
    if (runEnd != RunEnd::Failed || !task || task->failures > 0)
        return;
    if (++worker.failuresInRow < failuresBeforeEjection)
        return;
    const auto ejected = std::ranges::count_if(m_workers, [&](const auto& it) { return it.second.avoidUntil > at.now; });
    if (static_cast<std::size_t>(ejected) * 2 >= m_workers.size())
        return;
    const unsigned doublings = std::min(worker.failuresInRow - failuresBeforeEjection, 8U);
    const auto pause = std::min(longestEjection, ejectionPause * (1 << doublings));
    worker.avoidUntil = std::max(worker.avoidUntil, at.now + pause);
    log("worker-ejected", worker.entry.id, { { "failuresInRow", std::to_string(worker.failuresInRow) }, { "pauseMs", std::to_string(pause.count()) } });
}

void PoolCore::runSeen(Worker& worker, const Ports::RunningTask& seen, Moment at)
{
    const auto it = worker.runs.find(seen.task);
    if (it == worker.runs.end() || it->second.run != seen.run) {
        if (it != worker.runs.end() && it->second.run > seen.run && it->second.phase == WorkerRun::Phase::Ordered)
            return; // The older run is on its way out.
        log("run-stray", seen.task.job, { { "task", std::to_string(seen.task.step) + "." + std::to_string(seen.task.index) }, { "run", std::to_string(seen.run) }, { "worker", worker.entry.id } });
        m_output.orders.emplace_back(StopRun { seen.task, seen.run, worker.entry.id });
        return;
    }
    auto& run = it->second;
    run.seenIn = worker.looks;
    if (run.phase == WorkerRun::Phase::Ordered) {
        run.phase = WorkerRun::Phase::Confirmed;
        run.confirmedAt = at.now;
    }
    if (seen.percent != run.percent || seen.checkpoint != run.checkpoint)
        run.progressAt = at.now;
    run.percent = seen.percent;
    run.measure = seen.measure;
    if (!seen.checkpoint.empty())
        run.checkpoint = seen.checkpoint;
}

/// A confirmed run that a later look shows neither running nor ended is gone.
void PoolCore::findVanished(Worker& worker, Instant sentAt, Moment at)
{
    std::vector<std::pair<TaskKey, WorkerRun>> vanished;
    for (const auto& [key, run] : worker.runs) {
        if (run.phase != WorkerRun::Phase::Ordered && run.confirmedAt < sentAt && run.seenIn != worker.looks)
            vanished.emplace_back(key, run);
    }
    for (const auto& [key, run] : vanished) {
        log("run-vanished", key.job, { { "task", std::to_string(key.step) + "." + std::to_string(key.index) }, { "run", std::to_string(run.run) }, { "worker", worker.entry.id } });
        worker.runs.erase(key);
        stopGang(key);
        if (isHeldHere(m_jobs.findTask(key), worker, run.run))
            recordEnd({ key, run.run, RunEnd::Lost, run.checkpoint, at.wall });
    }
}

/// A run that makes no progress for long is tried elsewhere.
void PoolCore::findStalled(Worker& worker, Moment at)
{
    for (auto& [key, run] : worker.runs) {
        if (run.phase != WorkerRun::Phase::Confirmed || !isStalled(run, at.now))
            continue;
        log("run-stalled", key.job, { { "task", std::to_string(key.step) + "." + std::to_string(key.index) }, { "run", std::to_string(run.run) }, { "worker", worker.entry.id }, { "percent", std::to_string(run.percent) } });
        orderStop(worker, key, run, run.isLasting);
        worker.avoidUntil = std::max(worker.avoidUntil, at.now + ejectionPause);
    }
}

void PoolCore::pace(Worker& worker)
{
    LatencyPressure worst;
    for (const auto& [key, run] : worker.runs) {
        if (run.targetLatency == milliseconds(0) || run.phase != WorkerRun::Phase::Confirmed)
            continue;
        const milliseconds latency(static_cast<std::int64_t>(run.measure));
        if (worst.target.count() == 0 || latency * worst.target.count() > worst.latency * run.targetLatency.count())
            worst = { latency, run.targetLatency };
    }
    for (auto& [key, run] : worker.runs) {
        if (!run.isFiller || run.phase != WorkerRun::Phase::Confirmed)
            continue;
        const unsigned share = pacedShare(run.throttlePercent, worst);
        if (share == run.throttlePercent)
            continue;
        log("filler-paced", key.job, { { "worker", worker.entry.id }, { "percent", std::to_string(share) }, { "latencyMs", std::to_string(worst.latency.count()) }, { "targetMs", std::to_string(worst.target.count()) } });
        run.throttlePercent = share;
        m_output.orders.emplace_back(ThrottleRun { key, run.run, worker.entry.id, share });
    }
}

bool PoolCore::needsCloseLook(const std::string& id) const
{
    const auto* worker = findWorker(id);
    if (!worker)
        return false;
    bool serves = false;
    bool fills = false;
    for (const auto& [key, run] : worker->runs) {
        serves = serves || run.targetLatency > milliseconds(0);
        fills = fills || run.isFiller;
    }
    return serves && fills;
}

void PoolCore::orderStop(Worker& worker, const TaskKey& key, WorkerRun& run, bool isOptional)
{
    run.isStopOptional = isOptional && (run.phase != WorkerRun::Phase::Stopping || run.isStopOptional);
    if (run.phase == WorkerRun::Phase::Stopping)
        return;
    run.phase = WorkerRun::Phase::Stopping;
    run.confirmedAt = Instant::max(); // Until the stop is answered, a look proves nothing.
    m_output.orders.emplace_back(StopRun { key, run.run, worker.entry.id });
}

/// A gang that has lost a member begins again as a whole.
void PoolCore::stopGang(const TaskKey& member)
{
    const auto* job = m_jobs.find(member.job);
    if (!job || member.step >= job->spec().steps.size() || !job->spec().steps[member.step].isGang)
        return;
    for (auto& [id, worker] : m_workers) {
        for (auto& [key, run] : worker.runs) {
            if (key.job == member.job && key.occurrence == member.occurrence && key.step == member.step && key.index != member.index)
                orderStop(worker, key, run);
        }
    }
}

void PoolCore::stopJob(const JobId& id)
{
    for (auto& [workerId, worker] : m_workers) {
        for (auto& [key, run] : worker.runs) {
            if (key.job == id)
                orderStop(worker, key, run);
        }
    }
}

} // namespace Jobs
