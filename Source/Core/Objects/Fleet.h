#pragma once

/// Hosts and slots of each pool in each data centre, counted from a set's upstreams.

#include "Objects/Types.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Objects {

/// A pool's part in one data centre.
struct PoolPart {
    std::string pool;
    std::string dataCentre;
    std::uint64_t hosts = 0;
    std::uint64_t slots = 0;
};

/// Counts of a set; upstreams whose pool or data centre isn't known are left out.
class Fleet {
public:
    explicit Fleet(const ObjectSet&);

    /// The part of the pool in the data centre; zero hosts when it has none there.
    PoolPart part(const std::string& pool, const std::string& dataCentre) const;

    /// Parts of the pool with at least one host, by name of the data centre.
    std::vector<PoolPart> partsOf(const std::string& pool) const;

private:
    struct Key {
        std::string pool;
        std::string dataCentre;
        bool operator<(const Key& other) const { return std::tie(pool, dataCentre) < std::tie(other.pool, other.dataCentre); }
    };
    std::map<Key, PoolPart> m_parts;
};

/// Hosts out of `hosts` that have to stay available under the percentage, rounded up.
constexpr std::uint64_t hostsNeeded(std::uint64_t hosts, std::uint64_t minimumAvailablePercent)
{
    return (hosts * minimumAvailablePercent + 99) / 100;
}

/// Hosts of the part that may be away at once under every budget of its services; all of them when none guards it.
std::uint64_t permittedAway(const ObjectSet&, const PoolPart&);

} // namespace Objects
