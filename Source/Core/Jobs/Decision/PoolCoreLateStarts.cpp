/// Starts that may be carried out by a worker's next incarnation.

#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <utility>

namespace Jobs {

namespace {

    /// A waiting task has to be placed within 3 s where there is room, and the worker may never answer.
    constexpr milliseconds longestHold { 3000 };
    constexpr std::chrono::seconds longestDelay { 60 }; ///< Calls without an answer are carried out seconds late.

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
        if (mayBeInFlight || run.hasUnansweredStart)
            noteUnansweredStart(worker, key, run, now);
    }
    if (loss == WorkerLoss::Restarted || loss == WorkerLoss::Crashed) {
        for (const auto& [key, it] : std::exchange(worker.unansweredStarts, {}))
            keepLatest(worker.lateStarts, key, it);
    }
    worker.mustStopLateStarts = !worker.lateStarts.empty();
}

void PoolCore::holdLateStart(const Worker& worker, const TaskKey& key, const WorkerRun& run, Instant now)
{
    const auto late = worker.lateStarts.find(key);
    if (late == worker.lateStarts.end() || late->second.run != run.run)
        return;
    log("late-start-possible", key.job, { { "task", std::to_string(key.step) + "." + std::to_string(key.index) }, { "run", std::to_string(run.run) }, { "worker", worker.entry.id } });
    m_heldTasks[key] = { worker.entry.id, now + longestHold };
}

void PoolCore::releaseTask(const TaskKey& key, const std::string& worker)
{
    const auto it = m_heldTasks.find(key);
    if (it != m_heldTasks.end() && it->second.worker == worker)
        m_heldTasks.erase(it);
}

void PoolCore::releaseTasksHeldTooLong(Instant now)
{
    std::erase_if(m_heldTasks, [&](const auto& entry) {
        const auto& [key, it] = entry;
        if (it.until > now)
            return false;
        log("hold-expired", key.job, { { "task", std::to_string(key.step) + "." + std::to_string(key.index) }, { "worker", it.worker } });
        return true;
    });
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
        releaseTask(key, worker.entry.id);
        keepLatest(worker.unansweredStarts, key, it); // The worker may restart once more.
        return true;
    });
}

void PoolCore::releaseLateStarts(Worker& worker)
{
    for (const auto& [key, it] : std::exchange(worker.lateStarts, {}))
        releaseTask(key, worker.entry.id);
}

} // namespace Jobs
