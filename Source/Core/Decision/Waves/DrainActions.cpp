#include "Decision/Waves/DrainActions.h"

#include <algorithm>
#include <cstdint>
#include <optional>

namespace Decision {

namespace {

    /// Tasks of the returned rank and of higher numbers are stopped. Nothing is returned before the limit.
    std::optional<unsigned> firstStoppedRank(std::chrono::milliseconds elapsed, const DrainLimits& limits)
    {
        if (elapsed < limits.limit)
            return std::nullopt;
        const auto interval = std::max(limits.stopInterval, std::chrono::milliseconds(1));
        const auto levels = std::min<std::int64_t>((elapsed - limits.limit) / interval, limits.lowestRank);
        return limits.lowestRank - static_cast<unsigned>(levels);
    }

    bool hasSeveralRanks(const HostView& host)
    {
        return std::any_of(host.tasks.begin(), host.tasks.end(), [&](const RunningTask& it) { return it.rank != host.tasks.front().rank; });
    }

    unsigned highestRank(const HostView& host)
    {
        unsigned highest = 0;
        for (const auto& task : host.tasks)
            highest = std::max(highest, task.rank);
        return highest;
    }

} // namespace

std::vector<ControlTask> drainActions(const HostView& host, std::chrono::milliseconds elapsed, const DrainLimits& limits)
{
    const auto stopped = firstStoppedRank(elapsed, limits);
    const bool throttles = hasSeveralRanks(host) && elapsed >= limits.limit / 2;
    const auto worst = highestRank(host);
    std::vector<ControlTask> actions;
    for (const auto& task : host.tasks) {
        if (stopped && task.rank >= *stopped)
            actions.push_back({ host.name, task.id, TaskAction::Stop });
        else if (task.canCheckpoint)
            actions.push_back({ host.name, task.id, TaskAction::Checkpoint });
        else if (throttles && task.rank == worst)
            actions.push_back({ host.name, task.id, TaskAction::Throttle });
    }
    return actions;
}

} // namespace Decision
