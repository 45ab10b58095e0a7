#include "Jobs/Fleet/PoolReserve.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Jobs {

namespace {

    constexpr double keptShare = 0.1; ///< Of the machines that a pool's peaks took.
    constexpr double largestShare = 0.5; ///< Of the fleet that all pools keep together.
    constexpr std::chrono::minutes memory { 2 }; ///< Time constant with which a peak is forgotten.

} // namespace

void PoolReserve::observe(const std::string& name, unsigned present, unsigned busy, Instant now)
{
    const auto [it, isFirst] = m_pools.try_emplace(name);
    auto& pool = it->second;
    if (isFirst)
        pool.peakMachines = present;
    else
        pool.peakMachines *= std::exp(-std::chrono::duration<double>(now - pool.sampledAt) / std::chrono::duration<double>(memory));
    pool.peakMachines = std::max(pool.peakMachines, static_cast<double>(busy));
    pool.sampledAt = now;
}

double PoolReserve::of(const std::string& name, std::size_t machines) const
{
    const auto it = m_pools.find(name);
    if (it == m_pools.end())
        return 0;
    double total = 0;
    for (const auto& [other, pool] : m_pools)
        total += keptShare * pool.peakMachines;
    const auto limit = largestShare * static_cast<double>(machines);
    return keptShare * it->second.peakMachines * (total > limit ? limit / total : 1);
}

} // namespace Jobs
