#pragma once

/// Number of hosts and slots of each pool in each data centre.

#include "Objects/Types.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Objects {

/// The part of a pool that is in one data centre.
struct PoolPart {
    std::string pool;
    std::string dataCentre;
    std::uint64_t hosts = 0;
    std::uint64_t slots = 0;
};

/// Counts the upstreams of a set. Upstreams whose pool or data centre is unknown are left out.
class Fleet {
public:
    explicit Fleet(const ObjectSet&);

    /// The part of the pool in the data centre; has zero hosts if there are none.
    PoolPart part(const std::string& pool, const std::string& dataCentre) const;

    /// Parts of the pool with at least one host, sorted by data centre.
    std::vector<PoolPart> partsOf(const std::string& pool) const;

private:
    struct Key {
        std::string pool;
        std::string dataCentre;
        bool operator<(const Key& other) const { return std::tie(pool, dataCentre) < std::tie(other.pool, other.dataCentre); }
    };
    std::map<Key, PoolPart> m_parts;
};

/// Number of hosts, out of `hosts`, that must stay available, rounded up.
constexpr std::uint64_t minimumAvailableHosts(std::uint64_t hosts, std::uint64_t minimumAvailablePercent)
{
    return (hosts * minimumAvailablePercent + 99) / 100;
}

/// Number of hosts of the part that the budgets of its services allow to be unavailable at once; all if there is no budget.
std::uint64_t maximumUnavailable(const ObjectSet&, const PoolPart&);

} // namespace Objects
