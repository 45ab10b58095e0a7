/// What crashes have shown about tasks: kept, recorded and restored.

#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <utility>

namespace Jobs {

void PoolCore::gradeSuspicion(const TaskKey& key, bool isDoubtful, bool isLikely)
{
    const bool isNewlyDoubtful = isDoubtful && m_doubtfulSuspects.insert(key).second;
    const bool isNewlyLikely = isLikely && m_likelySuspects.insert(key).second;
    if (isNewlyDoubtful || isNewlyLikely)
        record(gradeOf(key));
}

SuspicionGraded PoolCore::gradeOf(const TaskKey& key) const
{
    return { key, m_doubtfulSuspects.contains(key), m_likelySuspects.contains(key) };
}

void PoolCore::forgetGrades()
{
    std::erase_if(m_doubtfulSuspects, [this](const auto& key) { return !m_suspects.contains(key); });
    std::erase_if(m_likelySuspects, [this](const auto& key) { return !m_suspects.contains(key); });
}

void PoolCore::recordTally(const TaskKey& key, const CrashTally& tally)
{
    const auto* task = m_jobs.findTask(key);
    const bool isCounted = tally.sinceProven > 0 || (task && task->crashTally.sinceProven > 0);
    record(TaskSuspected { key, tally });
    if (isCounted)
        record(CrashesUnconfirmed { key, tally.unconfirmed });
}

void PoolCore::restoreEvidence(const JobRecord& record)
{
    const auto restore = [this](const TaskKey& task, bool isDoubtful, bool isLikely) {
        m_doubtfulSuspects.erase(task);
        m_likelySuspects.erase(task);
        if (isDoubtful)
            m_doubtfulSuspects.insert(task);
        if (isLikely)
            m_likelySuspects.insert(task);
    };
    if (const auto* learnt = std::get_if<CrashAgesLearnt>(&record)) {
        m_crashAges = *learnt;
        m_startSpacing.restore(learnt->ages);
    } else if (const auto* source = std::get_if<SourceCrashesLearnt>(&record)) {
        m_sources.restore(*source);
    } else if (const auto* confined = std::get_if<TaskConfined>(&record)) {
        if (confined->isConfined)
            m_confined.insert(confined->task);
        else
            m_confined.erase(confined->task);
    } else if (const auto* grade = std::get_if<SuspicionGraded>(&record))
        restore(grade->task, grade->isDoubtful, grade->isLikely);
    else if (const auto* tally = std::get_if<TaskSuspected>(&record)) {
        // Earlier versions don't record which of the crashes are confirmed. Where that is known, a count follows.
        if (auto* task = m_jobs.findTask(tally->task))
            task->crashTally.unconfirmed = tally->tally.sinceProven;
        if (tally->tally.suspected == 0)
            restore(tally->task, false, false);
    }
}

void PoolCore::noteOutlived(const TaskKey& key, Moment at)
{
    if (auto* task = m_jobs.findTask(key))
        task->hasOutlivedStart = true;
    const auto* job = m_sources.hasCrashes() ? m_jobs.find(key.job) : nullptr;
    if (job)
        m_sources.onOutlived(sourceOf(*job), at.wall);
}

void PoolCore::noteSourcesOf(const SettledCrash& settled, Moment at)
{
    std::map<TaskSource, double> suspectsBySource;
    double suspects = 0;
    for (std::size_t n = 0; n < settled.crash.tasks.size(); ++n) {
        const auto& it = settled.crash.tasks[n];
        if (settled.isOutside[n] || !it.isSuspect)
            continue;
        ++suspects;
        if (const auto* job = m_jobs.find(it.task.job))
            ++suspectsBySource[sourceOf(*job)];
    }
    for (const auto& [source, count] : suspectsBySource) {
        if (m_sources.onCrash(source, count / suspects, at.wall))
            record(m_sources.recordOf(source));
    }
}

void PoolCore::updateBoundedSources(Moment at)
{
    const auto before = std::exchange(m_boundedSources, {});
    for (const auto& it : m_sources.records()) {
        const TaskSource source { it.queue, it.client };
        const bool isBounded = m_sources.isBounded(source, at.wall);
        if (isBounded)
            m_boundedSources.insert(source);
        if (isBounded == before.contains(source))
            continue;
        record(m_sources.recordOf(source));
        log(isBounded ? "source-bounded" : "source-released", source.queue, { { "crashesPermille", std::to_string(it.crashesPermille) }, { "outlivedPermille", std::to_string(it.outlivedPermille) } });
    }
}

void PoolCore::recordEvidence()
{
    if (!m_crashAges.ages.empty())
        record(m_crashAges);
    for (auto& it : m_sources.records())
        record(std::move(it));
    auto graded = m_doubtfulSuspects;
    graded.insert(m_likelySuspects.begin(), m_likelySuspects.end());
    for (const auto& key : graded)
        record(gradeOf(key));
    for (const auto& key : m_confined)
        record(TaskConfined { key, true });
    std::vector<CrashesUnconfirmed> unconfirmed;
    m_jobs.forEachTask([&unconfirmed](const Job&, const TaskKey& key, const Task& task) {
        if (task.crashTally.sinceProven > 0)
            unconfirmed.push_back({ key, task.crashTally.unconfirmed });
    });
    for (const auto& it : unconfirmed)
        record(it);
    for (const auto& [id, worker] : m_workers) {
        for (const auto& [key, run] : worker.runs) {
            if (run.isCrashCounted)
                record(CrashCounted { key, run.run });
        }
    }
}

} // namespace Jobs
