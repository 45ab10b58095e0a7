#include "Jobs/Fleet/BoundedShare.h"

#include <algorithm>

namespace Jobs {

double BoundedShare::shareOf(const std::string& pool, const Pools& pools)
{
    double machines = 0;
    double needed = 0;
    double sharers = 1;
    for (const auto& [name, it] : pools) {
        machines += it.machines;
        if (name == pool)
            continue;
        const bool isShort = it.needed > it.machines;
        sharers += isShort ? 1 : 0;
        needed += isShort ? 0 : it.needed;
    }
    return sharers > 1 ? std::max(1.0, (machines - needed) / sharers) : machines;
}

} // namespace Jobs
