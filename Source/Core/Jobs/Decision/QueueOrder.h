#pragma once

/// Order in which waiting steps are placed, designed for queues whose demand exceeds their pool several times for some
/// seconds. Steps of jobs that can still meet their objective go first, by slack, so that no capacity is spent on jobs that
/// will be late in any case. Late jobs follow by age, as long as their results are still of some use to their callers. Jobs
/// whose results are no longer of use go last: ordered by age they would precede all other late ones, and large jobs, which
/// wait longest for their last task, would never be served during a peak.
///
/// Jobs of one priority take turns (round robin), so that what one caller asks for doesn't starve the others. A turn is a few overlapping occurrences of a
/// scheduled job, or as many tasks of one occurrence as the pool runs at a time. A late occurrence counts as due when the one before it was
/// started.

#include "Jobs/Decision/JobTable.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace Jobs {

/// Best outcome that a job can still reach.
enum class Prospect {
    InTime,
    Late, ///< Within `usefulObjectiveMultiple` times its objective.
    Overdue,
};

/// A job that takes longer than this multiple of its objective is of no use to its caller, by the platform's rules on benefit.
constexpr int usefulObjectiveMultiple = 3;

/// Sort key of a step; lower goes first.
struct QueueKey {
    unsigned priority = 0;
    std::uint64_t turn = 0; ///< Jobs whose occurrences overlap, or that have more tasks than the pool holds, take turns with others.
    Prospect prospect = Prospect::InTime;
    bool isStarted = false; ///< The job has run tasks. Goes before equal ones, so that started jobs are finished.
    std::int64_t milliseconds = 0; ///< Slack; for late jobs, the wall time at which they were due, or at which their latest occurrence started.

    std::strong_ordering operator<=>(const QueueKey& other) const
    {
        if (const auto order = priority <=> other.priority; std::is_neq(order))
            return order;
        if (const auto order = turn <=> other.turn; std::is_neq(order))
            return order;
        if (const auto order = prospect <=> other.prospect; std::is_neq(order))
            return order;
        if (const auto order = other.isStarted <=> isStarted; std::is_neq(order))
            return order;
        return milliseconds <=> other.milliseconds;
    }
    bool operator==(const QueueKey&) const = default;
};

/// Sort key of a job's step at the time `now`. `position` is that of the occurrence among those in progress. A turn is
/// `tasksPerTurn` tasks of one occurrence.
QueueKey queueKeyOf(const Job&, unsigned occurrence, unsigned step, Common::WallTime now, std::size_t position, std::uint64_t tasksPerTurn);

/// Objective of a job under its queue's rules: time from acceptance to completion.
milliseconds objectiveOf(const JobSpec&, unsigned stretchPermille, milliseconds targetDuration);

} // namespace Jobs
