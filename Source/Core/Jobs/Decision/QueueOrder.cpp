#include "Jobs/Decision/QueueOrder.h"

#include <algorithm>

namespace Jobs {

QueueKey queueKeyOf(const Job& job, unsigned occurrence, unsigned step, Common::WallTime now, std::size_t position, std::uint64_t tasksPerTurn)
{
    constexpr std::size_t occurrencesPerTurn = 4;
    const bool isScheduled = job.spec().repeatCount > 0;
    const auto inProgress = job.occurrences.find(occurrence);
    const auto tasksBegun = inProgress == job.occurrences.end() ? 0 : inProgress->second.tasksBegun;
    QueueKey key;
    key.priority = job.accepted.priority;
    key.turn = position / occurrencesPerTurn;
    key.isStarted = isScheduled ? tasksBegun > 0 : job.state == JobState::Running;
    const auto dueAt = job.dueAt(occurrence);
    if (job.spec().steps[step].isLasting) {
        // A service is of use for as long as it runs: any wait costs benefit, but none makes it too late.
        key.isStarted = true;
        key.milliseconds = 0;
        return key;
    }
    key.turn += tasksBegun / tasksPerTurn;
    const auto earliestEnd = now + job.criticalPaths[step];
    const auto slack = dueAt + job.accepted.objective - earliestEnd;
    if (slack >= milliseconds(0)) {
        key.milliseconds = slack.count();
        return key;
    }
    const bool isUseful = dueAt + job.accepted.objective * usefulObjectiveMultiple >= earliestEnd;
    key.prospect = isUseful ? Prospect::Late : Prospect::Overdue;
    key.milliseconds = (isScheduled ? std::max(dueAt, job.latestTurnAt) : dueAt).time_since_epoch().count();
    return key;
}

milliseconds objectiveOf(const JobSpec& spec, unsigned stretchPermille, milliseconds targetDuration)
{
    constexpr std::int64_t permille = 1000;
    return criticalPathOf(spec) * std::int64_t { stretchPermille } / permille + targetDuration;
}

} // namespace Jobs
