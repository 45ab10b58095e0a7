#pragma once

/// What a planner knows of the hosts of one data centre. Built anew by the runtime for each tick.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Decision {

/// State of a host. Unknown counts as down for a budget and as up for placement.
enum class HostHealth {
    Up,
    Down,
    Unknown,
};

/// A task in flight on a host.
struct RunningTask {
    std::string id;
    unsigned rank = 0; ///< Of its priority; the highest rank is stopped first.
    bool canCheckpoint = false;
};

/// One upstream as the duty holder sees it.
struct HostView {
    std::string name;
    std::string pool; ///< The pool it is assigned to now.
    std::string homePool; ///< The pool it was published in.
    std::string rack;
    HostHealth health = HostHealth::Unknown;
    std::uint64_t incarnation = 0; ///< Differs after each reboot.
    bool serving = false; ///< Takes new work: neither draining nor between two pools.
    bool knownIdle = false; ///< Every entry host has answered that it has nothing in flight there.
    bool pinned = false;
    unsigned busySlots = 0;
    std::vector<RunningTask> tasks;
};

/// Hosts of one data centre.
struct FleetView {
    std::vector<HostView> hosts;
    std::map<std::string, unsigned> loadFloors; ///< Hosts that a pool needs for its present load; absent for none.

    /// Null when no host has that name.
    const HostView* find(const std::string& name) const
    {
        for (const auto& host : hosts) {
            if (host.name == name)
                return &host;
        }
        return nullptr;
    }
};

/// Finds hosts of a view by name; the view must outlive it unchanged.
class HostIndex {
public:
    explicit HostIndex(const FleetView& view)
    {
        m_hosts.reserve(view.hosts.size());
        for (const auto& host : view.hosts)
            m_hosts.emplace(host.name, &host);
    }

    /// Null when no host has that name.
    const HostView* find(const std::string& name) const
    {
        const auto it = m_hosts.find(name);
        return it == m_hosts.end() ? nullptr : it->second;
    }

private:
    std::unordered_map<std::string_view, const HostView*> m_hosts;
};

} // namespace Decision
