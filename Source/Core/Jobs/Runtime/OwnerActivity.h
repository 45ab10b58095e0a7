#pragma once

/// What the owner of a pool does between two lines about its load: decisions, records and commits, and how long they take.

#include "Jobs/Decision/PoolCore.h"

namespace Jobs {

/// Used on the loop's thread only.
class OwnerActivity {
public:
    /// A decision that was due at a time, began and ended at others. Its records have gone to the journal by then.
    void decided(Instant dueAt, Instant beganAt, Instant endedAt);
    void recorded(const std::vector<JobRecord>&);
    void committed(Instant now, milliseconds took);

    /// Begins the next period.
    void reset();

    /// The line about the pool's load, in the period that ends now.
    LogEvent describe(const std::string& pool, const PoolPressure&, milliseconds stalledFor, Instant now) const;

private:
    struct Longest {
        std::chrono::microseconds last { 0 };
        std::chrono::microseconds longest { 0 }; ///< In this period.

        void add(std::chrono::microseconds);
    };

    unsigned m_decisions = 0;
    Longest m_decision;
    Longest m_decisionDelay; ///< Of its timer: the loop was busy with something else.
    Longest m_commit;
    Instant m_committedAt {}; ///< Zero before the first commit.
    unsigned m_accepted = 0;
    unsigned m_placed = 0;
    unsigned m_ended = 0;
};

} // namespace Jobs
