/// Handling of workers that crash: which tasks are suspected, and where they may start.

#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <iterator>
#include <string_view>
#include <tuple>
#include <utility>

namespace Jobs {

namespace {

    /// Lets the workers take suspects. Where starts aren't spaced, nothing else may have started there a moment ago.
    void openForSuspects(const std::vector<Candidate*>& workers, bool isSpacing)
    {
        for (auto* it : workers) {
            it->takesStrongSuspects = !it->worker->hasUnprovenRuns();
            it->takesSuspects = isSpacing || it->takesStrongSuspects;
        }
    }

    /// Candidates that may be set aside, those that the other tasks miss least first.
    std::vector<Candidate*> byQuarantineCost(std::vector<Candidate>& candidates, const std::map<std::string, Instant>& previous)
    {
        using Cost = std::tuple<std::size_t, bool, bool, bool, std::size_t, std::string_view>;
        std::vector<std::pair<Cost, Candidate*>> costs;
        for (auto& it : candidates) {
            const auto& worker = *it.worker;
            if (it.isQuarantined)
                continue;
            it.hasUnprovenRuns = worker.hasUnprovenRuns();
            costs.emplace_back(Cost(it.crashes, !previous.contains(worker.entry.id), it.hasUnprovenRuns, it.hasLastingTasks, worker.runs.size(), worker.entry.id), &it);
        }
        std::ranges::sort(costs, {}, &std::pair<Cost, Candidate*>::first);
        std::vector<Candidate*> result;
        result.reserve(costs.size());
        std::ranges::transform(costs, std::back_inserter(result), &std::pair<Cost, Candidate*>::second);
        return result;
    }

    /// The worker to be set aside for a suspect: one on which it may start at once, if there is one. The others have to be emptied first,
    /// which are preferred to workers that crash by themselves as long as the suspect hasn't waited for long.
    std::vector<Candidate*>::iterator findForSuspect(std::vector<Candidate*>& available, const PlacementRequest& request, bool hasWaited)
    {
        const auto need = reservedBy(*request.step);
        const auto mayStart = [&](const auto* it) { return !it->hasUnprovenRuns && (hasWaited || !it->crashesByItself) && (it->worker->runs.empty() || !ruleOf(request.suspicion).needsEmptyWorker) && need.fitsInto(it->room) && couldRunOn(*it->worker, request); };
        const auto found = std::ranges::find_if(available, mayStart);
        return found != available.end() ? found : std::ranges::find_if(available, [&request](const auto* it) { return couldRunOn(*it->worker, request); });
    }

    CrashedTask crashedTaskOf(const CrashWitness& witness, const CrashVerdict& verdict)
    {
        CrashedTask crashed { witness.task };
        crashed.unexplained = verdict.tally.unexplained - witness.tally.unexplained;
        crashed.countsToConvict = verdict.tally.sinceProven > witness.tally.sinceProven && convicts(witness.start);
        crashed.isSuspect = verdict.isSuspect;
        crashed.isExplanation = verdict.isExplanation;
        crashed.expected = witness.expected;
        crashed.age = witness.age;
        return crashed;
    }

} // namespace

LostRun PoolCore::lostRunOf(const TaskKey& key, const WorkerRun& run, StartEvidence evidence, Instant aliveUntil, Instant failingSince) const
{
    const bool hasStarted = run.startedBy != Instant();
    LostRun lost { key, run.run };
    lost.isProven = run.isProven || (hasStarted && aliveUntil - run.startedBy >= provenAfter);
    lost.isDoubtful = !hasStarted || run.isTriedInGroup || failingSince == Instant() || failingSince - run.startedBy >= provenAfter;
    lost.isUnconfirmed = !hasStarted && !run.isInherited && failingSince != Instant() && failingSince - run.mayHaveStartedAt() < provenAfter;
    lost.start = evidence;
    if (!lost.isDoubtful)
        lost.age = std::max(milliseconds(0), std::chrono::duration_cast<milliseconds>(failingSince - run.startedBy));
    return lost;
}

SuspectFacts PoolCore::factsOf(const TaskKey& key, const Task& task, Instant now) const
{
    SuspectFacts facts { task.crashTally };
    facts.isConfined = m_confined.contains(key);
    if (facts.tally.suspected == 0 && !facts.isConfined)
        return facts;
    facts.isDoubtful = m_doubtfulSuspects.contains(key);
    facts.isLikely = m_likelySuspects.contains(key);
    facts.isLasting = isLasting(key);
    facts.isSpaced = m_startSpacing.window(now) > milliseconds(0);
    if (const auto it = m_suspectsWaitingSince.find(key); it != m_suspectsWaitingSince.end())
        facts.waited = now - it->second;
    return facts;
}

/// True when runs of the job were or are being stopped, as it was cancelled or has failed.
bool PoolCore::wasStopped(const JobId& id) const
{
    const auto* state = m_jobs.stateOf(id);
    return state && (*state == JobState::Cancelled || *state == JobState::Failed);
}

std::size_t PoolCore::otherMachines() const
{
    std::set<std::string_view> machines;
    for (const auto& [id, worker] : m_workers)
        machines.insert(worker.entry.machine);
    return machines.empty() ? 0 : machines.size() - 1;
}

std::vector<CrashWitness> PoolCore::witnessesOf(const std::string& machine, const std::vector<LostRun>& lost)
{
    std::vector<CrashWitness> witnesses;
    for (const auto& it : lost) {
        const auto* task = m_jobs.findTask(it.task);
        CrashWitness witness { it.task, {}, it.isDoubtful, it.isProven };
        witness.isUnconfirmed = it.isUnconfirmed;
        witness.age = it.age;
        witness.start = it.start;
        if (task) {
            const auto& spec = m_jobs.find(it.task.job)->spec().steps[it.task.step];
            witness.tally = task->crashTally;
            witness.isDoubtful = it.isDoubtful || m_crashes.isWitness(machine, it.task);
            witness.isProven = it.isProven || isProvenElsewhere(it, *task);
            witness.isGang = spec.isGang;
            witness.wasDoubtful = m_doubtfulSuspects.contains(it.task);
            witness.isLikely = m_likelySuspects.contains(it.task);
            witness.isLasting = spec.isLasting;
            witness.isConfined = m_confined.contains(it.task);
            witness.expected = m_crashes.expectedOf(it.task, witness.tally.unexplained);
        } else if (!task && wasStopped(it.task.job)) {
            witness.wasStopped = true;
        } else {
            continue;
        }
        witnesses.push_back(std::move(witness));
    }
    return witnesses;
}

void PoolCore::onWorkerCrashed(const Worker& worker, const std::vector<LostRun>& lost, Instant failingSince, Moment at)
{
    const bool hasNoEvidence = lost.empty() && worker.pollAnswers == 0; // It may have crashed before this owner knew it.
    if (hasNoEvidence)
        return;
    const auto& machine = worker.entry.machine;
    const auto witnesses = witnessesOf(machine, lost);
    const bool isByItself = m_crashes.crashedByItself(machine);
    const auto window = m_startSpacing.window(at.now);
    const auto verdicts = judgeCrash(witnesses, isByItself, window);
    CrashHistory::Witnesses growth;
    for (std::size_t n = 0; n < witnesses.size(); ++n) {
        const auto& [before, after] = std::tie(witnesses[n].tally, verdicts[n].tally);
        if (!witnesses[n].wasStopped)
            growth[witnesses[n].task] = { after.unexplained - before.unexplained, verdicts[n].isSuspect ? 1U : 0U, 0, convicts(witnesses[n].start) ? 0U : 1U };
    }
    const bool isExcused = std::ranges::any_of(verdicts, &CrashVerdict::isExcuse);
    const auto suspects = std::ranges::count_if(verdicts, &CrashVerdict::isSuspect);
    const auto youngest = std::ranges::min_element(witnesses, {}, [](const auto& it) { return it.isProven || it.isDoubtful ? milliseconds::max() : it.age; });
    const bool isAgeKnown = youngest != witnesses.end() && !youngest->isProven && !youngest->isDoubtful;
    log("worker-crashed", worker.entry.id, { { "youngestMs", isAgeKnown ? std::to_string(youngest->age.count()) : "unknown" }, { "windowMs", std::to_string(window.count()) }, { "machine", machine }, { "runs", std::to_string(witnesses.size()) }, { "suspects", std::to_string(suspects) }, { "crashedByItself", isByItself ? "yes" : "no" }, { "excused", isExcused ? "yes" : "no" } });
    const bool isTest = std::ranges::any_of(witnesses, [](const auto& it) { return !it.isProven && it.tally.suspected > 0; });
    const auto number = m_crashes.add(machine, std::move(growth), isTest, at.now, isExcused, otherMachines());
    const auto isLikelyBy = [&](const auto& it) { return it.isExplanation && window > milliseconds(0) && !isByItself; };
    if (suspects > 0)
        m_startSpacing.onCrash(at.now);
    for (std::size_t n = 0; n < witnesses.size(); ++n) {
        const auto& key = witnesses[n].task;
        const auto& tally = verdicts[n].tally;
        if (witnesses[n].wasStopped)
            continue;
        recordTally(key, tally);
        if (tally.suspected == 0)
            continue;
        m_suspects.insert(key);
        gradeSuspicion(key, witnesses[n].isDoubtful && witnesses[n].tally.suspected == 0, isLikelyBy(verdicts[n]));
        log("task-suspected", key.job, { { "task", nameOfTask(key) }, { "worker", worker.entry.id }, { "sinceProven", std::to_string(tally.sinceProven) }, { "unexplained", std::to_string(tally.unexplained) }, { "suspected", std::to_string(tally.suspected) }, { "unconfirmed", std::to_string(tally.unconfirmed) }, { "start", nameOf(witnesses[n].start) } });
    }
    WorkerCrash crash { number, worker.entry.id, suspects > 0 || isExcused, {} };
    for (std::size_t n = 0; n < witnesses.size(); ++n) {
        if (witnesses[n].wasStopped)
            continue;
        crash.tasks.push_back(crashedTaskOf(witnesses[n], verdicts[n]));
        crash.tasks.back().isFound = verdicts[n].isGuilty || verdicts[n].isConfined || m_confined.contains(witnesses[n].task);
        crash.tasks.back().isNewlyLikely = isLikelyBy(verdicts[n]) && !witnesses[n].isLikely;
    }
    collectCrash(std::move(crash), failingSince == Instant() ? at.now : failingSince, at.now);
}

/// A worker that lapsed may be known to have crashed only after the task's next run has outlived its start.
bool PoolCore::isProvenElsewhere(const LostRun& lost, const Task& task) const
{
    const auto* worker = task.lastRun > lost.run ? findWorker(task.worker) : nullptr;
    const auto run = worker ? worker->runs.find(lost.task) : std::map<TaskKey, WorkerRun>::const_iterator();
    return worker && run != worker->runs.end() && run->second.isProven;
}

bool PoolCore::hasSuccessor(const Worker& worker) const
{
    const auto succeeds = [&worker](const auto& it) { return isSuccessor(it.second.entry, worker.entry); };
    return std::ranges::any_of(m_workers, succeeds);
}

void PoolCore::onMachineRestarted(const WorkerEntry& newWorker, Moment at)
{
    for (auto& [id, worker] : m_workers) {
        if (!isSuccessor(newWorker, worker.entry))
            continue;
        releaseLateStarts(worker);
        if (worker.lapsedRuns.empty())
            continue;
        const auto lost = std::exchange(worker.lapsedRuns, {});
        onWorkerCrashed(worker, lost, std::exchange(worker.lapsedSince, {}), at);
    }
}

void PoolCore::updateProof(const TaskKey& key, WorkerRun& run, Moment at)
{
    if (run.startedBy == Instant())
        run.startedBy = at.now;
    const auto age = at.now - run.startedBy;
    if (age < provenAfter)
        return;
    if (!run.isProven) {
        run.isProven = true;
        noteOutlived(key, at);
        clearSuspicion(key, at);
    }
    if (age < reliableAfter)
        return;
    run.isConfined = false;
    if (m_confined.erase(key) > 0)
        record(TaskConfined { key, false });
    if (const auto* task = m_jobs.findTask(key); task && task->crashTally.unexplained > 0)
        recordTally(key, {});
}

/// The task has outlived a start. Crashes in which it was the last suspect count against the tasks that ran beside it.
void PoolCore::clearSuspicion(const TaskKey& key, Moment at)
{
    const auto* task = m_jobs.findTask(key);
    if (!task || task->crashTally.sinceProven == 0)
        return;
    if (!m_confined.contains(key))
        m_suspects.erase(key);
    log("task-cleared", key.job, { { "task", nameOfTask(key) }, { "unexplained", std::to_string(task->crashTally.unexplained) } });
    recordTally(key, { task->crashTally.unexplained, 0, 0 });
    for (const auto& bystander : m_crashes.acquit(key)) {
        const auto* other = m_jobs.findTask(bystander);
        if (!other)
            continue;
        auto tally = other->crashTally;
        ++tally.unexplained;
        recordTally(bystander, tally);
        if (isTooOften(tally, m_crashes.expectedOf(bystander, tally.unexplained)))
            convict(bystander, tally, at);
    }
}

/// Suspects that wait for a worker, the longest waiting first. Gangs aren't among them: their members may need more workers than are set aside.
std::vector<TaskKey> PoolCore::waitingSuspects(Instant now)
{
    std::vector<TaskKey> waiting;
    const auto before = std::exchange(m_suspectsWaitingSince, {});
    std::erase_if(m_suspects, [&](const auto& key) {
        const auto* task = m_jobs.findTask(key);
        if (!task) {
            m_confined.erase(key);
            return true;
        }
        if (task->crashTally.suspected == 0 && !m_confined.contains(key))
            return true;
        if (task->state == Task::State::Waiting && !isHeld(key) && !m_jobs.find(key.job)->spec().steps[key.step].isGang)
            waiting.push_back(key);
        return false;
    });
    forgetGrades();
    for (const auto& key : waiting) {
        const auto it = before.find(key);
        m_suspectsWaitingSince[key] = it == before.end() ? now : it->second;
    }
    std::ranges::stable_sort(waiting, {}, [this](const auto& key) { return m_suspectsWaitingSince.at(key); });
    return waiting;
}

/// Sets workers aside for suspects, and keeps others away from suspects that haven't outlived their starts. A worker takes its
/// first suspect once all its runs have outlived theirs, so that a crash leaves no doubt.
void PoolCore::quarantineWorkers(std::vector<Candidate>& candidates, Moment at)
{
    const auto suspects = waitingSuspects(at.now);
    auto previous = std::exchange(m_quarantined, {});
    if (m_suspects.empty())
        return;
    const bool isSpacing = m_startSpacing.window(at.now) > milliseconds(0);
    for (auto& it : candidates) {
        it.isQuarantined = it.worker->isTestingSuspect() || it.worker->hasConfinedRun();
        it.takesSuspects = it.isQuarantined && isSpacing && !it.worker->isTestingAlone() && !it.worker->hasConfinedRun();
    }
    const auto crashed = m_crashes.countOfTests(at.now - workerReturnTime);
    const auto testing = static_cast<std::size_t>(std::ranges::count_if(candidates, [](const auto& it) { return it.worker->isTestingSuspect(); }));
    QuarantineUse use { candidates.size() + crashed, crashed + testing, 0, testing > 0 };
    use.isTestingAlone = std::ranges::any_of(candidates, [](const auto& it) { return it.worker->isTestingAlone(); });
    use.isOverdue = !suspects.empty() && at.now - m_suspectsWaitingSince.at(suspects.front()) > overdueWait;
    std::vector<Candidate*> chosen;
    std::vector<Candidate*> groups;
    const auto doubtful = std::ranges::count_if(suspects, [&](const auto& key) { return suspicionOf(factsOf(key, *m_jobs.findTask(key), at.now)) == Suspicion::Doubtful; });
    m_doubtfulGroupSize = doubtfulGroupSize(static_cast<std::size_t>(doubtful));
    const Candidate* doubtfulGroup = nullptr;
    std::size_t doubtfulRoom = 0;
    auto available = byQuarantineCost(candidates, previous);
    for (const auto& key : suspects) {
        const auto facts = factsOf(key, *m_jobs.findTask(key), at.now);
        const auto suspicion = suspicionOf(facts);
        const bool joinsGroup = suspicion == Suspicion::Grouped;
        use.chosen = chosen.size() + groups.size();
        if (!maySetAside(use, suspicion))
            continue;
        const WaitingStep step { {}, m_jobs.find(key.job), key.occurrence, key.step };
        const bool isLimited = step.job->spec().steps[key.step].maximumPerWorker > 0;
        const auto placed = isLimited ? step.job->stepOf(key)->placedByWorker : std::map<std::string, unsigned>();
        auto request = requestFor(step, placed, at);
        request.suspicion = suspicion;
        if (joinsGroup && std::ranges::any_of(groups, [&request](const auto* it) { return couldRunOn(*it->worker, request); }))
            continue;
        const bool isInDoubt = suspicion == Suspicion::Doubtful;
        if (isInDoubt && doubtfulRoom > 0 && couldRunOn(*doubtfulGroup->worker, request)) {
            --doubtfulRoom;
            continue;
        }
        const auto best = findForSuspect(available, request, facts.hasWaitedTooLong());
        if (best == available.end())
            continue;
        setAside(**best, previous, at.now);
        (joinsGroup ? groups : chosen).push_back(*best);
        if (isInDoubt) {
            doubtfulGroup = *best;
            doubtfulRoom = m_doubtfulGroupSize - 1;
        }
        available.erase(best);
    }
    openForSuspects(chosen, isSpacing);
    for (auto* it : groups)
        it->takesGroup = !it->worker->hasUnprovenRuns();
}

/// Where no worker has been empty for a confined suspect in time, it starts beside others that cost no more when it crashes.
void PoolCore::openForConfined(std::vector<Candidate>& candidates, Instant now)
{
    const auto isOverdue = [&](const auto& it) { return m_confined.contains(it.first) && now - it.second > maximumConfinedWait; };
    if (std::ranges::none_of(m_suspectsWaitingSince, isOverdue))
        return;
    for (auto& it : candidates)
        it.takesConfined = it.worker->hasOnlyConfinedRuns() && !it.worker->hasUnprovenRuns();
}

void PoolCore::setAside(Candidate& candidate, const std::map<std::string, Instant>& previous, Instant now)
{
    const auto& id = candidate.worker->entry.id;
    const auto since = previous.find(id);
    candidate.isQuarantined = true;
    m_quarantined[id] = since == previous.end() ? now : since->second;
}

/// Lets other tasks start on workers that have been set aside for long and have taken no suspect, for example because those that wait
/// need more room.
void PoolCore::releaseUnusedWorkers(std::vector<Candidate>& candidates, Instant now)
{
    for (auto& it : candidates) {
        const auto found = m_quarantined.find(it.worker->entry.id);
        if (found == m_quarantined.end() || now - found->second <= maximumIsolationWait || it.worker->isTestingSuspect())
            continue;
        m_quarantined.erase(found);
        it.isQuarantined = it.takesSuspects = it.takesStrongSuspects = it.takesGroup = false;
        it.roomForDoubtful = 0;
    }
}

bool PoolCore::lendIdleWorkers(std::vector<Candidate>& candidates, const std::vector<Resources>& needs, Moment at)
{
    if (m_suspects.empty() || waitingSuspects(at.now).empty())
        return false;
    const bool isSpacing = m_startSpacing.window(at.now) > milliseconds(0);
    std::vector<Candidate*> lent;
    for (auto& it : candidates) {
        const bool isNeeded = std::ranges::any_of(needs, [&it](const auto& need) { return couldHold(*it.worker, need); });
        if (!isNeeded && !it.isQuarantined && !it.isSpaced && (isSpacing || !it.worker->hasUnprovenRuns()))
            lent.push_back(&it);
    }
    openForSuspects(lent, isSpacing);
    for (auto* it : lent) {
        it->isQuarantined = true;
        it->takesGroup = it->takesStrongSuspects;
    }
    return !lent.empty();
}

} // namespace Jobs
