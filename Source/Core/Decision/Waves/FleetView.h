#pragma once

/// A planner's view of the hosts of one data centre. The runtime builds a new one for each tick.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Decision {

/// Health of a host. Unknown counts as down for a budget and as up for placement.
enum class HostHealth {
    Up,
    Down,
    Unknown,
};

/// A task in flight on a host.
struct RunningTask {
    std::string id;
    unsigned rank = 0; ///< Rank of its priority. The highest rank is the lowest priority and is stopped first.
    bool canCheckpoint = false;
};

/// State of one upstream as seen by the duty holder.
struct HostView {
    std::string name;
    std::string pool; ///< The pool that it is assigned to now.
    std::string homePool; ///< The pool that it is configured for; differs from `pool` while the host is lent.
    std::string rack;
    HostHealth health = HostHealth::Unknown;
    std::uint64_t incarnation = 0; ///< Changes with each reboot.
    bool serving = false; ///< Accepts new work: neither draining nor moving between pools.
    bool knownIdle = false; ///< Every entry host has confirmed that it has nothing in flight there.
    bool pinned = false;
    unsigned busySlots = 0;
    std::vector<RunningTask> tasks;
};

/// Hosts of one data centre.
struct FleetView {
    std::vector<HostView> hosts;
    std::map<std::string, unsigned> loadFloors; ///< Hosts that each pool needs for its current load; zero for pools that are absent.

    /// Returns null if no host has that name. Linear; use HostIndex for many lookups.
    const HostView* find(const std::string& name) const
    {
        for (const auto& host : hosts) {
            if (host.name == name)
                return &host;
        }
        return nullptr;
    }
};

/// Index of a view's hosts by name. The view must outlive the index and stay unchanged.
class HostIndex {
public:
    explicit HostIndex(const FleetView& view)
    {
        m_hosts.reserve(view.hosts.size());
        for (const auto& host : view.hosts)
            m_hosts.emplace(host.name, &host);
    }

    /// Returns null if no host has that name.
    const HostView* find(const std::string& name) const
    {
        const auto it = m_hosts.find(name);
        return it == m_hosts.end() ? nullptr : it->second;
    }

private:
    std::unordered_map<std::string_view, const HostView*> m_hosts;
};

} // namespace Decision
