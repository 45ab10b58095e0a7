/// Starts that may be carried out by a worker's next incarnation.

#include "Jobs/Decision/LeaseTimes.h"
#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Jobs {

namespace {

    constexpr milliseconds longestHold { 3000 }; ///< For a stop to be answered by a worker that answers polls.
    constexpr milliseconds longestReturn { 3000 }; ///< From when a worker is known to be down until its next incarnation shows, if that one may have got a call.
    constexpr std::chrono::seconds longestDelay { 60 }; ///< Calls without an answer are carried out seconds late.

    template<typename Runs>
    bool isIn(const Runs& runs, const TaskKey& key, RunNumber run)
    {
        return std::ranges::any_of(runs, [&](const auto& it) { return it.task == key && it.run == run; });
    }

    /// A stop also makes the worker refuse the task's earlier runs.
    void keepLatest(std::map<TaskKey, LateStart>& starts, const TaskKey& key, const LateStart& start)
    {
        const auto [it, isNew] = starts.try_emplace(key, start);
        if (!isNew && it->second.run < start.run)
            it->second = start;
    }

} // namespace

void PoolCore::noteUnansweredStart(Worker& worker, const TaskKey& key, const WorkerRun& run, Instant now)
{
    std::erase_if(worker.unansweredStarts, [now](const auto& it) { return now - it.second.overSince > longestDelay; });
    keepLatest(worker.unansweredStarts, key, { run.run, run.reserved, now });
}

void PoolCore::expectLateStarts(Worker& worker, const std::map<TaskKey, WorkerRun>& lostRuns, WorkerLoss loss, Instant now)
{
    std::erase_if(worker.unansweredStarts, [now](const auto& it) { return now - it.second.overSince > longestDelay; });
    for (const auto& [key, run] : lostRuns) {
        const bool mayBeInFlight = run.phase == WorkerRun::Phase::Ordered && !run.isUnsent();
        if (mayBeInFlight || run.hasUnansweredStart || run.isUncertain() || run.isStartedByOther)
            noteUnansweredStart(worker, key, run, now);
    }
    if (loss == WorkerLoss::Restarted || loss == WorkerLoss::Crashed || loss == WorkerLoss::Replaced) {
        for (const auto& [key, it] : std::exchange(worker.unansweredStarts, {}))
            keepLatest(worker.lateStarts, key, it);
    }
    worker.mustStopLateStarts = !worker.lateStarts.empty();
}

bool PoolCore::isCurrentRun(const Worker& worker, const TaskKey& key, RunNumber run)
{
    const auto* task = m_jobs.findTask(key);
    return task && task->state == Task::State::Placed && task->lastRun == run && task->worker == worker.entry.id;
}

bool PoolCore::isListedIn(const Ports::PollAnswer& answer, const TaskKey& key, RunNumber run) { return isIn(answer.running, key, run) || isIn(answer.ended, key, run); }

bool PoolCore::mayHaveStarted(const Worker& worker, const WorkerRun& run, Instant failingSince)
{
    const bool wasAlive = failingSince == Instant() || run.mayHaveStartedAt() < failingSince;
    return run.isInherited || (wasAlive && run.startEvidence(worker.answeredPollSentAt) != StartEvidence::NotCarriedOut);
}

void PoolCore::keepUncertainRuns(Worker& worker, std::map<TaskKey, WorkerRun>& runs, const IncarnationLoss& loss, std::vector<LostRun>& lost, Moment at)
{
    const bool mayReturn = loss.loss != WorkerLoss::Ordered && loss.loss != WorkerLoss::Replaced;
    const bool isDown = loss.loss == WorkerLoss::Crashed;
    // No start and no lease is sent to a worker that fails polls.
    const auto lastArrival = loss.failingSince == Instant() ? at.now + longestCall : loss.failingSince + longestOrder;
    const bool hasAnswered = !std::exchange(worker.mustSettleRuns, false);
    for (auto it = runs.begin(); it != runs.end();) {
        const auto& [key, run] = *it;
        const bool isListed = loss.next && isListedIn(*loss.next, key, run.run);
        auto leasesEndAt = run.isUncertain() && !hasAnswered ? run.leasesEndAt : lastArrival + maximumSpanOf(m_limits.longestLease);
        if (run.isInherited)
            leasesEndAt = std::max(leasesEndAt, m_previousLeasesEndAt);
        const auto until = isDown ? at.now + longestReturn : leasesEndAt;
        // A previous owner's calls have ended by the time that this one finds the machine down.
        const bool mayArrive = mayReturn && until > at.now && !(isDown && run.isInherited);
        if (!(isListed || (mayArrive && run.mayRunInNextIncarnation())) || !isCurrentRun(worker, key, run.run)) {
            ++it;
            continue;
        }
        auto uncertain = *it;
        it = runs.erase(it);
        auto& [task, kept] = uncertain;
        // The crash is evidence against its task as if the start had been carried out there, unless the new incarnation has the run.
        if (!kept.isCrashCounted && !isListed && !kept.isStartedByOther && mayHaveStarted(worker, kept, loss.failingSince)) {
            lost.push_back(lostRunOf(task, kept, kept.startEvidence(worker.answeredPollSentAt), worker.aliveUntil, loss.failingSince));
            kept.isCrashCounted = true;
        }
        if (kept.isCrashCounted && loss.loss != WorkerLoss::Lapsed) // Else the loss may yet turn out to be none.
            record(CrashCounted { task, kept.run });
        kept.leasesEndAt = leasesEndAt;
        makeUncertain(worker, task, std::move(kept), std::max(until, at.now + milliseconds(1)), at.now);
    }
}

void PoolCore::makeUncertain(Worker& worker, const TaskKey& key, WorkerRun run, Instant until, Instant now)
{
    log("run-uncertain", key.job, { { "task", std::to_string(key.step) + "." + std::to_string(key.index) }, { "run", std::to_string(run.run) }, { "worker", worker.entry.id }, { "startedByOther", run.isStartedByOther ? "yes" : "no" }, { "unanswered", run.hasUnansweredStart ? "yes" : "no" }, { "untilMs", std::to_string(std::chrono::ceil<milliseconds>(until - now).count()) } });
    if (run.phase != WorkerRun::Phase::Stopping)
        run.phase = WorkerRun::Phase::Uncertain;
    run.isStopOptional = false;
    run.confirmedAt = Instant::max(); // Until a stop is answered, polls prove nothing about the run.
    run.uncertainUntil = until;
    run.isStartedByOther = false;
    run.isProven = false;
    run.startedBy = {};
    run.lastSeenPoll = 0;
    run.percent = 0;
    run.throttlePercent = 100;
    worker.runs[key] = std::move(run);
    worker.mustSettleRuns = true;
    m_uncertainWorkers.insert(worker.entry.id);
}

void PoolCore::settleUncertainRuns(Worker& worker, const Ports::PollAnswer& answer, Moment at)
{
    if (!std::exchange(worker.mustSettleRuns, false))
        return;
    for (auto& [key, run] : worker.runs) {
        if (!run.isUncertain())
            continue;
        const auto* job = m_jobs.find(key.job);
        const bool isListed = isIn(answer.running, key, run.run);
        const bool isWanted = run.phase == WorkerRun::Phase::Uncertain && job && !job->spec().steps[key.step].isGang && isCurrentRun(worker, key, run.run);
        log("uncertain-run-settled", key.job, { { "task", std::to_string(key.step) + "." + std::to_string(key.index) }, { "run", std::to_string(run.run) }, { "worker", worker.entry.id }, { "listed", isListed ? "yes" : "no" }, { "how", isListed && isWanted ? "taken-up" : "stopped" } });
        if (isListed && isWanted) {
            run.phase = WorkerRun::Phase::Confirmed;
            run.confirmedAt = at.now;
            run.uncertainUntil = {};
            run.isShareUnknown = true;
            continue;
        }
        run.phase = WorkerRun::Phase::Stopping;
        run.uncertainUntil = at.now + longestHold;
        m_output.orders.emplace_back(StopRun { key, run.run, worker.entry.id });
    }
}

/// After it has answered, a worker extends its lease, so that only the next loss limits how long it may run something.
bool PoolCore::mayStillRun(const Worker& worker, const WorkerRun& run) const
{
    const bool isListed = run.lastSeenPoll != 0 && run.lastSeenPoll == worker.pollAnswers;
    const bool isSilentAgain = !worker.mustSettleRuns && (worker.failingSince != Instant() || !worker.isResponsive);
    return isListed || isSilentAgain;
}

void PoolCore::endUncertainRuns(Moment at)
{
    constexpr milliseconds recheck { 500 };
    for (auto id = m_uncertainWorkers.begin(); id != m_uncertainWorkers.end();) {
        const auto found = m_workers.find(*id);
        std::vector<std::pair<TaskKey, WorkerRun>> over;
        bool isAnyLeft = false;
        if (found != m_workers.end()) {
            for (auto& [key, run] : found->second.runs) {
                if (run.isUncertain() && run.uncertainUntil <= at.now && mayStillRun(found->second, run))
                    run.uncertainUntil = at.now + recheck;
                if (run.isUncertain() && run.uncertainUntil <= at.now)
                    over.emplace_back(key, run);
                else
                    isAnyLeft = isAnyLeft || run.isUncertain();
            }
        }
        for (const auto& [key, run] : over)
            endUncertainRun(found->second, key, run, at);
        if (found != m_workers.end() && !found->second.isListed && found->second.runs.empty()) {
            m_output.forgottenWorkers.push_back(*id);
            m_workers.erase(found);
        }
        id = isAnyLeft ? std::next(id) : m_uncertainWorkers.erase(id);
    }
}

void PoolCore::endUncertainRun(Worker& worker, const TaskKey& key, const WorkerRun& run, Moment at)
{
    log("uncertain-run-over", key.job, { { "task", std::to_string(key.step) + "." + std::to_string(key.index) }, { "run", std::to_string(run.run) }, { "worker", worker.entry.id }, { "answered", worker.mustSettleRuns ? "no" : "yes" } });
    noteUnansweredStart(worker, key, run, at.now);
    const bool isCurrent = isCurrentRun(worker, key, run.run);
    const auto checkpoint = run.checkpoint;
    const auto number = run.run;
    worker.runs.erase(key);
    stopGang(key);
    if (isCurrent)
        recordEnd({ key, number, RunEnd::Lost, checkpoint, at.wall });
}

void PoolCore::settleLateStarts(Worker& worker, const Ports::PollAnswer& answer, Instant sentAt)
{
    if (std::exchange(worker.mustStopLateStarts, false)) {
        for (auto& [key, it] : worker.lateStarts) {
            it.refusedSince = Instant::max();
            m_output.orders.emplace_back(StopRun { key, it.run, worker.entry.id });
        }
        return;
    }
    if (answer.hasMoreEnds)
        return; // A late start may have been carried out, and its run may have ended.
    std::erase_if(worker.lateStarts, [&](const auto& entry) {
        const auto& [key, it] = entry;
        const auto isThis = [&entry](const auto& seen) { return seen.task == entry.first && seen.run == entry.second.run; };
        if (it.refusedSince >= sentAt || std::ranges::any_of(answer.running, isThis))
            return false;
        keepLatest(worker.unansweredStarts, key, it); // The worker may restart once more.
        return true;
    });
}

void PoolCore::releaseLateStarts(Worker& worker) { worker.lateStarts.clear(); }

} // namespace Jobs
