#include "OverloadReplay.h"

#include <algorithm>
#include <cmath>
#include <utility>

using namespace Jobs;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr auto startTime = Instant(1h);
constexpr auto wallStartTime = Common::WallTime(1000000s);
constexpr milliseconds tick { 10 };
constexpr milliseconds orderDelay { 25 }; ///< Commit of the records plus the call of the worker.

} // namespace

OverloadReplay::OverloadReplay(const OverloadSettings& settings)
    : m_settings(settings)
    , m_core(PoolLimits {})
    , m_random(settings.seed)
{
    m_queue.name = "bookings";
    m_queue.pool = "desk";
    m_queue.maximumAttempts = 3;
    m_queue.stretchPermille = 1600;
    m_queue.targetDuration = 600ms;
    m_core.configure({ 1, { m_queue }, { { "desk", false, true } } });
    for (unsigned n = 0; n < settings.workers; ++n) {
        WorkerEntry entry;
        entry.id = "w" + std::to_string(n);
        entry.machine = "m" + std::to_string(n);
        entry.pool = "desk";
        entry.address = entry.id + ":1";
        entry.incarnation = 1;
        entry.capacity = { settings.coresEach * 1000ULL, 65536, 0 };
        m_core.onWorkerListed(entry, { startTime, wallStartTime });
        m_workers[entry.id] = {};
    }
}

double OverloadReplay::draw(double mean, double spread, double limit)
{
    std::lognormal_distribution<double> distribution(std::log(mean) - spread * spread / 2, spread);
    return std::min(limit, distribution(m_random));
}

JobSpec OverloadReplay::makeSpec()
{
    JobSpec spec;
    const auto count = static_cast<unsigned>(std::clamp(std::lround(draw(m_settings.meanSteps, 0.4, 4)), 1L, 4L));
    for (unsigned n = 0; n < count; ++n) {
        StepSpec step;
        step.taskCount = static_cast<unsigned>(std::max(1L, std::lround(draw(m_settings.meanWidth, m_settings.widthSpread, m_settings.meanWidth * 4))));
        step.need.milliCores = static_cast<std::uint64_t>(draw(m_settings.meanMilliCores, m_settings.coreSpread, m_settings.meanMilliCores * 3));
        step.need.memoryMb = 1000;
        step.estimate = milliseconds(std::max(20L, std::lround(1000 * draw(m_settings.meanTaskSeconds, m_settings.taskSpread, m_settings.meanTaskSeconds * 2.5))));
        if (n > 0)
            step.after = { n - 1 };
        spec.steps.push_back(step);
    }
    return spec;
}

std::vector<std::vector<milliseconds>> OverloadReplay::drawRunTimes(const JobSpec& spec)
{
    std::vector<std::vector<milliseconds>> result;
    for (const auto& step : spec.steps) {
        const auto mean = static_cast<double>(step.estimate.count()) * draw(1, m_settings.estimateSpread, 3);
        auto& tasks = result.emplace_back();
        for (unsigned n = 0; n < step.taskCount; ++n)
            tasks.emplace_back(std::lround(mean * draw(1, m_settings.unevenness, 3)));
    }
    return result;
}

double OverloadReplay::demandAt(milliseconds time) const
{
    const bool isPeak = time >= m_settings.lead && time < m_settings.lead + m_settings.peak;
    return isPeak ? m_settings.demand : m_settings.trough;
}

bool OverloadReplay::isStoreDown(milliseconds time) const
{
    const auto from = m_settings.lead + m_settings.outageAt;
    return time >= from && time < from + m_settings.outage;
}

void OverloadReplay::submitDue(Moment at)
{
    const auto time = std::chrono::duration_cast<milliseconds>(at.now - startTime);
    const auto coresEachJob = m_settings.meanSteps * m_settings.meanWidth * m_settings.meanTaskSeconds * m_settings.meanMilliCores / 1000;
    const auto cores = m_settings.workers * m_settings.coresEach;
    m_dueJobs += demandAt(time) * cores / coresEachJob * static_cast<double>(tick.count()) / 1000;
    for (; m_dueJobs >= 1 && !isStoreDown(time); m_dueJobs -= 1) {
        ReplayedJob job;
        job.id = std::to_string(m_jobs.size());
        auto spec = makeSpec();
        const auto& times = m_runTimes[job.id] = drawRunTimes(spec);
        milliseconds chain { 0 };
        for (std::size_t n = 0; n < spec.steps.size(); ++n) {
            chain += std::ranges::max(times[n]);
            for (const auto& it : times[n])
                job.coreSeconds += static_cast<double>(it.count() * spec.steps[n].need.milliCores) / 1e6;
        }
        job.objective = chain * m_queue.stretchPermille / 1000 + m_queue.targetDuration;
        job.submittedAt = at.now;
        const bool isAccepted = m_core.submit(job.id, m_queue, std::move(spec), at).outcome == Ports::JobOutcome::Accepted;
        if (isAccepted)
            m_open.push_back(m_jobs.size());
        else
            job.objectiveOutcome = ObjectiveOutcome::Refused;
        m_jobs.push_back(std::move(job));
    }
}

void OverloadReplay::collectEnds(Moment at)
{
    for (auto& [id, worker] : m_workers) {
        Ports::PollAnswer answer;
        answer.answer.status = Ports::WorkerStatus::Done;
        answer.incarnation = 1;
        for (auto it = worker.runs.begin(); it != worker.runs.end();) {
            if (it->second.endsAt <= at.now) {
                answer.ended.push_back({ ++worker.lastEnd, it->first, it->second.run, RunEnd::Done, {} });
                it = worker.runs.erase(it);
                continue;
            }
            const auto done = at.now - it->second.startsAt;
            const auto whole = it->second.endsAt - it->second.startsAt;
            if (done >= milliseconds(0))
                answer.running.push_back({ it->first, it->second.run, {}, static_cast<unsigned>(done * 100 / whole), it->second.milliCores });
            ++it;
        }
        m_core.onPollAnswer(id, answer, at.now - 2ms, at);
    }
}

void OverloadReplay::takeOrders(Moment at)
{
    const auto output = m_core.takeOutput();
    for (const auto& order : output.orders) {
        const auto* start = std::get_if<StartRun>(&order);
        if (!start)
            continue;
        auto& run = m_workers.at(start->worker).runs[start->task];
        run.run = start->run;
        run.startsAt = at.now + orderDelay;
        run.endsAt = run.startsAt + m_runTimes.at(start->task.job)[start->task.step][start->task.index];
        run.milliCores = m_core.jobs().find(start->task.job)->spec().steps[start->task.step].need.milliCores;
        m_core.onStartAnswer(*start, { Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, milliseconds(1) }, { run.startsAt, at.wall });
    }
}

void OverloadReplay::recordFinished(Moment at)
{
    std::erase_if(m_open, [&](std::size_t n) {
        auto& job = m_jobs[n];
        if (m_core.show(job.id).state != JobState::Completed)
            return false;
        const auto took = at.now + orderDelay - job.submittedAt;
        job.objectiveOutcome = took <= job.objective ? ObjectiveOutcome::InTime : took <= 3 * job.objective ? ObjectiveOutcome::Late
                                                                                                            : ObjectiveOutcome::Overdue;
        return true;
    });
}

void OverloadReplay::run()
{
    const auto length = m_settings.lead + m_settings.peak + m_settings.tail;
    for (milliseconds time { 0 }; time < length; time += tick) {
        const Moment at { startTime + time, wallStartTime + time };
        submitDue(at);
        if (isStoreDown(time))
            continue;
        collectEnds(at);
        m_core.decide(at);
        takeOrders(at);
        recordFinished(at);
    }
}

ServedShares OverloadReplay::shareOf(const std::vector<const ReplayedJob*>& jobs)
{
    ServedShares result;
    if (jobs.empty())
        return result;
    const auto count = static_cast<double>(jobs.size());
    const auto inTime = std::ranges::count_if(jobs, [](const auto* it) { return it->objectiveOutcome == ObjectiveOutcome::InTime; });
    const auto late = std::ranges::count_if(jobs, [](const auto* it) { return it->objectiveOutcome == ObjectiveOutcome::Late; });
    result.inTime = static_cast<double>(inTime) / count;
    result.served = static_cast<double>(inTime + late) / count;
    return result;
}

ServedShares OverloadReplay::shareOf(double from, double to) const
{
    std::vector<const ReplayedJob*> sorted;
    for (const auto& it : m_jobs)
        sorted.push_back(&it);
    std::ranges::stable_sort(sorted, {}, &ReplayedJob::coreSeconds);
    const auto count = static_cast<double>(sorted.size());
    return shareOf({ sorted.begin() + std::lround(from * count), sorted.begin() + std::lround(to * count) });
}

double OverloadReplay::benefit() const
{
    constexpr double base = 0.3;
    constexpr double limit = 4;
    constexpr double lateShare = 0.07;
    double mean = 0;
    for (const auto& it : m_jobs)
        mean += it.coreSeconds / static_cast<double>(m_jobs.size());
    double possible = 0;
    double earned = 0;
    for (const auto& it : m_jobs) {
        const auto worth = std::min(limit, base + (1 - base) * it.coreSeconds / mean);
        possible += worth;
        earned += it.objectiveOutcome == ObjectiveOutcome::InTime ? worth : it.objectiveOutcome == ObjectiveOutcome::Late ? worth * lateShare
                                                                                                                          : 0;
    }
    return possible > 0 ? earned / possible : 0;
}
