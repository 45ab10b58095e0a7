#include "Objects/Fleet.h"

#include <algorithm>

namespace Objects {

Fleet::Fleet(const ObjectSet& set)
{
    for (const auto& [name, upstream] : set.upstreams) {
        const auto dataCentre = set.dataCentreOf(upstream);
        if (!dataCentre || !set.pools.contains(upstream.pool))
            continue;
        auto& part = m_parts.try_emplace({ upstream.pool, *dataCentre }, PoolPart { upstream.pool, *dataCentre }).first->second;
        ++part.hosts;
        part.slots += upstream.slots;
    }
}

PoolPart Fleet::part(const std::string& pool, const std::string& dataCentre) const
{
    const auto it = m_parts.find({ pool, dataCentre });
    return it == m_parts.end() ? PoolPart { pool, dataCentre } : it->second;
}

std::vector<PoolPart> Fleet::partsOf(const std::string& pool) const
{
    std::vector<PoolPart> parts;
    for (auto it = m_parts.lower_bound({ pool, {} }); it != m_parts.end() && it->first.pool == pool; ++it)
        parts.push_back(it->second);
    return parts;
}

std::uint64_t maximumUnavailable(const ObjectSet& set, const PoolPart& part)
{
    std::uint64_t permitted = part.hosts;
    for (const auto& [name, budget] : set.budgets) {
        const auto it = set.services.find(budget.service);
        if (it == set.services.end() || it->second.pool != part.pool || budget.dataCentre != part.dataCentre)
            continue;
        const auto needed = std::min(part.hosts, minimumAvailableHosts(part.hosts, budget.minimumAvailablePercent));
        permitted = std::min(permitted, part.hosts - needed);
    }
    return permitted;
}

} // namespace Objects
