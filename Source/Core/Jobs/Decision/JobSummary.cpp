#include "Jobs/Decision/JobSummary.h"

#include "Jobs/Decision/QueueOrder.h"

namespace Jobs {

const char* JobSummary::outcome() const
{
    if (state == JobState::Cancelled)
        return "cancelled";
    if (took <= objective)
        return "in-time";
    return took <= objective * usefulObjectives ? "late" : "overdue";
}

JobSummary summaryOf(const Job& job, Common::WallTime endedAt)
{
    JobSummary account;
    account.queue = job.accepted.queue;
    account.state = job.state;
    account.took = endedAt - job.dueAt(job.occurrenceCount() - 1);
    account.objective = job.accepted.objective;
    if (job.firstPlacedAt != Common::WallTime())
        account.untilFirstStart = job.firstPlacedAt - job.dueAt(0);
    account.runs = job.runs;
    return account;
}

} // namespace Jobs
