/// Scheduled jobs: when their occurrences begin, and how jobs take turns.

#include "Jobs/Decision/PoolCore.h"

#include <algorithm>

namespace Jobs {

namespace {

    // Limits that keep the memory of a pool and the time of a decision apart from how many occurrences are due. The others wait until some of
    // those in progress are done.
    constexpr std::size_t maximumOpenSteps = 16384; ///< Steps of occurrences in progress, of all jobs with due occurrences together.
    constexpr std::size_t minimumOpenSteps = 256; ///< Of one of these jobs, however many there are.
    constexpr std::size_t maximumReadyTasks = 1024; ///< Tasks that wait for a worker; the same of these.
    constexpr std::size_t minimumReadyTasks = 16;

    constexpr std::uint64_t minimumTasksPerTurn = 32; ///< A job with fewer tasks needs one turn only, however small the pool.

    /// What the occurrences in progress of a job hold.
    struct OpenWork {
        std::size_t steps = 0;
        std::size_t readyTasks = 0;
        bool lacksFirstTasks = false; ///< No task waits of one of the steps with which an occurrence begins.

        void add(const Occurrence& occurrence)
        {
            steps += occurrence.steps.size();
            for (const auto& it : occurrence.steps)
                readyTasks += it.isReleased() ? it.waitingCount() : 0;
        }
    };

    OpenWork openWorkOf(const Job& job)
    {
        OpenWork work;
        std::vector<bool> hasReady(job.spec().steps.size());
        for (const auto& [number, occurrence] : job.occurrences) {
            work.add(occurrence);
            for (std::size_t n = 0; n < hasReady.size(); ++n)
                hasReady[n] = hasReady[n] || (occurrence.steps[n].isReleased() && occurrence.steps[n].waitingCount() > 0);
        }
        for (std::size_t n = 0; n < hasReady.size(); ++n)
            work.lacksFirstTasks = work.lacksFirstTasks || (job.spec().steps[n].after.empty() && !hasReady[n]);
        return work;
    }

    bool hasDueOccurrence(const Job& job, Common::WallTime now)
    {
        return job.occurrencesBegun < job.occurrenceCount() && job.dueAt(job.occurrencesBegun) <= now;
    }

    /// Whether another occurrence may begin, when so many jobs have due ones.
    bool isWithinLimits(const Job& job, const OpenWork& work, std::size_t jobsDue)
    {
        if (job.occurrences.empty())
            return true;
        if (work.steps >= std::max(minimumOpenSteps, maximumOpenSteps / jobsDue))
            return false;
        return work.lacksFirstTasks || work.readyTasks < std::max(minimumReadyTasks, maximumReadyTasks / jobsDue);
    }

} // namespace

std::size_t PoolCore::countJobsDue(Common::WallTime now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_jobs.active(), [now](const auto& it) { return hasDueOccurrence(it.second, now); }));
}

bool PoolCore::mayBeginOccurrence(const Job& job, std::size_t jobsDue, Common::WallTime now)
{
    return hasDueOccurrence(job, now) && isWithinLimits(job, openWorkOf(job), jobsDue);
}

void PoolCore::beginDueOccurrences(Moment at)
{
    const auto jobsDue = countJobsDue(at.wall);
    for (auto& [id, job] : m_jobs.active()) {
        if (!hasDueOccurrence(job, at.wall))
            continue;
        auto work = openWorkOf(job);
        while (hasDueOccurrence(job, at.wall) && isWithinLimits(job, work, jobsDue)) {
            m_jobs.beginOccurrence(job);
            work.add(job.occurrences.rbegin()->second);
            work.lacksFirstTasks = false;
        }
    }
}

std::uint64_t PoolCore::tasksPerTurn() const
{
    std::uint64_t runs = 0;
    for (const auto& [id, worker] : m_workers)
        runs += worker.runs.size();
    return std::max(minimumTasksPerTurn, runs);
}

bool PoolCore::isSameForAllOccurrences(const Job& job, const StepSpec& spec) const
{
    return spec.maximumPerWorker == 0 && spec.dataRack.empty() && !spec.isGang && !needsAdvice(job);
}

} // namespace Jobs
