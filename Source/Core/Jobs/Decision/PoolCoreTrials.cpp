/// Trials of workers that were ejected because runs there have failed or stalled: tasks that have no other place show whether such a worker is
/// sound again, before its pause is over.

#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <iterator>

namespace Jobs {

namespace {

    constexpr milliseconds longestTrialPause { 6000 }; ///< For tasks with a limited number of attempts. Shorter pauses use these up on a worker that isn't sound.
    constexpr milliseconds soundAfter { 1000 }; ///< Age at which progress of a run that takes longer shows that its worker is sound.

    /// Whether another worker may run a task of the step sooner or later, however busy it is now.
    bool hasOtherPlace(const std::vector<Candidate>& others, const PlacementRequest& request)
    {
        return std::ranges::any_of(others, [&request](const auto& it) { return couldRunOn(*it.worker, request); });
    }

} // namespace

void PoolCore::eject(Worker& worker, milliseconds pause, Instant now)
{
    worker.ejectedUntil = std::max(worker.ejectedUntil, now + pause);
    worker.ejectedAt = now;
}

void PoolCore::endEjection(Worker& worker)
{
    log("worker-sound-again", worker.entry.id, { { "failuresInRow", std::to_string(worker.failuresInRow) } });
    worker.ejectedUntil = {};
    worker.failuresInRow = 0;
    worker.trialRun = 0;
}

Instant PoolCore::trialFrom(const Worker& worker, bool isLasting)
{
    if (worker.ejectedUntil == Instant())
        return {};
    const auto pause = std::chrono::duration_cast<milliseconds>(worker.ejectedUntil - worker.ejectedAt);
    return worker.ejectedAt + std::min(pause, isLasting ? firstEjectionPause : longestTrialPause);
}

void PoolCore::settleTrial(Worker& worker, const Ports::EndedTask& end, Instant now)
{
    if (!worker.isTrial(end.task, end.run))
        return;
    if (end.runEnd == RunEnd::Done)
        endEjection(worker);
    else if (end.runEnd == RunEnd::Failed)
        worker.ejectedAt = now;
    worker.trialRun = 0;
}

void PoolCore::settleTrial(Worker& worker, const Ports::RunningTask& seen, const WorkerRun& run, Instant now)
{
    if (!worker.isTrial(seen.task, seen.run))
        return;
    const bool hasProgress = run.percent > 0 && now - run.startedBy >= soundAfter;
    if (run.isLasting ? run.percent >= 100 : hasProgress)
        endEjection(worker);
}

void PoolCore::tryEjectedWorkers(std::vector<Candidate>& candidates, Moment at)
{
    std::vector<Candidate> ejected;
    for (auto& [id, worker] : m_workers) {
        if (worker.isOpenForTrial(at.now) && trialFrom(worker, true) <= at.now)
            ejected.push_back(candidateOf(worker));
    }
    if (ejected.empty())
        return;
    const auto waiting = waitingSteps(at);
    std::erase_if(ejected, [&](auto& it) { return tryWorker(it, candidates, waiting, at); });
    std::erase_if(ejected, [&](const auto& it) { return trialFrom(*it.worker, false) > at.now; });
    if (!ejected.empty())
        tryGangs(ejected, candidates, waiting, at);
}

bool PoolCore::tryWorker(Candidate& place, std::vector<Candidate>& others, const std::vector<WaitingStep>& waiting, Moment at)
{
    const auto& latest = place.worker->trialTask;
    const auto isLatest = [&latest](const WaitingStep& it) { return it.job->accepted.job == latest.job && it.occurrence == latest.occurrence && it.step == latest.step; };
    // A faulty task would keep the worker out of use if it were tried there again and again.
    for (const bool isRepeated : { false, true }) {
        for (const auto& it : waiting) {
            const auto& spec = it.job->spec().steps[it.step];
            if (isLatest(it) == isRepeated && !spec.isGang && trialFrom(*place.worker, spec.isLasting) <= at.now && tryTask(place, others, it, at))
                return true;
        }
    }
    return false;
}

bool PoolCore::tryTask(Candidate& place, std::vector<Candidate>& others, const WaitingStep& it, Moment at)
{
    const auto& spec = it.job->spec().steps[it.step];
    TaskKey key { it.job->accepted.job, it.occurrence, it.step, 0 };
    const auto& step = *it.job->stepOf(key);
    const auto request = requestFor(it, step.placedByWorker, at);
    std::vector<Candidate> places { place };
    if (step.waitingCount() == 0 || !choosePlace(places, request))
        return false;
    if (spec.isLasting ? choosePlace(others, request) != nullptr : hasOtherPlace(others, request))
        return false;
    auto indices = step.returnedTasks(spec.isLasting);
    if (step.untouchedFrom < step.taskCount)
        indices.push_back(step.untouchedFrom);
    for (const auto index : indices) {
        key.index = index;
        const auto* task = step.find(index);
        const bool isSuspect = task && placementSuspicionOf(factsOf(key, *task, at.now)) != Suspicion::None;
        if (isSuspect || isHeld(key))
            continue;
        placeTask(*it.job, key, task ? task->lastRun + 1 : 1, place, at);
        beginTrial(*place.worker, key);
        return true;
    }
    return false;
}

void PoolCore::tryGangs(std::vector<Candidate>& ejected, const std::vector<Candidate>& others, const std::vector<WaitingStep>& waiting, Moment at)
{
    std::vector<Candidate> all = others;
    std::ranges::copy(ejected, std::back_inserter(all));
    std::vector<Candidate> empty = others; // As they may be later.
    for (auto& it : empty)
        it.room = it.worker->entry.capacity;
    for (const auto& it : waiting) {
        const TaskKey key { it.job->accepted.job, it.occurrence, it.step, 0 };
        const auto& step = *it.job->stepOf(key);
        if (!it.job->spec().steps[it.step].isGang || step.waitingCount() != step.taskCount)
            continue;
        const auto request = requestFor(it, step.placedByWorker, at);
        if (mayHoldGang(empty, request, step.taskCount) || !mayHoldGang(all, request, step.taskCount))
            continue;
        placeGang(it, all, request, at);
        if (step.placedCount == 0)
            continue;
        for (const auto& place : ejected) {
            for (unsigned index = 0; index < step.taskCount; ++index) {
                if (const auto* task = step.find(index); task && task->worker == place.worker->entry.id)
                    beginTrial(*place.worker, { key.job, key.occurrence, key.step, index });
            }
        }
        return;
    }
}

void PoolCore::beginTrial(Worker& worker, const TaskKey& key)
{
    worker.trialTask = key;
    worker.trialRun = worker.runs.at(key).run;
    log("worker-tried", worker.entry.id, { { "job", key.job }, { "task", nameOfTask(key) }, { "run", std::to_string(worker.trialRun) } });
}

} // namespace Jobs
