#pragma once

/// Order of waiting steps. Answers the load pattern in which a queue asks for several times its pool for some seconds:
/// what can still meet its objective goes first, by the time to spare, so that capacity isn't spent on jobs that are
/// late whatever happens; these follow in the order of their age, so that none starves.

#include "Jobs/Decision/JobTable.h"

#include <compare>

namespace Jobs {

/// Position of a step in the queue; lower goes first.
struct QueueKey {
    unsigned priority = 0;
    bool isLate = false; ///< Can't meet its objective any more.
    bool isBegun = false; ///< Of a job of which tasks have run; goes before others alike, so that work begun is finished.
    std::int64_t milliseconds = 0; ///< To spare; for late ones, when they became due.

    std::strong_ordering operator<=>(const QueueKey& other) const
    {
        if (const auto order = priority <=> other.priority; std::is_neq(order))
            return order;
        if (const auto order = isLate <=> other.isLate; std::is_neq(order))
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
