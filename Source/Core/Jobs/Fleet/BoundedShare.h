#pragma once

/// How many machines a pool may keep for sources that crash their workers. A busy machine isn't lent, and one that is down returns to
/// its pool, so that such a source would keep the machines that it was ever given. Does no I/O and reads no clock.

#include <map>
#include <string>

namespace Jobs {

/// Divides machines between a pool with such a source and those that lack machines.
class BoundedShare {
public:
    /// A pool's machines and what it needs of them.
    struct Pool {
        double machines = 0; ///< In the pool or on the way to it, and those that are down and return.
        double needed = 0; ///< For work that isn't bounded; zero for a standby pool.
    };
    using Pools = std::map<std::string, Pool>;

    /// Number of machines that the pool may keep: an equal share among it and the others that lack machines, of those that the rest don't
    /// need. At least one; all while none lacks any.
    static double shareOf(const std::string& pool, const Pools&);
};

} // namespace Jobs
