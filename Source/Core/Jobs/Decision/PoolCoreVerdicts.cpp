/// What follows for tasks once the crashes of one moment are known.

#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Jobs {

bool PoolCore::isLasting(const TaskKey& key) const
{
    const auto* job = m_jobs.find(key.job);
    return job && key.step < job->spec().steps.size() && job->spec().steps[key.step].isLasting;
}

void PoolCore::collectCrash(WorkerCrash crash, Instant crashedAt, Instant now)
{
    CrashBursts::Workers others;
    if (m_bursts.isFirst(crashedAt)) {
        for (const auto& [id, worker] : m_workers) {
            if (!worker.isListed || !worker.isResponsive)
                continue;
            others.hadRecentStart[id] = worker.hasUnprovenRuns() || worker.hasConfinedRun();
            std::set<JobId> jobs;
            for (const auto& [key, run] : worker.runs)
                jobs.insert(key.job);
            for (const auto& it : jobs)
                ++others.countByJob[it];
        }
    }
    std::vector<TaskKey> convicted;
    for (const auto& it : crash.tasks) {
        if (it.isFound)
            convicted.push_back(it.task);
    }
    const auto settleAt = m_bursts.add(std::move(crash), crashedAt, now, std::move(others));
    for (const auto& it : convicted)
        m_startNotBefore[it] = settleAt;
}

void PoolCore::settleCrashes(Moment at)
{
    std::erase_if(m_startNotBefore, [&](const auto& it) { return it.second <= at.now; });
    const auto settlement = m_bursts.nextSettlement();
    if (!settlement || *settlement > at.now)
        return;
    std::map<std::string, Instant> silentSince;
    for (const auto& [id, worker] : m_workers) {
        if (worker.failingSince != Instant())
            silentSince[id] = worker.failingSince;
    }
    for (const auto& settled : m_bursts.settle(at.now, silentSince)) {
        const auto& crash = settled.crash;
        noteSourcesOf(settled, at);
        if (settled.isOutsideAll) {
            log("crash-outside-tasks", crash.worker, { { "crashed", std::to_string(settled.crashed) }, { "workers", std::to_string(settled.workers) }, { "crashedAfterStart", std::to_string(settled.crashedAfterStart) }, { "workersAfterStart", std::to_string(settled.workersAfterStart) }, { "runs", std::to_string(crash.tasks.size()) } });
            m_crashes.excuse(crash.number);
        }
        for (std::size_t n = 0; n < crash.tasks.size(); ++n) {
            const auto& it = crash.tasks[n];
            const bool isOutside = settled.isOutside[n];
            if (isOutside)
                excuse(it);
            const auto* task = it.isFound ? m_jobs.findTask(it.task) : nullptr;
            if (!task)
                continue;
            const auto tally = task->crashTally;
            if (isOutside && !isGuilty(tally, false, it.expected))
                continue;
            if (it.isExplanation && !isOutside) {
                m_startSpacing.learn(it.age);
                m_crashAges = { m_startSpacing.ages(), at.wall };
                record(m_crashAges);
            }
            convict(it.task, tally, at);
        }
    }
}

void PoolCore::excuse(const CrashedTask& crashed)
{
    const auto* task = m_jobs.findTask(crashed.task);
    if (!task)
        return;
    auto tally = task->crashTally;
    tally.unexplained -= std::min(tally.unexplained, crashed.unexplained);
    if (crashed.countsToConvict)
        tally.unconfirmed = std::min(tally.unconfirmed + 1, tally.sinceProven);
    if (crashed.isNewlyLikely && m_likelySuspects.erase(crashed.task) > 0)
        record(gradeOf(crashed.task));
    if (tally != task->crashTally)
        recordTally(crashed.task, tally);
}

void PoolCore::convict(const TaskKey& key, const CrashTally& tally, Moment at)
{
    if (isLasting(key))
        confine(key, tally, at);
    else
        giveUp(key, tally, at);
}

void PoolCore::confine(const TaskKey& key, const CrashTally& tally, Moment at)
{
    const auto delay = restartDelay(tally);
    log("task-confined", key.job, { { "task", nameOfTask(key) }, { "sinceProven", std::to_string(tally.sinceProven) }, { "unexplained", std::to_string(tally.unexplained) }, { "suspected", std::to_string(tally.suspected) }, { "delayMs", std::to_string(delay.count()) } });
    if (m_confined.insert(key).second) {
        record(TaskConfined { key, true });
        m_crashes.convict(key); // Tasks beside it aren't cleared, as they may crash their workers late as well.
    }
    m_suspects.insert(key);
    m_startNotBefore[key] = at.now + delay;
}

/// A new owner doesn't know when confined tasks last crashed their workers.
void PoolCore::delayConfined(Instant now)
{
    for (const auto& key : m_confined) {
        const auto* task = m_jobs.findTask(key);
        if (task && task->state == Task::State::Waiting)
            m_startNotBefore[key] = now + restartDelay(task->crashTally);
    }
}

void PoolCore::giveUp(const TaskKey& key, const CrashTally& tally, Moment at)
{
    const auto* job = m_jobs.find(key.job);
    if (!job)
        return;
    auto summary = summaryOf(*job, at.wall);
    summary.state = JobState::Failed;
    log("job-given-up", key.job, { { "task", nameOfTask(key) }, { "sinceProven", std::to_string(tally.sinceProven) }, { "unexplained", std::to_string(tally.unexplained) }, { "suspected", std::to_string(tally.suspected) } });
    logFinished(key.job, summary);
    record(JobFinished { key.job, summary.queue, JobState::Failed, at.wall });
    m_output.finished.push_back(std::move(summary));
    m_suspects.erase(key);
    for (const auto& [other, growth] : m_crashes.convict(key))
        exonerate(other, growth);
    m_advice.removeJob(key.job);
    stopJob(key.job);
}

void PoolCore::exonerate(const TaskKey& key, const CrashTally& growth)
{
    const auto* task = m_jobs.findTask(key);
    if (!task)
        return;
    auto tally = task->crashTally;
    tally.unexplained -= std::min(tally.unexplained, growth.unexplained);
    tally.suspected -= std::min(tally.suspected, growth.suspected);
    recordTally(key, tally);
}

} // namespace Jobs
