#include "Jobs/Fleet/DemandTrend.h"

#include <algorithm>

namespace Jobs {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds window { 700 }; ///< Three or four steps of the planner.
    constexpr std::size_t minimumCount = 3;
    constexpr milliseconds longestPause { 1200 }; ///< Of a peak's rise.

} // namespace

void DemandTrend::observe(const std::string& name, double machines, Instant now)
{
    auto& pool = m_pools[name];
    pool.samples.push_back({ machines, now });
    while (now - pool.samples.front().at > window)
        pool.samples.pop_front();
    pool.rate = steadyRate(pool.samples);
    if (pool.rate < pool.highestRate && now - pool.highestAt <= longestPause)
        return;
    pool.highestRate = pool.rate;
    pool.highestAt = now;
}

double DemandTrend::steadyRate(const std::deque<Sample>& samples)
{
    if (samples.size() < minimumCount)
        return 0;
    const auto rate = [](const Sample& from, const Sample& to) {
        return (to.machines - from.machines) / std::max(1e-3, std::chrono::duration<double>(to.at - from.at).count());
    };
    const auto& middle = samples[samples.size() / 2];
    // A single large job raises only one of the halves.
    return std::max(0.0, std::min(rate(samples.front(), middle), rate(middle, samples.back())));
}

double DemandTrend::riseWithin(milliseconds time, const std::string& pool) const
{
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? 0 : it->second.rate * std::chrono::duration<double>(time).count();
}

double DemandTrend::highestRiseWithin(milliseconds time, const std::string& pool) const
{
    const auto it = m_pools.find(pool);
    return it == m_pools.end() ? 0 : it->second.highestRate * std::chrono::duration<double>(time).count();
}

} // namespace Jobs
