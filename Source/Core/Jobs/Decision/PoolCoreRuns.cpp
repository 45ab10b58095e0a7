/// Handlers for workers' answers and reports about their runs.

#include "Jobs/Decision/FillerPacing.h"
#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <utility>

namespace Jobs {

namespace {

    constexpr milliseconds noRoomPause { 150 }; ///< About the time that a run takes to stop and free its capacity.
    constexpr milliseconds unhealthyPause { 1000 }; ///< About one heartbeat; calls that an unhealthy worker refuses cost nothing.
    constexpr milliseconds maximumEjectionPause { 24000 };
    constexpr unsigned failuresBeforeEjection = 3; ///< Failed runs in a row. On a healthy worker, one run in a few hundred fails.
    constexpr milliseconds minimumStallTime { 2500 }; ///< Two polls plus the interval of checkpoints.
    constexpr milliseconds servedAfter { 10000 }; ///< Age at which a lasting run shows that its task isn't faulty.
    constexpr milliseconds lastingStartLimit { 6000 }; ///< Normal startups take less than 2 s.

    bool isAssignedHere(const Task* task, const Worker& worker, RunNumber run)
    {
        return task && task->state == Task::State::Placed && task->lastRun == run && task->worker == worker.entry.id;
    }

    /// False when the worker had started before the run was placed: the order didn't reach it, or its end isn't known any more.
    bool mayHaveRestartedSince(const WorkerRun& run, const Worker& worker)
    {
        const Common::WallTime startedAt { milliseconds(worker.entry.incarnation) };
        return worker.entry.incarnation == 0 || startedAt >= run.placedAfter;
    }

    bool isStalled(const WorkerRun& run, Instant now)
    {
        if ((run.isLasting && run.percent >= 100) || run.throttlePercent < 100)
            return false;
        return now - run.progressAt > (run.isLasting ? lastingStartLimit : minimumStallTime + run.estimate / 4);
    }

} // namespace

void PoolCore::onStartSent(const StartRun& order, Moment at)
{
    const auto found = m_workers.find(order.worker);
    if (found == m_workers.end())
        return;
    const auto it = found->second.runs.find(order.task);
    if (it == found->second.runs.end() || it->second.run != order.run)
        return;
    it->second.sentAt = at.now;
    if (it->second.firstSentAt == Instant())
        it->second.firstSentAt = at.now;
    if (it->second.startedBy == Instant())
        it->second.progressAt = at.now;
}

void PoolCore::onStartAnswer(const StartRun& order, const Ports::WorkerAnswer& answer, Moment at)
{
    using Ports::WorkerStatus;
    if (answer.status == WorkerStatus::Done)
        noteStarted(order.task.job);
    const auto found = m_workers.find(order.worker);
    if (found == m_workers.end())
        return;
    auto& worker = found->second;
    const auto it = worker.runs.find(order.task);
    if (it == worker.runs.end() || it->second.run != order.run)
        return;
    if (it->second.sentAt == Instant())
        it->second.sentAt = at.now;
    if (answer.status == WorkerStatus::NoAnswer) {
        it->second.hasUnansweredStart = true;
        return;
    }
    // StaleRun means that this run or a later one was stopped or has ended there. It may be this run, started by an earlier attempt
    // whose answer was lost: the next poll shows its end, or that it never ran.
    const bool isStale = answer.refusal == Ports::WorkerRefusal::StaleRun;
    if (answer.status == WorkerStatus::Done || isStale) {
        if (it->second.phase == WorkerRun::Phase::Ordered)
            it->second.phase = WorkerRun::Phase::Confirmed;
        it->second.confirmedAt = at.now;
        if (isStale)
            it->second.sentAt = {}; // No attempt can begin the run there any more: it isn't to blame for a crash.
        else if (it->second.startedBy == Instant())
            it->second.startedBy = at.now;
        return;
    }
    logRefusal(order, answer);
    avoidAfterRefusal(worker, answer, at.now);
    worker.runs.erase(it);
    stopGang(order.task);
    if (isAssignedHere(m_jobs.findTask(order.task), worker, order.run))
        recordEnd({ order.task, order.run, RunEnd::Lost, {}, at.wall });
}

void PoolCore::onStartedByOther(const StartRun& order)
{
    const auto found = m_workers.find(order.worker);
    if (found == m_workers.end())
        return;
    if (const auto it = found->second.runs.find(order.task); it != found->second.runs.end() && it->second.run == order.run)
        it->second.isStartedByOther = true;
}

void PoolCore::logRefusal(const StartRun& order, const Ports::WorkerAnswer& answer)
{
    log("run-refused", order.task.job, { { "task", std::to_string(order.task.step) + "." + std::to_string(order.task.index) }, { "run", std::to_string(order.run) }, { "worker", order.worker }, { "status", std::to_string(static_cast<int>(answer.status)) }, { "refusal", std::to_string(static_cast<int>(answer.refusal)) } });
}

void PoolCore::avoidAfterRefusal(Worker& worker, const Ports::WorkerAnswer& answer, Instant now)
{
    if (answer.refusal == Ports::WorkerRefusal::Ticket)
        m_advice.voidTickets(worker.entry.id);
    const bool isUnhealthy = answer.status != Ports::WorkerStatus::Refused;
    worker.avoidUntil = std::max(worker.avoidUntil, now + (isUnhealthy ? unhealthyPause : noRoomPause));
}

void PoolCore::onStartCancelled(const StartRun& order, const Ports::WorkerAnswer& refusal, Moment at)
{
    const auto found = m_workers.find(order.worker);
    if (found == m_workers.end())
        return;
    const auto it = found->second.runs.find(order.task);
    if (it == found->second.runs.end() || it->second.run != order.run)
        return;
    logRefusal(order, refusal);
    avoidAfterRefusal(found->second, refusal, at.now);
    it->second.phase = WorkerRun::Phase::Stopping;
    it->second.isStopOptional = false;
    it->second.confirmedAt = at.now;
    stopGang(order.task);
}

void PoolCore::onStopAnswer(const StopRun& order, const Ports::WorkerAnswer& answer, Moment at)
{
    const auto found = m_workers.find(order.worker);
    if (found == m_workers.end())
        return;
    auto& worker = found->second;
    const bool isDone = answer.status == Ports::WorkerStatus::Done;
    const auto it = worker.runs.find(order.task);
    if (isDone && it != worker.runs.end() && it->second.run == order.run)
        it->second.confirmedAt = at.now;
    const bool isAnswered = isDone || answer.status == Ports::WorkerStatus::Refused;
    const auto late = worker.lateStarts.find(order.task);
    if (isAnswered && late != worker.lateStarts.end() && late->second.run == order.run)
        late->second.refusedSince = at.now;
}

bool PoolCore::needsStart(const StartRun& order) const
{
    const auto* worker = findWorker(order.worker);
    const auto it = worker ? worker->runs.find(order.task) : std::map<TaskKey, WorkerRun>::const_iterator();
    return worker && it != worker->runs.end() && it->second.run == order.run && it->second.lastSeenPoll == 0 && it->second.phase != WorkerRun::Phase::Stopping;
}

bool PoolCore::needsThrottle(const ThrottleRun& order) const
{
    const auto* worker = findWorker(order.worker);
    const auto it = worker ? worker->runs.find(order.task) : std::map<TaskKey, WorkerRun>::const_iterator();
    return worker && it != worker->runs.end() && it->second.run == order.run && it->second.phase != WorkerRun::Phase::Stopping && it->second.throttlePercent == order.percent;
}

bool PoolCore::mayStart(const StartRun& order) const
{
    const auto* worker = findWorker(order.worker);
    const auto run = worker ? worker->runs.find(order.task) : std::map<TaskKey, WorkerRun>::const_iterator();
    if (!worker || run == worker->runs.end())
        return true;
    if (worker->entry.state == WorkerEntry::State::Draining)
        return false;
    const auto& need = run->second.reserved;
    const auto sum = worker->reserved();
    const auto& capacity = worker->entry.capacity;
    return (need.milliCores == 0 || sum.milliCores <= capacity.milliCores) && (need.memoryMb == 0 || sum.memoryMb <= capacity.memoryMb) && (need.accelerators == 0 || sum.accelerators <= capacity.accelerators);
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

void PoolCore::onStopCancelled(const StopRun& order, Moment at)
{
    const auto found = m_workers.find(order.worker);
    if (found == m_workers.end())
        return;
    const auto it = found->second.runs.find(order.task);
    if (it == found->second.runs.end() || it->second.run != order.run || it->second.phase != WorkerRun::Phase::Stopping)
        return;
    log("stop-cancelled", order.task.job, { { "task", std::to_string(order.task.step) + "." + std::to_string(order.task.index) }, { "run", std::to_string(order.run) }, { "worker", order.worker } });
    it->second.phase = WorkerRun::Phase::Confirmed;
    it->second.confirmedAt = at.now;
}

void PoolCore::onPollAnswer(const std::string& id, const Ports::PollAnswer& answer, Instant sentAt, Moment at)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return;
    const auto known = found->second.entry.incarnation;
    if (answer.incarnation != 0 && known != 0 && answer.incarnation != known) {
        if (answer.incarnation < known)
            return; // Delayed answer of an earlier incarnation.
        onWorkerLost(id, WorkerLoss::Restarted, at, &answer);
    }
    auto& worker = m_workers[id];
    if (answer.incarnation != 0)
        worker.entry.incarnation = answer.incarnation;
    if (!worker.isResponsive)
        log("worker-responsive", id, { { "running", std::to_string(answer.running.size()) }, { "ended", std::to_string(answer.ended.size()) } });
    worker.isResponsive = true;
    worker.failingSince = {};
    worker.lapsedRuns.clear();
    worker.lapsedSince = {};
    ++worker.pollAnswers;
    worker.answeredPollSentAt = std::max(worker.answeredPollSentAt, sentAt);
    for (const auto& it : answer.ended)
        onRunEnded(worker, it, at);
    worker.strays = {};
    worker.hasStrayOfUnknownSize = false;
    for (const auto& it : answer.running)
        onRunReported(worker, it, at);
    settleUncertainRuns(worker, answer, at);
    settleLateStarts(worker, answer, sentAt);
    if (!answer.hasMoreEnds)
        handleMissingRuns(worker, sentAt, at);
    stopStalledRuns(worker, at);
    throttleFillers(worker, at);
}

void PoolCore::onRunEnded(Worker& worker, const Ports::EndedTask& end, Moment at)
{
    if (end.number <= worker.lastEndNumber)
        return;
    worker.lastEndNumber = end.number;
    noteStarted(end.task.job);
    const auto it = worker.runs.find(end.task);
    if (it != worker.runs.end() && it->second.run <= end.run) {
        if (it->second.hasUnansweredStart)
            noteUnansweredStart(worker, end.task, it->second, at.now);
        if (!it->second.isProven && end.runEnd == RunEnd::Done)
            noteOutlived(end.task, at);
        worker.runs.erase(it);
    }
    const auto* task = m_jobs.findTask(end.task);
    const bool isCurrent = isAssignedHere(task, worker, end.run);
    const bool isLateDone = task && task->state == Task::State::Waiting && end.runEnd == RunEnd::Done;
    log("run-ended", end.task.job, { { "task", std::to_string(end.task.step) + "." + std::to_string(end.task.index) }, { "run", std::to_string(end.run) }, { "worker", worker.entry.id }, { "how", nameOf(end.runEnd) }, { "current", isCurrent ? "yes" : "no" } });
    if (!isCurrent && !isLateDone)
        return;
    updateWorkerHealth(worker, end, at);
    if (end.runEnd != RunEnd::Done)
        stopGang(end.task);
    if (end.runEnd == RunEnd::Done || end.runEnd == RunEnd::Failed)
        clearSuspicion(end.task, at);
    recordEnd({ end.task, end.run, end.runEnd, end.checkpoint, at.wall });
}

/// Ejects workers whose runs fail repeatedly. Only the first failure of a task counts, as a faulty task fails on any worker.
void PoolCore::updateWorkerHealth(Worker& worker, const Ports::EndedTask& end, Moment at)
{
    const auto* task = m_jobs.findTask(end.task);
    if (end.runEnd == RunEnd::Done)
        worker.failuresInRow = 0;
    settleTrial(worker, end, at.now);
    if (end.runEnd != RunEnd::Failed || !task || !isFirstFailure(end.task, *task))
        return;
    if (++worker.failuresInRow < failuresBeforeEjection)
        return;
    if (!mayEject(at.now))
        return;
    const unsigned doublings = std::min(worker.failuresInRow - failuresBeforeEjection, 8U);
    const auto pause = std::min(maximumEjectionPause, firstEjectionPause * (1 << doublings));
    eject(worker, pause, at.now);
    log("worker-ejected", worker.entry.id, { { "failuresInRow", std::to_string(worker.failuresInRow) }, { "pauseMs", std::to_string(pause.count()) } });
}

/// Task::failures isn't kept for members of gangs, which fail as a whole, nor for lasting tasks, of which only the first failure since they
/// last served counts.
bool PoolCore::isFirstFailure(const TaskKey& key, const Task& task)
{
    const auto* job = m_jobs.find(key.job);
    const auto& spec = job->spec().steps[key.step];
    if (!spec.isLasting)
        return (spec.isGang ? job->stepOf(key)->gangFailures : task.failures) == 0;
    std::erase_if(m_failedLasting, [this](const auto& it) { return !m_jobs.findTask(it); });
    return m_failedLasting.insert(key).second;
}

/// False once half of the workers are avoided: what they all have in common isn't the fault of one, and the pool needs some of them.
bool PoolCore::mayEject(Instant now) const
{
    const auto avoided = std::ranges::count_if(m_workers, [&](const auto& it) { return it.second.isAvoided(now); });
    return static_cast<std::size_t>(avoided) * 2 < m_workers.size();
}

void PoolCore::onRunReported(Worker& worker, const Ports::RunningTask& seen, Moment at)
{
    const auto it = worker.runs.find(seen.task);
    if (it == worker.runs.end() || it->second.run != seen.run) {
        noteStarted(seen.task.job);
        const auto* job = m_jobs.find(seen.task.job);
        const bool isKnown = job && seen.task.step < job->spec().steps.size();
        worker.strays += isKnown ? reservedBy(job->spec().steps[seen.task.step]) : Resources();
        worker.hasStrayOfUnknownSize = worker.hasStrayOfUnknownSize || !isKnown;
        if (it != worker.runs.end() && it->second.run > seen.run && it->second.phase == WorkerRun::Phase::Ordered)
            return; // The previous run of the task, which is still ending there.
        log("run-unexpected", seen.task.job, { { "task", std::to_string(seen.task.step) + "." + std::to_string(seen.task.index) }, { "run", std::to_string(seen.run) }, { "worker", worker.entry.id } });
        m_output.orders.emplace_back(StopRun { seen.task, seen.run, worker.entry.id });
        return;
    }
    auto& run = it->second;
    if (run.lastSeenPoll == 0) {
        noteStarted(seen.task.job);
        if (std::exchange(run.isCrashCounted, false))
            record(CrashCounted { seen.task, 0 }); // The crash was that of an earlier incarnation.
        run.progressAt = at.now; // Its start may have been carried out long after it was sent, or ordered by an earlier owner.
    }
    run.lastSeenPoll = worker.pollAnswers;
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
    updateProof(seen.task, run, at);
    settleTrial(worker, seen, run, at.now);
    if (run.isLasting && run.percent >= 100 && at.now - run.startedBy >= servedAfter)
        m_failedLasting.erase(seen.task);
}

/// A confirmed run that is neither running nor ended according to a later poll, which has listed all ends, is lost. The worker may have
/// crashed and restarted under its id before this owner's first poll.
void PoolCore::handleMissingRuns(Worker& worker, Instant sentAt, Moment at)
{
    std::vector<std::pair<TaskKey, WorkerRun>> missing;
    std::vector<LostRun> lostInCrash;
    for (const auto& [key, run] : worker.runs) {
        if (run.phase != WorkerRun::Phase::Ordered && run.confirmedAt < sentAt && run.lastSeenPoll != worker.pollAnswers)
            missing.emplace_back(key, run);
    }
    for (const auto& [key, run] : missing) {
        log("run-missing", key.job, { { "task", std::to_string(key.step) + "." + std::to_string(key.index) }, { "run", std::to_string(run.run) }, { "worker", worker.entry.id } });
        if (run.hasUnansweredStart || run.isUncertain())
            noteUnansweredStart(worker, key, run, at.now);
        worker.runs.erase(key);
        stopGang(key);
        if (!isAssignedHere(m_jobs.findTask(key), worker, run.run))
            continue;
        recordEnd({ key, run.run, RunEnd::Lost, run.checkpoint, at.wall });
        if (run.isInherited && !run.isCrashCounted && run.startedBy == Instant() && mayHaveRestartedSince(run, worker)) {
            LostRun lost { key, run.run };
            lost.isDoubtful = true;
            lostInCrash.push_back(lost);
        }
    }
    if (!lostInCrash.empty())
        onWorkerCrashed(worker, lostInCrash, {}, at);
}

/// Stops runs that have made no progress for too long, so that their tasks are placed on another worker.
void PoolCore::stopStalledRuns(Worker& worker, Moment at)
{
    for (auto& [key, run] : worker.runs) {
        const bool isRunning = run.lastSeenPoll == worker.pollAnswers; // Else its end may not be listed yet.
        if (run.phase != WorkerRun::Phase::Confirmed || !isRunning || !isStalled(run, at.now))
            continue;
        log("run-stalled", key.job, { { "task", std::to_string(key.step) + "." + std::to_string(key.index) }, { "run", std::to_string(run.run) }, { "worker", worker.entry.id }, { "percent", std::to_string(run.percent) } });
        orderStop(worker, key, run, run.isLasting);
        if (worker.isAvoided(at.now) || mayEject(at.now))
            eject(worker, firstEjectionPause, at.now);
    }
}

void PoolCore::throttleFillers(Worker& worker, Moment at)
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
        const bool isFirstPoll = run.isInherited && run.startedBy == at.now; // An earlier owner may have throttled it.
        const bool isShareUnknown = std::exchange(run.isShareUnknown, false) || isFirstPoll;
        if (share == run.throttlePercent && !isShareUnknown)
            continue;
        log("filler-throttled", key.job, { { "worker", worker.entry.id }, { "percent", std::to_string(share) }, { "latencyMs", std::to_string(worst.latency.count()) }, { "targetMs", std::to_string(worst.target.count()) } });
        run.throttlePercent = share;
        run.progressAt = at.now; // It can't have made progress while it was paused.
        m_output.orders.emplace_back(ThrottleRun { key, run.run, worker.entry.id, share });
    }
}

bool PoolCore::needsFrequentPolls(const std::string& id) const
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
    return (serves && fills) || !worker->lateStarts.empty() || m_uncertainWorkers.contains(id) || m_quarantined.contains(id) || worker->isTestingSuspect();
}

void PoolCore::orderStop(Worker& worker, const TaskKey& key, WorkerRun& run, bool isOptional)
{
    run.isStopOptional = isOptional && !run.isUncertain() && (run.phase != WorkerRun::Phase::Stopping || run.isStopOptional);
    if (run.phase == WorkerRun::Phase::Stopping)
        return;
    run.phase = WorkerRun::Phase::Stopping;
    run.confirmedAt = Instant::max(); // Until the stop is answered, polls prove nothing about the run.
    m_output.orders.emplace_back(StopRun { key, run.run, worker.entry.id });
}

/// Stops the other members of a gang that has lost one: a gang restarts as a whole.
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
