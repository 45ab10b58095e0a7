#include "Jobs/Model/FleetTypes.h"

#include <algorithm>

namespace Jobs {

const QueueRule* JobConfiguration::findQueue(const std::string& name) const
{
    const auto it = std::ranges::find(queues, name, &QueueRule::name);
    return it == queues.end() ? nullptr : &*it;
}

const PoolRule* JobConfiguration::findPool(const std::string& name) const
{
    const auto it = std::ranges::find(pools, name, &PoolRule::name);
    return it == pools.end() ? nullptr : &*it;
}

const QueueRule* JobConfiguration::route(const std::string& host, const std::string& path) const
{
    const QueueRule* best = nullptr;
    for (const auto& it : queues) {
        if (it.host == host && path.starts_with(it.prefix) && (!best || it.prefix.size() > best->prefix.size()))
            best = &it;
    }
    return best;
}

bool isSuccessor(const WorkerEntry& later, const WorkerEntry& earlier)
{
    return !later.machine.empty() && later.machine == earlier.machine && later.id != earlier.id && earlier.incarnation != 0 && later.incarnation > earlier.incarnation;
}

bool WorkerEntry::hasLabel(const std::string& label) const
{
    return std::ranges::find(labels, label) != labels.end();
}

} // namespace Jobs
