#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Jobs {

using Ports::JobAnswer;
using Ports::JobOutcome;

namespace {

    /// How long stop orders of a previous owner may take effect: orders time out after 0.7 s, and a stop takes up to 1 s.
    constexpr milliseconds previousStopsLimit { 2000 };

    /// True when the worker may have been ended on order, so that its loss is no evidence of a crash. A machine is moved or maintained
    /// only once its worker is cordoned and empty; if that is carried out late, the machine list shows it.
    bool mayBePlanned(const Worker& worker, WorkerLoss loss, const std::vector<LostRun>& lost, Instant now)
    {
        if (loss == WorkerLoss::Ordered)
            return true;
        const bool hasDrained = worker.entry.state == WorkerEntry::State::Draining && now >= worker.drainsUntil;
        return hasDrained || (worker.isCordoned && lost.empty());
    }

    /// When the worker may end on order, if the entry shows that it drains. An entry read for the first time may be old.
    Instant drainEnd(const Worker& known, const WorkerEntry& entry, Instant now)
    {
        if (entry.state != WorkerEntry::State::Draining || known.entry.address.empty() || known.entry.incarnation != entry.incarnation)
            return {};
        const auto end = now + entry.drainRemaining;
        return known.entry.state == WorkerEntry::State::Ready ? end : std::min(known.drainsUntil, end);
    }

} // namespace

const char* nameOf(WorkerLoss loss)
{
    constexpr std::array names { "lapsed", "crashed", "replaced", "ordered", "restarted" };
    return names.at(static_cast<std::size_t>(loss));
}

PoolCore::PoolCore(const PoolLimits& limits)
    : m_limits(limits)
{
}

void PoolCore::load(const std::vector<JobRecord>& records)
{
    for (const auto& it : records) {
        m_jobs.apply(it);
        restoreEvidence(it);
    }
}

void PoolCore::finishLoad(Moment at)
{
    m_previousStopsEndAt = at.now + previousStopsLimit;
    m_previousLeasesEndAt = at.now + m_limits.takeoverLapse;
    // Runs that are placed according to the journal may still be running. They keep their places until the worker answers a poll,
    // or is known to be lost.
    m_jobs.forEachTask([this, at](const Job& job, const TaskKey& key, const Task& task) {
        if (task.state != Task::State::Placed)
            return;
        auto& worker = m_workers[task.worker];
        if (worker.entry.id.empty()) {
            worker.entry.id = task.worker;
            worker.isListed = false;
        }
        auto run = makeRun(job.spec().steps[key.step], task.lastRun, at.now);
        run.phase = WorkerRun::Phase::Confirmed;
        run.confirmedAt = at.now;
        run.isInherited = true;
        run.isCrashCounted = task.countedRun == task.lastRun;
        run.placedAfter = task.placedAfter;
        run.isSuspect = task.crashTally.suspected > 0;
        run.isConfined = m_confined.contains(key);
        run.checkpoint = task.checkpoint;
        worker.runs[key] = std::move(run);
    });
    m_jobs.forEachTask([this](const Job&, const TaskKey& key, const Task& task) {
        if (task.crashTally.suspected == 0 && !m_confined.contains(key))
            return;
        m_suspects.insert(key);
        if (task.crashTally.suspected > 0 && !m_likelySuspects.contains(key))
            m_doubtfulSuspects.insert(key); // Grades aren't in snapshots, nor in records of earlier versions.
    });
    std::erase_if(m_confined, [this](const auto& key) { return !m_jobs.findTask(key); });
    delayConfined(at.now);
    forgetGrades();
    if (!m_crashAges.ages.empty())
        m_startSpacing.onCrash(at.now - std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(at.wall - m_crashAges.at)));
    if (!m_suspects.empty())
        m_startSpacing.onCrash(at.now);
}

void PoolCore::configure(const JobConfiguration& configuration)
{
    m_advisedQueues.clear();
    for (const auto& it : configuration.queues) {
        if (it.advice)
            m_advisedQueues.insert(it.name);
    }
}

void PoolCore::onWorkerListed(const WorkerEntry& entry, Moment at)
{
    auto& worker = m_workers[entry.id];
    const bool isNewIncarnation = entry.incarnation != 0 && worker.entry.incarnation != 0 && entry.incarnation != worker.entry.incarnation;
    const bool isOlder = entry.incarnation != 0 && entry.incarnation < worker.entry.incarnation;
    if (isOlder)
        return;
    onMachineRestarted(entry, at);
    const bool wasListed = std::exchange(worker.isListed, true); // Before the loss, after which a worker that isn't listed is forgotten.
    if (isNewIncarnation)
        onWorkerLost(entry.id, WorkerLoss::Restarted, at);
    if (worker.entry.state != entry.state || !wasListed || worker.entry.address.empty())
        log("worker-listed", entry.id, { { "state", entry.state == WorkerEntry::State::Ready ? "ready" : "draining" }, { "address", entry.address }, { "incarnation", std::to_string(entry.incarnation) }, { "drainRemainingMs", std::to_string(entry.drainRemaining.count()) } });
    worker.drainsUntil = drainEnd(worker, entry, at.now);
    worker.entry = entry;
    auto& largest = worker.largestCapacity;
    largest = { std::max(largest.milliCores, entry.capacity.milliCores), std::max(largest.memoryMb, entry.capacity.memoryMb), std::max(largest.accelerators, entry.capacity.accelerators) };
    worker.isCordoned = m_cordoned.contains(entry.id);
}

void PoolCore::onWorkerUnlisted(const std::string& id, Moment)
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end() || !it->second.isListed)
        return;
    log("worker-unlisted", id, { { "runs", std::to_string(it->second.runs.size()) } });
    it->second.isListed = false;
    releaseLateStarts(it->second);
    if (it->second.runs.empty())
        m_workers.erase(it);
}

void PoolCore::onWorkerFailing(const std::string& id, Instant aliveUntil, Moment at)
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end() || it->second.failingSince != Instant())
        return;
    it->second.failingSince = at.now;
    it->second.aliveUntil = aliveUntil;
}

void PoolCore::onWorkerUnresponsive(const std::string& id, Moment)
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end() || !it->second.isResponsive)
        return;
    log("worker-unresponsive", id, { { "runs", std::to_string(it->second.runs.size()) } });
    it->second.isResponsive = false;
}

void PoolCore::onWorkerLost(const std::string& id, WorkerLoss loss, Moment at, const Ports::PollAnswer* next)
{
    const auto it = m_workers.find(id);
    if (it == m_workers.end())
        return;
    auto& worker = it->second;
    if (loss == WorkerLoss::Lapsed && hasSuccessor(worker))
        loss = WorkerLoss::Replaced;
    log("worker-lost", id, { { "reason", nameOf(loss) }, { "machine", worker.entry.machine }, { "runs", std::to_string(worker.runs.size()) } });
    worker.isResponsive = false;
    worker.lastEndNumber = 0;
    m_advice.voidTickets(id);
    auto runs = std::exchange(worker.runs, {});
    worker.strays = {};
    worker.hasStrayOfUnknownSize = false;
    const auto failingSince = std::exchange(worker.failingSince, {});
    const auto lapsedSince = std::exchange(worker.lapsedSince, {});
    std::vector<LostRun> lost = std::exchange(worker.lapsedRuns, {});
    std::erase_if(lost, [next](const auto& it) { return next && isListedIn(*next, it.task, it.run); });
    keepUncertainRuns(worker, runs, { loss, failingSince, next }, lost, at);
    expectLateStarts(worker, runs, loss, at.now);
    for (const auto& [key, run] : runs) {
        const auto* sent = run.isUnsent() ? "no" : "yes";
        const auto evidence = run.startEvidence(worker.answeredPollSentAt);
        log("run-lost", key.job, { { "task", std::to_string(key.step) + "." + std::to_string(key.index) }, { "run", std::to_string(run.run) }, { "worker", id }, { "reason", nameOf(loss) }, { "ageMs", std::to_string(std::chrono::duration_cast<milliseconds>(at.now - run.orderedAt).count()) }, { "sent", run.isInherited ? "unknown" : sent }, { "confirmed", run.phase == WorkerRun::Phase::Ordered ? "no" : "yes" }, { "start", nameOf(evidence) }, { "percent", std::to_string(run.percent) } });
        const bool isCurrent = isCurrentRun(worker, key, run.run);
        if (!run.isCrashCounted && mayHaveStarted(worker, run, failingSince) && (isCurrent || wasStopped(key.job)))
            lost.push_back(lostRunOf(key, run, evidence, worker.aliveUntil, failingSince));
        if (isCurrent)
            recordEnd({ key, run.run, RunEnd::Lost, run.checkpoint, at.wall });
    }
    const bool isPlanned = mayBePlanned(worker, loss, lost, at.now);
    if (loss == WorkerLoss::Lapsed)
        worker.lapsedRuns = std::move(lost);
    else if (!isPlanned)
        onWorkerCrashed(worker, lost, failingSince == Instant() ? lapsedSince : failingSince, at);
    if (loss == WorkerLoss::Lapsed)
        worker.lapsedSince = failingSince;
    if (worker.isListed || !worker.runs.empty())
        return;
    m_workers.erase(it);
}

void PoolCore::cordon(const std::set<std::string>& workers, Moment)
{
    m_cordoned = workers;
    for (auto& [id, worker] : m_workers)
        worker.isCordoned = workers.contains(id);
}

std::string PoolCore::submissionError(const JobSpec& spec) const
{
    if (auto fault = validationError(spec); !fault.empty())
        return fault;
    for (std::size_t n = 0; n < spec.steps.size() && !m_workers.empty(); ++n) {
        const auto canHold = [need = reservedBy(spec.steps[n])](const auto& it) { return !it.second.isListed || need.fitsInto(it.second.largestCapacity); };
        if (std::ranges::none_of(m_workers, canHold))
            return "no worker of the pool could ever hold a task of step " + std::to_string(n);
    }
    return {};
}

JobAnswer PoolCore::submit(const JobId& id, const QueueRule& queue, JobSpec spec, Moment at, milliseconds callerWaited)
{
    JobAnswer answer;
    if (m_jobs.stateOf(id)) {
        log("job-resubmitted", id, { { "queue", queue.name } });
        answer.outcome = JobOutcome::Accepted;
        return answer;
    }
    if (const auto* cancelledAt = m_jobs.cancelledAheadAt(id)) {
        log("job-refused-as-cancelled", id, { { "queue", queue.name }, { "cancelledMsAgo", std::to_string((at.wall - *cancelledAt).count()) } });
        answer.outcome = JobOutcome::Refused;
        answer.reason = "cancelled";
        answer.retryAfter = retryAfterCancel(*cancelledAt, at);
        return answer;
    }
    answer.reason = submissionError(spec);
    if (!answer.reason.empty()) {
        log("job-malformed", id, { { "queue", queue.name }, { "reason", answer.reason } });
        answer.outcome = JobOutcome::Malformed;
        return answer;
    }
    JobAccepted accepted;
    accepted.job = id;
    accepted.queue = queue.name;
    accepted.priority = queue.priority;
    accepted.maximumAttempts = std::max(1U, queue.maximumAttempts);
    accepted.objective = objectiveOf(spec, queue.stretchPermille, queue.targetDuration);
    accepted.acceptedAt = at.wall - callerWaited;
    accepted.spec = std::move(spec);
    if (const auto refusal = refusalOf(accepted, at)) {
        answer.outcome = JobOutcome::Refused;
        answer.reason = "source-crashes-workers";
        answer.retryAfter = refusal->retryAfter;
        return answer;
    }
    log("job-accepted", id, { { "queue", queue.name }, { "steps", std::to_string(accepted.spec.steps.size()) }, { "tasks", std::to_string(taskCountOf(accepted.spec)) }, { "workCoreMs", std::to_string(workOf(accepted.spec)) }, { "criticalPathMs", std::to_string(criticalPathOf(accepted.spec).count()) }, { "objectiveMs", std::to_string(accepted.objective.count()) }, { "callerWaitedMs", std::to_string(callerWaited.count()) } });
    record(std::move(accepted));
    answer.outcome = JobOutcome::Accepted;
    return answer;
}

JobAnswer PoolCore::cancel(const JobId& id, Moment at)
{
    JobAnswer answer;
    const auto* state = m_jobs.stateOf(id);
    answer.outcome = state ? JobOutcome::Cancelled : JobOutcome::NoSuchJob;
    if (!state) {
        log("job-cancelled", id, { { "state", "unknown" } });
        record(JobCancelled { id, at.wall });
    }
    if (!state || isFinal(*state))
        return answer;
    log("job-cancelled", id, { { "state", nameOf(*state) } });
    if (const auto* job = m_jobs.find(id)) {
        m_output.finished.push_back(summaryOf(*job, at.wall));
        m_output.finished.back().state = JobState::Cancelled;
    }
    record(JobCancelled { id, at.wall });
    stopJob(id);
    return answer;
}

milliseconds PoolCore::retryAfterCancel(Common::WallTime cancelledAt, Moment at) const
{
    return std::clamp(std::chrono::duration_cast<milliseconds>(cancelledAt + m_limits.retention - at.wall), milliseconds(0), m_limits.retention);
}

JobAnswer PoolCore::show(const JobId& id) const
{
    JobAnswer answer;
    const auto* state = m_jobs.stateOf(id);
    answer.outcome = state ? JobOutcome::Shown : JobOutcome::NoSuchJob;
    if (state)
        answer.state = *state;
    return answer;
}

std::uint64_t PoolCore::backlog(const std::string& queue) const
{
    const auto waits = [&queue](const auto& it) { return it.second.accepted.queue == queue && !it.second.hasStarted && it.second.spec().repeatCount == 0; };
    return static_cast<std::uint64_t>(std::ranges::count_if(m_jobs.active(), waits));
}

PoolOutput PoolCore::takeOutput()
{
    return std::exchange(m_output, {});
}

std::vector<JobRecord> PoolCore::snapshot(Moment at)
{
    m_jobs.forgetFinished(at.wall - m_limits.retention);
    recordEvidence();
    return m_jobs.snapshot();
}

const Worker* PoolCore::findWorker(const std::string& id) const
{
    const auto it = m_workers.find(id);
    return it == m_workers.end() ? nullptr : &it->second;
}

void PoolCore::record(JobRecord record)
{
    m_jobs.apply(record);
    m_output.records.push_back(std::move(record));
}

void PoolCore::recordEnd(RunEnded end)
{
    const auto id = end.task.job;
    const auto* job = m_jobs.find(id);
    auto summary = job ? summaryOf(*job, end.at) : JobSummary();
    if (job)
        noteSourceEnded(*job, end.task, end.how);
    record(std::move(end));
    const auto* state = m_jobs.stateOf(id);
    if (!state || !isFinal(*state))
        return;
    if (job) {
        summary.state = *state;
        logFinished(id, summary);
        m_output.finished.push_back(std::move(summary));
    }
    m_advice.removeJob(id);
    if (*state == JobState::Failed)
        stopJob(id);
}

void PoolCore::noteStarted(const JobId& id)
{
    if (auto* job = m_jobs.find(id))
        job->hasStarted = true;
}

void PoolCore::logFinished(const JobId& id, const JobSummary& summary)
{
    const auto firstStart = summary.untilFirstStart ? std::to_string(summary.untilFirstStart->count()) : "unknown";
    log("job-finished", id, { { "queue", summary.queue }, { "state", nameOf(summary.state) }, { "outcome", summary.outcome() }, { "tookMs", std::to_string(summary.duration.count()) }, { "objectiveMs", std::to_string(summary.objective.count()) }, { "firstStartMs", firstStart }, { "runs", std::to_string(summary.runs) } });
}

void PoolCore::log(const char* event, const std::string& id, std::vector<std::pair<const char*, std::string>> fields)
{
    m_output.log.push_back({ event, id, std::move(fields) });
}

} // namespace Jobs
