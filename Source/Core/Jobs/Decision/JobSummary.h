#pragma once

/// What a finished job's time went into, for logs and metrics.

#include "Jobs/Decision/JobTable.h"

#include <optional>
#include <string>

namespace Jobs {

/// Times count from acceptance; of a scheduled job, from when its last occurrence was due.
struct JobSummary {
    std::string queue;
    JobState state = JobState::Completed;
    milliseconds took { 0 };
    milliseconds objective { 0 };
    std::optional<milliseconds> untilFirstStart; ///< Nothing when an earlier owner placed the first run.
    unsigned runs = 0; ///< Placed, as far as the journal still told this owner.

    /// "in-time", "late" (within three times the objective), "overdue", or "cancelled".
    const char* outcome() const;
};

/// The account of a job that ends at that time.
JobSummary summaryOf(const Job&, Common::WallTime endedAt);

} // namespace Jobs
