#include "Jobs/Decision/JobSummary.h"

#include "Jobs/Decision/QueueOrder.h"

namespace Jobs {

const char* JobSummary::outcome() const
{
    if (state == JobState::Cancelled)
        return "cancelled";
    if (duration <= objective)
        return "in-time";
    return duration <= objective * usefulObjectiveMultiple ? "late" : "overdue";
}

JobSummary summaryOf(const Job& job, Common::WallTime endedAt)
{
    JobSummary summary;
    summary.queue = job.accepted.queue;
    summary.state = job.state;
    summary.duration = endedAt - job.dueAt(job.occurrenceCount() - 1);
    summary.objective = job.accepted.objective;
    if (job.firstPlacedAt != Common::WallTime())
        summary.untilFirstStart = job.firstPlacedAt - job.dueAt(0);
    summary.runs = job.runs;
    return summary;
}

} // namespace Jobs
