#pragma once

/// Counts and durations of the decisions, records and commits of a pool's owner, for the "pool-load" event.

#include "Jobs/Decision/PoolCore.h"

namespace Jobs {

/// Activity since the last reset(). Used on the loop's thread only.
class OwnerActivity {
public:
    /// Adds a decision, which ends when its records are handed to the journal.
    void addDecision(Instant dueAt, Instant beganAt, Instant endedAt);
    void addRecords(const std::vector<JobRecord>&);
    void addCommit(Instant now, milliseconds duration);

    /// Starts the next period.
    void reset();

    /// The "pool-load" event for the period that ends now. `stalledFor` is the age of the oldest pending commit, or zero.
    LogEvent loadEvent(const std::string& pool, const PoolPressure&, milliseconds stalledFor, Instant now) const;

private:
    struct DurationStat {
        std::chrono::microseconds last { 0 };
        std::chrono::microseconds longest { 0 }; ///< In this period.

        void add(std::chrono::microseconds);
    };

    unsigned m_decisions = 0;
    DurationStat m_decision;
    DurationStat m_decisionDelay; ///< Of the timer, as the loop was busy.
    DurationStat m_commit;
    Instant m_committedAt {}; ///< Zero before the first commit.
    unsigned m_accepted = 0;
    unsigned m_placed = 0;
    unsigned m_ended = 0;
};

} // namespace Jobs
