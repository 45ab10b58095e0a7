#include "Jobs/Fleet/PeakForecast.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace Jobs {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds fastTime { 350 }; ///< A peak is seen after two or three samples.
    constexpr milliseconds slowTime { 8000 }; ///< About two turns.
    constexpr double risingRatio = 2.0; ///< Fast over slow mean.
    constexpr double fallingRatio = 0.6;
    constexpr double risingFloor = 24000; ///< Thousandths of cores: one job of the wider kind is no peak.
    constexpr double risingShare = 0.2; ///< Of the highest peak of any pool; below it, a rise is a job or two.
    constexpr milliseconds shortestTurn { 2000 }; ///< About a move: pools that peak closer together than that don't take turns.
    constexpr std::size_t gapsKept = 6;
    constexpr double regularSpread = 0.35; ///< Largest deviation of a gap from the median, as a part of it.
    constexpr double fading = 0.8; ///< Of a peak's height, from one peak to the next.

    double blend(double mean, double sample, std::chrono::microseconds elapsed, milliseconds time)
    {
        const double share = 1 - std::exp(-static_cast<double>(elapsed.count()) / static_cast<double>(std::chrono::microseconds(time).count()));
        return mean + (sample - mean) * share;
    }

} // namespace

void PeakForecast::observe(const std::string& name, double milliCores, Instant now)
{
    auto& pool = m_pools[name];
    if (pool.sampledAt == Instant()) {
        // What is there at the first look isn't a rise.
        pool.fast = milliCores;
        pool.slow = milliCores;
    } else {
        const auto elapsed = now - pool.sampledAt;
        pool.fast = blend(pool.fast, milliCores, elapsed, fastTime);
        pool.slow = blend(pool.slow, milliCores, elapsed, slowTime);
    }
    pool.sampledAt = now;
    const double least = std::max(risingRatio * pool.slow + risingFloor, risingShare * highestPeak());
    if (!pool.isPeaking && pool.fast > least) {
        pool.isPeaking = true;
        pool.highest *= fading;
        peakBegan(name, now);
    } else if (pool.isPeaking && pool.fast < fallingRatio * pool.slow + risingFloor / 2) {
        pool.isPeaking = false;
    }
    if (pool.isPeaking)
        pool.highest = std::max(pool.highest, pool.fast);
}

double PeakForecast::highestPeak() const
{
    double highest = 0;
    for (const auto& [name, pool] : m_pools)
        highest = std::max(highest, pool.highest);
    return highest;
}

void PeakForecast::peakBegan(const std::string& name, Instant now)
{
    if (isPeaking(m_lastPool) && m_lastPool != name && now - m_lastStart < shortestTurn)
        return;
    auto& pool = m_pools[name];
    pool.hasPeaked = true;
    pool.peakedAt = now;
    if (!m_lastPool.empty() && m_lastPool != name) {
        m_gaps.push_back(now - m_lastStart);
        if (m_gaps.size() > gapsKept)
            m_gaps.pop_front();
    }
    m_lastPool = name;
    m_lastStart = now;
}

bool PeakForecast::isPeaking(const std::string& name) const
{
    const auto it = m_pools.find(name);
    return it != m_pools.end() && it->second.isPeaking;
}

std::optional<ExpectedPeak> PeakForecast::next(Instant now) const
{
    if (m_gaps.empty())
        return std::nullopt;
    std::vector<std::chrono::microseconds> sorted(m_gaps.begin(), m_gaps.end());
    std::ranges::sort(sorted);
    const auto median = sorted[sorted.size() / 2];
    const auto deviation = std::chrono::abs(m_gaps.back() - median);
    if (static_cast<double>(deviation.count()) > regularSpread * static_cast<double>(median.count()))
        return std::nullopt;
    // The pool whose peak is the longest ago is next; one that hasn't peaked yet can only be told when it is the only one.
    const Pool* found = nullptr;
    std::string name;
    unsigned unseen = 0;
    for (const auto& [it, pool] : m_pools) {
        if (it == m_lastPool || pool.isPeaking)
            continue;
        unseen += pool.hasPeaked ? 0 : 1;
        const bool isEarlier = !found || (!pool.hasPeaked && found->hasPeaked) || (pool.hasPeaked == found->hasPeaked && pool.peakedAt < found->peakedAt);
        if (isEarlier) {
            found = &pool;
            name = it;
        }
    }
    if (!found || unseen > 1 || m_lastStart + median * 2 < now)
        return std::nullopt;
    return ExpectedPeak { name, m_lastStart + median, found->hasPeaked ? found->highest : highestPeak() };
}

} // namespace Jobs
