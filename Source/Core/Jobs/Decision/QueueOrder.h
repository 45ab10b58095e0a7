#pragma once

/// Order of waiting steps. Answers the load pattern in which a queue asks for several times its pool for some seconds:
/// what can still meet its objective goes first, by the time to spare, so that capacity isn't spent on jobs that are
/// late whatever happens. Late jobs follow by their age as long as their callers still have some use for them. Jobs that
/// are of no use any more come last: in order of age they would be in front of all other late ones, and large jobs, which
/// wait longest for their last task, would never be served in a peak.

#include "Jobs/Decision/JobTable.h"

#include <compare>

namespace Jobs {

/// What a job can still come to.
enum class Prospect {
    InTime,
    Late, ///< Within `usefulObjectives` times its objective.
    Overdue,
};

/// A job that takes more than so many times its objective is of no use to its caller; see the platform's rules on benefit.
constexpr int usefulObjectives = 3;

/// Position of a step in the queue; lower goes first.
struct QueueKey {
    unsigned priority = 0;
    Prospect prospect = Prospect::InTime;
    bool isBegun = false; ///< Of a job of which tasks have run; goes before others alike, so that work begun is finished.
    std::int64_t milliseconds = 0; ///< To spare; for late ones, when they became due.

    std::strong_ordering operator<=>(const QueueKey& other) const
    {
        if (const auto order = priority <=> other.priority; std::is_neq(order))
            return order;
        if (const auto order = prospect <=> other.prospect; std::is_neq(order))
            return order;
        if (const auto order = other.isBegun <=> isBegun; std::is_neq(order))
            return order;
        return milliseconds <=> other.milliseconds;
    }
    bool operator==(const QueueKey&) const = default;
};

/// Position of a step of a job at that time.
QueueKey queueKeyOf(const Job&, unsigned occurrence, unsigned step, Common::WallTime now);

/// Objective of a job that is accepted under these rules, from acceptance to completion.
milliseconds objectiveOf(const JobSpec&, unsigned stretchPermille, milliseconds targetDuration);

} // namespace Jobs
