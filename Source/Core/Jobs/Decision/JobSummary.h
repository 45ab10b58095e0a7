#pragma once

/// Timing summary of a finished job, for logs and metrics.

#include "Jobs/Decision/JobTable.h"

#include <optional>
#include <string>

namespace Jobs {

/// How a job ended. The duration counts from acceptance or, for a scheduled job, from when its last occurrence was due.
struct JobSummary {
    std::string queue;
    JobState state = JobState::Completed;
    milliseconds duration { 0 };
    milliseconds objective { 0 };
    std::optional<milliseconds> untilFirstStart; ///< From when the job was due; nothing when an earlier owner placed the first run.
    unsigned runs = 0; ///< Runs placed, as far as this owner's journal still held their records.

    /// "in-time", "late" (within three times the objective), "overdue" or "cancelled".
    const char* outcome() const;
};

/// Summary of a job that ends at `endedAt`.
JobSummary summaryOf(const Job&, Common::WallTime endedAt);

} // namespace Jobs
