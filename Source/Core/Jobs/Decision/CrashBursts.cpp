#include "Jobs/Decision/CrashBursts.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace Jobs {

namespace {

    constexpr milliseconds burstGap { 100 }; ///< Between crashes of one burst, as their owner sees them.
    constexpr milliseconds longestBurst { 250 };
    constexpr milliseconds settleTime { 150 };
    constexpr std::chrono::seconds keptFor { 15 }; ///< A silent worker may be known to have crashed only once its machine has returned.
    constexpr std::size_t fewestInBurst = 3;
    constexpr double mostByChance = 0.25; ///< Of crashes just after a start, the share at which they no longer count to convict.

    constexpr double fewestJobsByChance = 0.05; ///< The expected number of jobs hit as hard as one, from which that one's tasks aren't taken for the cause.

    /// The probability that at least `crashed` of `workers` crash where each does with the probability `share`.
    double atLeast(std::size_t crashed, std::size_t workers, double share)
    {
        if (crashed == 0 || share >= 1)
            return 1;
        if (share <= 0)
            return 0;
        const auto logFactorial = [](std::size_t n) { return std::lgamma(static_cast<double>(n) + 1); };
        double sum = 0;
        for (auto n = crashed; n <= workers; ++n) {
            const auto ways = logFactorial(workers) - logFactorial(n) - logFactorial(workers - n);
            sum += std::exp(ways + static_cast<double>(n) * std::log(share) + static_cast<double>(workers - n) * std::log1p(-share));
        }
        return sum;
    }

    /// True when about as large a share of the workers that aren't exposed to a possible cause crashed as of those that are.
    bool isByChance(std::size_t crashedExposed, std::size_t exposed, std::size_t crashed, std::size_t workers)
    {
        if (workers <= exposed)
            return false;
        const auto share = static_cast<double>(crashed - crashedExposed) / static_cast<double>(workers - exposed);
        return share > 0 && share * static_cast<double>(exposed) >= mostByChance * static_cast<double>(crashedExposed);
    }

} // namespace

bool CrashBursts::Burst::includes(Common::Instant at) const
{
    const bool isNear = at + burstGap >= first && at <= last + burstGap;
    return isNear && std::max(at, last) - std::min(at, first) <= longestBurst;
}

std::size_t CrashBursts::Burst::workersAfterStart() const
{
    return crashedAfterStart + static_cast<std::size_t>(std::ranges::count_if(others.hadRecentStart, [](const auto& it) { return it.second; }));
}

/// The control group of a suspect are the workers without a new task. Its job only speaks against it where the job is hit harder than is to
/// be expected of any of the jobs: of a job with few workers all may crash by chance. Other tasks have no control group but by job.
bool CrashBursts::Burst::isOutside(const CrashedTask& task) const
{
    if (crashed < fewestInBurst)
        return false;
    const auto workers = crashed + others.hadRecentStart.size();
    const auto ofJob = crashedByJob.find(task.task.job);
    const auto crashedOfJob = ofJob == crashedByJob.end() ? 0 : ofJob->second;
    const auto elsewhere = others.countByJob.find(task.task.job);
    const auto workersOfJob = crashedOfJob + (elsewhere == others.countByJob.end() ? 0 : elsewhere->second);
    if (!task.isSuspect)
        return isByChance(crashedOfJob, workersOfJob, crashed, workers);
    if (!isByChance(crashedAfterStart + silentAfterStart, workersAfterStart(), crashed + silent, workers) || workers <= workersOfJob)
        return false;
    const auto share = static_cast<double>(crashed - crashedOfJob) / static_cast<double>(workers - workersOfJob);
    return atLeast(crashedOfJob, workersOfJob, share) * static_cast<double>(crashedByJob.size()) >= fewestJobsByChance;
}

SettledCrash CrashBursts::Burst::settled(WorkerCrash crash) const
{
    SettledCrash result { std::move(crash), {}, false, crashed, crashed + others.hadRecentStart.size(), crashedAfterStart, workersAfterStart() };
    for (const auto& it : result.crash.tasks)
        result.isOutside.push_back(isOutside(it));
    result.isOutsideAll = !result.isOutside.empty() && std::ranges::all_of(result.isOutside, [](bool it) { return it; });
    return result;
}

bool CrashBursts::isFirst(Common::Instant crashedAt) const
{
    return std::ranges::none_of(m_bursts, [crashedAt](const auto& it) { return it.includes(crashedAt); });
}

Common::Instant CrashBursts::add(WorkerCrash crash, Common::Instant crashedAt, Common::Instant now, Workers others)
{
    auto burst = std::ranges::find_if(m_bursts, [crashedAt](const auto& it) { return it.includes(crashedAt); });
    if (burst == m_bursts.end()) {
        m_bursts.push_back({ crashedAt, crashedAt, now + settleTime, std::move(others), 0, 0, {}, {}, 0, 0 });
        burst = std::prev(m_bursts.end());
    }
    if (burst->unsettled.empty())
        burst->settleAt = std::max(burst->settleAt, now);
    burst->first = std::min(burst->first, crashedAt);
    burst->last = std::max(burst->last, crashedAt);
    const bool wasUp = burst->others.hadRecentStart.erase(crash.worker) > 0;
    std::set<JobId> jobs;
    for (const auto& it : crash.tasks)
        jobs.insert(it.task.job);
    for (const auto& it : jobs) {
        ++burst->crashedByJob[it];
        if (const auto found = burst->others.countByJob.find(it); wasUp && found != burst->others.countByJob.end() && found->second > 0)
            --found->second;
    }
    ++burst->crashed;
    burst->crashedAfterStart += crash.hadRecentStart ? 1 : 0;
    burst->unsettled.push_back(std::move(crash));
    return burst->settleAt;
}

void CrashBursts::Burst::countSilent(const std::map<std::string, Common::Instant>& silentSince)
{
    silent = silentAfterStart = 0;
    for (const auto& [id, hadRecentStart] : others.hadRecentStart) {
        const auto since = silentSince.find(id);
        if (since == silentSince.end() || !includes(since->second))
            continue;
        ++silent;
        silentAfterStart += hadRecentStart ? 1 : 0;
    }
}

std::vector<SettledCrash> CrashBursts::settle(Common::Instant now, const std::map<std::string, Common::Instant>& silentSince)
{
    std::vector<SettledCrash> settled;
    for (auto& burst : m_bursts) {
        if (burst.settleAt > now)
            continue;
        burst.countSilent(silentSince);
        for (auto& it : std::exchange(burst.unsettled, {}))
            settled.push_back(burst.settled(std::move(it)));
    }
    while (!m_bursts.empty() && m_bursts.front().unsettled.empty() && now - m_bursts.front().last > keptFor)
        m_bursts.pop_front();
    return settled;
}

std::optional<Common::Instant> CrashBursts::nextSettlement() const
{
    std::optional<Common::Instant> next;
    for (const auto& it : m_bursts) {
        if (!it.unsettled.empty())
            next = next ? std::min(*next, it.settleAt) : it.settleAt;
    }
    return next;
}

} // namespace Jobs
