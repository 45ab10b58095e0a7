/// Refusal of jobs of sources that crash their workers.

#include "Jobs/Decision/PoolCore.h"

#include <algorithm>

namespace Jobs {

namespace {

    /// True when a waiting job goes before a new one, or is to be finished before it although it is late. Overdue ones go last.
    bool goesBefore(const QueueKey& waiting, const QueueKey& fresh)
    {
        if (waiting.priority != fresh.priority)
            return waiting.priority < fresh.priority;
        if (waiting.turn != fresh.turn)
            return waiting.turn < fresh.turn;
        return waiting.prospect == Prospect::Late || (waiting.prospect == Prospect::InTime && waiting < fresh);
    }

    /// Work of the occurrence's tasks that wait.
    SourceWork waitingWork(const JobSpec& spec, const Occurrence& occurrence)
    {
        SourceWork work;
        for (std::size_t n = 0; n < occurrence.steps.size(); ++n) {
            if (!spec.steps[n].isLasting)
                work += workOfTasks(spec.steps[n], occurrence.steps[n].waitingCount());
        }
        return work;
    }

} // namespace

SourceWork PoolCore::workAhead(const TaskSource& source, const QueueKey& fresh, Common::WallTime now) const
{
    const auto perTurn = tasksPerTurn();
    SourceWork work;
    for (const auto& [id, job] : m_jobs.active()) {
        if (sourceOf(job) != source)
            continue;
        std::size_t position = 0;
        for (const auto& [number, occurrence] : job.occurrences) {
            const auto place = position++;
            const auto waits = std::ranges::find_if(occurrence.steps, [](const auto& it) { return it.waitingCount() > 0; });
            if (waits == occurrence.steps.end())
                continue;
            const auto first = static_cast<unsigned>(waits - occurrence.steps.begin());
            if (goesBefore(queueKeyOf(job, number, first, now, place, perTurn), fresh))
                work += waitingWork(job.spec(), occurrence);
        }
    }
    return work;
}

std::optional<SourceRefusal> PoolCore::refusalOf(const JobAccepted& job, Moment at)
{
    const TaskSource source { job.queue, {} };
    // A service is of use for as long as it runs, and what the source's rate is now tells nothing of the time when a schedule is due.
    if (!m_admission.isWaiting(source) || job.spec.repeatCount > 0 || std::ranges::any_of(job.spec.steps, &StepSpec::isLasting))
        return std::nullopt;
    SourceRequest request;
    request.criticalPath = criticalPathOf(job.spec);
    request.usefulFor = job.objective * usefulObjectiveMultiple - (at.wall - job.acceptedAt);
    for (const auto& it : job.spec.steps)
        request.own += workOfTasks(it, it.taskCount);
    QueueKey key;
    key.priority = job.priority;
    key.milliseconds = (job.objective - request.criticalPath).count();
    request.ahead = workAhead(source, key, at.wall);
    const auto refusal = m_admission.refusalOf(source, request, at.now);
    if (refusal)
        m_output.refused.push_back({ job.job, job.queue, refusal->expected, request.usefulFor, refusal->retryAfter });
    return refusal;
}

void PoolCore::noteSourceEnded(const Job& job, const TaskKey& task, RunEnd how)
{
    if (how == RunEnd::Done && task.step < job.spec().steps.size())
        m_admission.noteEnded(sourceOf(job), workOfTasks(job.spec().steps[task.step], 1));
}

void PoolCore::sampleAdmission(const std::set<TaskSource>& waiting, Instant now)
{
    std::uint64_t capacity = 0;
    for (const auto& [id, worker] : m_workers)
        capacity += worker.isSchedulable(now) ? worker.entry.capacity.milliCores : 0;
    m_admission.sample(m_boundedSources, waiting, capacity, now);
}

} // namespace Jobs
