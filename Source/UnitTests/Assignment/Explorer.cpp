#include "Assignment/Explorer.h"

#include "Common/Rendezvous.h"

#include <algorithm>
#include <deque>
#include <unordered_set>

namespace OnePool {

namespace {

    /// 128-bit hash of a state. The chance of a collision among 10^7 states is below 10^-24.
    struct Fingerprint {
        std::uint64_t low = 0;
        std::uint64_t high = 0;

        bool operator==(const Fingerprint&) const = default;
    };

    struct FingerprintHash {
        std::size_t operator()(const Fingerprint& fingerprint) const { return fingerprint.low; }
    };

    constexpr std::uint64_t secondSeed = 0x9e3779b97f4a7c15;

    Fingerprint fingerprintOf(const World& world)
    {
        const std::string form = world.canonical();
        return { Common::hash64(form), Common::hash64(form, secondSeed) };
    }

    /// The state and the event that a state was first reached from.
    struct Origin {
        std::size_t parent = 0;
        Label label;
    };

    /// A state whose successors haven't been visited yet.
    struct FrontierEntry {
        std::size_t index = 0;
        World world;
    };

    std::vector<std::string> traceTo(const std::vector<Origin>& origins, std::size_t index)
    {
        std::vector<std::string> trace;
        for (; index; index = origins[index].parent)
            trace.push_back(origins[index].label.what + (" " + std::to_string(origins[index].label.actor)));
        std::reverse(trace.begin(), trace.end());
        return trace;
    }

    bool hasMoved(const World& world, const Scenario& scenario)
    {
        return std::any_of(world.store.record.upstreams.begin(), world.store.record.upstreams.end(), [&](const auto& entry) {
            return entry.second.pool != scenario.record.upstreams.at(entry.first).pool;
        });
    }

} // namespace

Exploration explore(const Scenario& scenario, std::size_t maximumStates)
{
    Exploration result;
    std::unordered_set<Fingerprint, FingerprintHash> visited;
    visited.reserve(maximumStates);
    std::vector<Origin> origins;
    std::deque<FrontierEntry> frontier;
    frontier.push_back({ 0, World::create(scenario) });
    origins.push_back({});
    visited.insert(fingerprintOf(frontier.front().world));
    while (!frontier.empty() && origins.size() < maximumStates) {
        const FrontierEntry current = std::move(frontier.front());
        frontier.pop_front();
        for (Successor& successor : successorsOf(current.world)) {
            if (!visited.insert(fingerprintOf(successor.world)).second)
                continue;
            const std::size_t index = origins.size();
            origins.push_back({ current.index, successor.label });
            result.moveCompleted |= hasMoved(successor.world, scenario);
            result.violation = successor.world.violation();
            if (!result.violation.empty()) {
                result.states = origins.size();
                result.trace = traceTo(origins, index);
                return result;
            }
            frontier.push_back({ index, std::move(successor.world) });
        }
    }
    result.states = origins.size();
    result.exhausted = frontier.empty();
    return result;
}

} // namespace OnePool
