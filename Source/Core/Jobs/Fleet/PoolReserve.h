#pragma once

/// What each pool keeps of its machines, for a peak that no forecast announces and that may begin while no moves can be ordered. Does no
/// I/O and reads no clock.

#include "Common/Time.h"

#include <cstddef>
#include <map>
#include <string>

namespace Jobs {

using Common::Instant;

/// Numbers of machines that pools keep: a share of what their peaks took, or of what they had at first.
class PoolReserve {
public:
    /// Notes how many machines a pool has, and how many of them run tasks. Samples of a pool must come in order of time.
    void observe(const std::string& pool, unsigned present, unsigned busy, Instant now);
    /// Machines to keep, of a fleet of `machines`; zero for unknown pools. All pools together keep no more than half of the fleet.
    double of(const std::string& pool, std::size_t machines) const;

private:
    struct Pool {
        double peakMachines = 0; ///< Highest number that was busy, which decays; at first that of the pool's machines.
        Instant sampledAt {};
    };

    std::map<std::string, Pool> m_pools;
};

} // namespace Jobs
