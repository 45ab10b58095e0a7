/// Scheduling: placement of waiting tasks, and eviction of lasting ones.

#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Jobs {

namespace {

    constexpr std::size_t placementsPerDecision = 512; ///< More wait for the next decision, whatever callers ask for.
    constexpr std::size_t workersPerAdvice = 12; ///< A call takes a fixed time, and some more for each worker named.

} // namespace

void PoolCore::decide(Moment at)
{
    m_placementsLeft = placementsPerDecision;
    settleCrashes(at);
    updateBoundedSources(at);
    endUncertainRuns(at);
    beginDueOccurrences(at);
    evictLastingTasks(at);
    std::vector<Candidate> candidates;
    for (auto& [id, worker] : m_workers) {
        if (worker.isSchedulable(at.now))
            candidates.push_back(candidateOf(worker));
    }
    m_crashes.forget(at.now);
    const auto spacing = m_startSpacing.at(at.now);
    const auto crashes = m_crashes.byMachine();
    for (auto& it : candidates) {
        if (const auto found = crashes.find(it.worker->entry.machine); found != crashes.end()) {
            it.crashes = found->second.count;
            it.crashesByItself = found->second.isByItself;
        }
        it.isSpaced = spacing > milliseconds(0) && it.worker->hasStartWithin(spacing, at.now);
    }
    if (candidates.empty()) {
        tryEjectedWorkers(candidates, at);
        sampleAdmission({}, at.now);
        return;
    }
    quarantineWorkers(candidates, at);
    openForConfined(candidates, at.now);
    placeSuspects(candidates, at);
    releaseUnusedWorkers(candidates, at.now);
    const auto waiting = waitingSteps(at);
    // Once a step hasn't fitted anywhere, steps that need as much or more won't either, nor the same step of the job's other occurrences.
    std::vector<Resources> unplaceable;
    std::set<std::pair<const Job*, unsigned>> unplaceableSteps;
    std::set<TaskSource> waitingForRoom;
    for (const auto& it : waiting) {
        if (m_placementsLeft == 0)
            return; // The next decision goes on.
        const auto& spec = it.job->spec().steps[it.step];
        const auto need = reservedBy(spec);
        const bool mayFit = hasSuspects(it) || std::ranges::none_of(unplaceable, [&need](const auto& failed) { return failed.fitsInto(need); });
        if (mayFit && unplaceableSteps.contains({ it.job, it.step }) && !hasSuspects(it))
            continue;
        const auto fit = mayFit ? placeStep(it, candidates, at) : StepFit::LacksRoom;
        if (fit == StepFit::LacksOther && isSameForAllOccurrences(*it.job, spec))
            unplaceableSteps.insert({ it.job, it.step });
        if (fit != StepFit::LacksRoom)
            continue;
        if (mayFit)
            unplaceable.push_back(need);
        if (!m_boundedSources.empty() && !spec.isLasting)
            waitingForRoom.insert(sourceOf(*it.job));
    }
    if (lendIdleWorkers(candidates, unplaceable, at))
        placeSuspects(candidates, at);
    tryEjectedWorkers(candidates, at);
    sampleAdmission(waitingForRoom, at.now);
}

void PoolCore::placeSuspects(std::vector<Candidate>& candidates, Moment at)
{
    if (std::ranges::none_of(candidates, [](const auto& it) { return it.takesSuspects || it.takesStrongSuspects || it.takesGroup || it.takesConfined; }))
        return;
    for (const auto& key : waitingSuspects(at.now)) {
        auto& job = *m_jobs.find(key.job);
        const auto& placed = job.stepOf(key)->placedByWorker;
        const auto& task = *m_jobs.findTask(key);
        auto request = requestFor({ {}, &job, key.occurrence, key.step }, placed, at);
        request.suspicion = suspicionOf(factsOf(key, task, at.now));
        request.needsReliable = task.crashTally.unexplained > 0;
        if (auto* place = choosePlace(candidates, request))
            placeTask(job, key, task.lastRun + 1, *place, at);
    }
}

bool PoolCore::hasSuspects(const WaitingStep& it) const
{
    if (m_suspects.empty())
        return false;
    const TaskKey first { it.job->accepted.job, it.occurrence, it.step, 0 };
    const auto& step = *it.job->stepOf(first);
    for (auto key = m_suspects.lower_bound(first); key != m_suspects.end(); ++key) {
        if (key->job != first.job || key->occurrence != first.occurrence || key->step != first.step)
            break;
        if (const auto* task = step.find(key->index); task && task->crashTally.suspected > 0)
            return true;
    }
    return false;
}

std::optional<Instant> PoolCore::nextDecision(Moment at) const
{
    std::optional<Instant> next;
    const auto consider = [&next](Instant it) { next = next ? std::min(*next, it) : it; };
    bool isWaiting = false;
    if (m_placementsLeft == 0)
        consider(at.now);
    const auto jobsDue = countJobsDue(at.wall);
    for (const auto& [id, job] : m_jobs.active()) {
        if (mayBeginOccurrence(job, jobsDue, at.wall))
            consider(at.now);
        else if (job.occurrencesBegun < job.occurrenceCount() && job.dueAt(job.occurrencesBegun) > at.wall)
            consider(at.now + std::max(milliseconds(1), job.dueAt(job.occurrencesBegun) - at.wall));
        for (const auto& [number, occurrence] : job.occurrences)
            isWaiting = isWaiting || std::ranges::any_of(occurrence.steps, [](const auto& it) { return it.waitingCount() > 0; });
    }
    const auto spacing = m_startSpacing.at(at.now);
    for (const auto& [id, worker] : m_workers) {
        for (const auto it : { worker.avoidUntil, worker.ejectedUntil, trialFrom(worker, true), trialFrom(worker, false) }) {
            if (isWaiting && it > at.now)
                consider(it);
        }
        if (isWaiting && spacing > milliseconds(0) && worker.hasStartWithin(spacing, at.now))
            consider(at.now + spacing / 2);
    }
    for (const auto& id : m_uncertainWorkers) {
        const auto* worker = findWorker(id);
        for (const auto& [key, run] : worker ? worker->runs : std::map<TaskKey, WorkerRun>()) {
            if (run.isUncertain())
                consider(run.uncertainUntil);
        }
    }
    for (const auto& [key, it] : m_startNotBefore)
        consider(it);
    if (const auto settlement = m_bursts.nextSettlement())
        consider(*settlement);
    if (!m_cordoned.empty() && m_previousStopsEndAt > at.now)
        consider(m_previousStopsEndAt);
    return next;
}

bool PoolCore::isServing(const TaskKey& key, const Task& task) const
{
    if (task.state != Task::State::Placed)
        return false;
    const auto* worker = findWorker(task.worker);
    if (!worker || !worker->isResponsive)
        return false; // An unresponsive worker is most likely lost.
    const auto it = worker->runs.find(key);
    return it != worker->runs.end() && it->second.phase == WorkerRun::Phase::Confirmed && it->second.percent >= 100;
}

/// True when stopping the task leaves no more of the step's tasks unavailable than allowed. A task that is still starting
/// counts as well, since it may be serving by the time the stop order reaches it. Stop orders aren't in the journal, so a new
/// owner waits until those of the previous owner have taken effect.
bool PoolCore::mayInterrupt(const TaskKey& key, Instant now) const
{
    if (now < m_previousStopsEndAt)
        return false;
    const auto* job = m_jobs.find(key.job);
    const auto* step = job ? job->stepOf(key) : nullptr;
    if (!step)
        return true;
    const auto limit = job->spec().steps[key.step].maximumUnavailable;
    auto unavailable = step->taskCount - step->untouchedFrom;
    TaskKey other = key;
    for (const auto& [index, task] : step->tasks) {
        if (unavailable >= limit)
            return false;
        other.index = index;
        unavailable += index == key.index || isServing(other, task) ? 0 : 1;
    }
    return unavailable < limit;
}

/// Stops lasting tasks on workers that are to be emptied, if another worker has room for them and their steps allow another task
/// to be unavailable. The latter isn't required on draining workers.
void PoolCore::evictLastingTasks(Moment at)
{
    // A wave may cordon a third of the workers at once; their rooms don't change here.
    std::optional<std::vector<Resources>> rooms;
    const auto hasRoomFor = [&](const Resources& need) {
        if (!rooms) {
            rooms.emplace();
            for (const auto& [id, worker] : m_workers) {
                if (worker.isSchedulable(at.now))
                    rooms->push_back(worker.room());
            }
        }
        return std::ranges::any_of(*rooms, [&need](const auto& it) { return need.fitsInto(it); });
    };
    for (auto& [id, worker] : m_workers) {
        const bool isDraining = worker.entry.state == WorkerEntry::State::Draining;
        if (!worker.isResponsive || (!worker.isCordoned && !isDraining))
            continue;
        for (auto& [key, run] : worker.runs) {
            if (!run.isLasting || run.phase != WorkerRun::Phase::Confirmed)
                continue;
            if (!(isDraining || mayInterrupt(key, at.now)) || !hasRoomFor(run.reserved))
                continue;
            log("run-evicted", key.job, { { "task", std::to_string(key.step) + "." + std::to_string(key.index) }, { "worker", id }, { "reason", isDraining ? "draining" : "cordoned" } });
            orderStop(worker, key, run, true);
        }
    }
}

std::vector<PoolCore::WaitingStep> PoolCore::waitingSteps(Moment at)
{
    const auto perTurn = tasksPerTurn();
    std::vector<WaitingStep> waiting;
    forEachWaitingStep(m_jobs, [&](Job& job, unsigned occurrence, std::size_t position, unsigned step, unsigned) {
        waiting.push_back({ queueKeyOf(job, occurrence, step, at.wall, position, perTurn), &job, occurrence, step });
    });
    std::ranges::sort(waiting, [](const auto& left, const auto& right) {
        if (left.key != right.key)
            return left.key < right.key;
        return std::tie(left.job->accepted.job, left.occurrence, left.step) < std::tie(right.job->accepted.job, right.occurrence, right.step);
    });
    return waiting;
}

milliseconds PoolCore::rackWait(const Job& job, unsigned occurrence, unsigned step, Moment at) const
{
    const auto& spec = job.spec().steps[step];
    const auto isOnDataRack = [&spec](const auto& entry) { return entry.second.isListed && entry.second.entry.rack == spec.dataRack; };
    if (spec.dataRack.empty() || std::ranges::none_of(m_workers, isOnDataRack))
        return milliseconds(0);
    // Waiting for the data rack is worthwhile as long as it takes less than the extra run time on another rack.
    constexpr int permille = 1000;
    const auto extra = spec.estimate * static_cast<int>(m_limits.remoteFactorPermille - permille) / permille;
    return std::max(milliseconds(0), extra - (at.wall - job.dueAt(occurrence)) + milliseconds(1));
}

bool PoolCore::isAdvised(const WaitingStep& it, const Worker& worker, Instant now) const
{
    return !needsAdvice(*it.job) || m_advice.ticketOf({ it.job->accepted.job, it.occurrence, it.step, 0 }, worker.entry.id, now);
}

void PoolCore::requestAdvice(const WaitingStep& it, const std::vector<Candidate>& candidates, Moment at)
{
    const TaskKey key { it.job->accepted.job, it.occurrence, it.step, 0 };
    if (!needsAdvice(*it.job) || m_advice.isRequested(key))
        return;
    AdviceRequest order { key, {} };
    for (const auto& candidate : candidates) {
        const auto& worker = candidate.worker->entry.id;
        if (order.workers.size() < workersPerAdvice && m_advice.needsRequest(key, worker, at.now))
            order.workers.push_back(worker);
    }
    if (order.workers.empty())
        return;
    m_advice.markRequested(key);
    m_output.orders.emplace_back(std::move(order));
}

void PoolCore::onAdvice(const AdviceRequest& order, const std::vector<AdvisedWorker>& allowed, milliseconds validity, Moment at)
{
    const bool isAnswered = validity > milliseconds(0);
    log("advice-received", order.step.job, { { "step", std::to_string(order.step.step) }, { "requested", std::to_string(order.workers.size()) }, { "allowed", std::to_string(allowed.size()) } });
    m_advice.add(order.step, isAnswered ? order.workers : std::vector<std::string>(), allowed, at.now + validity);
}

PlacementRequest PoolCore::requestFor(const WaitingStep& it, const std::map<std::string, unsigned>& placed, Moment at) const
{
    PlacementRequest request { &it.job->spec().steps[it.step], &placed };
    request.mayRunRemote = rackWait(*it.job, it.occurrence, it.step, at) == milliseconds(0);
    if (needsAdvice(*it.job))
        request.isAllowed = [this, it, at](const Worker& worker) { return isAdvised(it, worker, at.now); };
    return request;
}

PoolCore::StepFit PoolCore::placeStep(const WaitingStep& it, std::vector<Candidate>& candidates, Moment at)
{
    auto& job = *it.job;
    const auto& spec = job.spec().steps[it.step];
    TaskKey key { job.accepted.job, it.occurrence, it.step, 0 };
    const auto& step = *job.stepOf(key);
    auto request = requestFor(it, step.placedByWorker, at);
    if (spec.sameRack && !step.placedByWorker.empty()) {
        if (const auto* worker = findWorker(step.placedByWorker.begin()->first))
            request.preferredRack = worker->entry.rack;
    }
    if (spec.isGang) {
        placeGang(it, candidates, request, at);
        return StepFit::Placed;
    }
    bool isFull = false;
    const auto place = [&](unsigned index, const Task& task) {
        key.index = index;
        request.suspicion = placementSuspicionOf(factsOf(key, task, at.now));
        request.needsReliable = task.crashTally.unexplained > 0;
        const bool isSuspect = request.suspicion != Suspicion::None;
        if (isHeld(key) || (isFull && !isSuspect))
            return;
        if (auto* found = choosePlace(candidates, request)) {
            placeTask(job, key, task.lastRun + 1, *found, at);
            return;
        }
        requestAdvice(it, candidates, at);
        isFull = isFull || !isSuspect;
    };
    const auto placeUntouched = [&] {
        while (!isFull && m_placementsLeft > 0 && step.untouchedFrom < step.taskCount)
            place(step.untouchedFrom, {});
    };
    if (spec.isLasting)
        placeUntouched();
    for (const auto index : step.returnedTasks(spec.isLasting)) {
        if ((isFull && m_suspects.empty()) || m_placementsLeft == 0)
            break;
        place(index, *step.find(index));
    }
    placeUntouched();
    if (!isFull)
        return StepFit::Placed;
    return request.needsRoomOnly() ? StepFit::LacksRoom : StepFit::LacksOther;
}

void PoolCore::placeGang(const WaitingStep& it, std::vector<Candidate>& candidates, const PlacementRequest& request, Moment at)
{
    auto& job = *it.job;
    TaskKey key { job.accepted.job, it.occurrence, it.step, 0 };
    const auto& step = *job.stepOf(key);
    const auto count = step.taskCount;
    if (step.waitingCount() != count)
        return;
    if (!mayHoldGang(candidates, request, count)) {
        requestAdvice(it, candidates, at);
        return;
    }
    for (key.index = 0; key.index < count; ++key.index) {
        if (isHeld(key))
            return;
    }
    const auto places = chooseGangPlaces(candidates, request, count);
    if (places.empty()) {
        requestAdvice(it, candidates, at);
        return;
    }
    RunNumber run = 1;
    // All members resume from the same checkpoint, or from none.
    std::string checkpoint;
    for (const auto& [index, task] : step.tasks) {
        run = std::max(run, task.lastRun + 1);
        checkpoint = std::max(checkpoint, task.checkpoint);
    }
    for (key.index = 0; key.index < count; ++key.index) {
        m_jobs.reachTask(key)->checkpoint = checkpoint;
        placeTask(job, key, run, *places[key.index], at);
    }
}

void PoolCore::placeTask(Job& job, const TaskKey& key, RunNumber run, Candidate& place, Moment at)
{
    const auto& spec = job.spec().steps[key.step];
    auto& worker = *place.worker;
    m_placementsLeft -= m_placementsLeft > 0 ? 1 : 0;
    if (job.occurrences.at(key.occurrence).tasksBegun == 0)
        job.latestTurnAt = at.wall;
    const auto& task = *m_jobs.reachTask(key);
    const auto& rule = ruleOf(startSuspicionOf(factsOf(key, task, at.now), place.openings(), worker.runs.empty()));
    const auto checkpoint = task.checkpoint;
    place.room -= reservedBy(spec);
    auto& placed = worker.runs[key] = makeRun(spec, run, at.now);
    if (rule.state != Suspicion::None) {
        const bool isDoubtful = rule.state == Suspicion::Doubtful;
        placed.isSuspect = true;
        placed.isConfined = rule.state == Suspicion::Confined;
        placed.mustBeAlone = rule.startsAlone;
        placed.isTriedInGroup = isDoubtful && m_doubtfulGroupSize > 1;
        place.takesSuspects = false;
        place.takesStrongSuspects = false;
        place.takesConfined = false;
        place.takesGroup = rule.state == Suspicion::Grouped;
        const auto roomForGroup = place.roomForDoubtful > 0 ? place.roomForDoubtful : m_doubtfulGroupSize;
        place.roomForDoubtful = isDoubtful ? roomForGroup - 1 : 0;
    }
    place.isSpaced = !rule.hasCompany && m_startSpacing.at(at.now) > milliseconds(0);
    if (job.state == JobState::Queued) {
        job.firstPlacedAt = at.wall;
        m_output.firstStarts.push_back(at.wall - job.dueAt(key.occurrence));
    }
    record(RunStarted { key, run, worker.entry.id });
    const auto ticket = m_advice.ticketOf(key, worker.entry.id, at.now).value_or("");
    log("run-placed", key.job, { { "task", std::to_string(key.step) + "." + std::to_string(key.index) }, { "run", std::to_string(run) }, { "worker", worker.entry.id }, { "freeMilliCores", std::to_string(place.room.milliCores) } });
    m_output.orders.emplace_back(StartRun { key, run, worker.entry.id, job.spec().payload, checkpoint, ticket });
}

} // namespace Jobs
