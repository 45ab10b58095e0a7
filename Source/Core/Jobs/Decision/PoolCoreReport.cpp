/// Load reports of a pool, for other hosts and the log.

#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <array>
#include <utility>

namespace Jobs {

namespace {

    constexpr milliseconds arrivalTime { 2000 }; ///< Of a machine that is moved: tasks that wait less for their rack get none.

} // namespace

bool PoolCore::addDemand(DemandCounter& demand, const Job& job, unsigned occurrence, unsigned step, unsigned waiting, Moment at) const
{
    const auto& spec = job.spec().steps[step];
    const auto rack = rackWait(job, occurrence, step, at) > arrivalTime ? spec.dataRack : std::string();
    if (!DemandCounter::isNeededFor(spec, rack))
        return false;
    demand.add({ spec, rack, job.occurrences.at(occurrence).steps[step].placedByWorker, waiting });
    return true;
}

unsigned PoolCore::boundedCount(const Job& job, unsigned occurrence, unsigned step) const
{
    if (job.spec().steps[step].isLasting || !m_boundedSources.contains(sourceOf(job)))
        return 0;
    const auto& run = job.occurrences.at(occurrence).steps[step];
    const auto outlived = std::ranges::count_if(run.tasks, [](const auto& it) { return it.second.state == Task::State::Waiting && it.second.hasOutlivedStart; });
    return run.waitingCount() - static_cast<unsigned>(outlived);
}

void PoolCore::addWaiting(PoolLoad& load, Moment at) const
{
    struct Waiting {
        const Job* job;
        unsigned occurrence;
        unsigned step;
        unsigned tasks;
    };
    std::array<std::vector<Waiting>, demandTiers.size()> demanding;
    TierDemand inTime;
    TierDemand expected; // Stays empty.
    const std::array<TierDemand*, demandTiers.size()> demands { &inTime, &load.late, &expected, &load.bounded };
    const auto addTo = [&](DemandTier tier, const Waiting& waiting) {
        const auto& spec = waiting.job->spec().steps[waiting.step];
        const auto index = static_cast<std::size_t>(tier);
        demands[index]->milliCores += waiting.tasks * reservedBy(spec).milliCores;
        demands[index]->memoryMb += waiting.tasks * reservedBy(spec).memoryMb;
        if (waiting.tasks > 0 && DemandCounter::isNeededFor(spec, spec.dataRack))
            demanding[index].push_back(waiting);
    };
    const auto perTurn = tasksPerTurn();
    forEachWaitingStep(m_jobs, [&](const Job& job, unsigned occurrence, std::size_t position, unsigned step, unsigned waiting) {
        const auto& spec = job.spec().steps[step];
        const auto milliCores = waiting * reservedBy(spec).milliCores;
        const bool isLate = queueKeyOf(job, occurrence, step, at.wall, position, perTurn).prospect != Prospect::InTime;
        const auto bounded = boundedCount(job, occurrence, step);
        load.waitingMilliCores += milliCores;
        load.lateMilliCores += isLate ? milliCores : 0;
        load.waitingWork += milliCores * static_cast<std::uint64_t>(std::max<std::int64_t>(0, spec.estimate.count())) / 1000;
        addTo(DemandTier::Bounded, { &job, occurrence, step, bounded });
        addTo(isLate ? DemandTier::Late : DemandTier::InTime, { &job, occurrence, step, waiting - bounded });
    });
    load.demandedMemoryMb += inTime.memoryMb;
    DemandCounter counter(m_workers);
    for (const auto tier : demandTiers) {
        const auto index = static_cast<std::size_t>(tier);
        bool isAdded = false;
        for (const auto& it : demanding[index])
            isAdded = addDemand(counter, *it.job, it.occurrence, it.step, it.tasks, at) || isAdded;
        if (isAdded)
            demands[index]->workers = counter.result();
    }
    load.demands = std::move(inTime.workers);
}

PoolLoad PoolCore::loadReport(Moment at) const
{
    PoolLoad load;
    for (const auto& [id, worker] : m_workers) {
        WorkerLoad report { id, worker.entry.machine, static_cast<unsigned>(worker.runs.size()), 0, worker.isCordoned };
        if (worker.isSchedulable(at.now))
            load.capacityMilliCores += worker.entry.capacity.milliCores;
        for (const auto& [key, run] : worker.runs) {
            load.busyMilliCores += run.reserved.milliCores;
            load.demandedMemoryMb += run.reserved.memoryMb;
            if (!run.isLasting)
                continue;
            load.lastingMilliCores += run.reserved.milliCores;
            ++report.lastingRuns;
            report.lasting += run.reserved;
        }
        load.workers.push_back(std::move(report));
    }
    addWaiting(load, at);
    return load;
}

PoolPressure PoolCore::pressure(Moment at) const
{
    PoolPressure result;
    result.load = loadReport(at);
    result.activeJobs = m_jobs.active().size();
    result.overdueJobs = countJobsDue(at.wall);
    for (const auto& [id, worker] : m_workers) {
        result.runs += worker.runs.size();
        if (worker.isSchedulable(at.now)) {
            ++result.candidates;
            result.freeMilliCores += worker.room().milliCores;
            if (m_quarantined.contains(id)) {
                ++result.setAside;
                result.setAsideFreeMilliCores += worker.room().milliCores;
            }
        }
        result.silent += worker.isResponsive ? 0 : 1;
        result.cordoned += worker.isCordoned ? 1 : 0;
        result.avoided += worker.isAvoided(at.now) ? 1 : 0;
        result.leaving += !worker.isListed || worker.entry.state != WorkerEntry::State::Ready ? 1 : 0;
        result.testing += worker.isTestingSuspect() ? 1 : 0;
    }
    result.waitingSuspects = m_suspectsWaitingSince.size();
    for (const auto& [key, since] : m_suspectsWaitingSince) {
        result.oldestSuspect = std::max(result.oldestSuspect, std::chrono::duration_cast<milliseconds>(at.now - since));
        const auto* job = m_jobs.find(key.job);
        result.waitingLastingSuspects += job && job->spec().steps[key.step].isLasting ? 1 : 0;
    }
    forEachWaitingStep(m_jobs, [&](const Job& job, unsigned occurrence, std::size_t, unsigned, unsigned waiting) {
        result.waitingTasks += waiting;
        result.oldestWaiting = std::max(result.oldestWaiting, at.wall - job.dueAt(occurrence));
    });
    return result;
}

} // namespace Jobs
