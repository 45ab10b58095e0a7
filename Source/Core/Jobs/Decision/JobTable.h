#pragma once

/// Jobs of one pool and the state of their tasks, as replayed from the journal's records.

#include "Jobs/Model/JobRecords.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Jobs {

/// State of one task.
struct Task {
    enum class State {
        Waiting,
        Placed, ///< Assigned to a worker: ordered, running or being stopped.
    };
    State state = State::Waiting;
    unsigned failures = 0; ///< Not used for members of a gang; see StepRun::gangFailures.
    RunNumber lastRun = 0; ///< Number of the newest run; zero before the first.
    std::string worker; ///< While placed.
    Common::WallTime placedAfter {}; ///< While placed: the run wasn't placed before then.
    Common::WallTime waitingSince {}; ///< While waiting: when its latest run ended. Zero before the first, or where a snapshot is all that is known.
    std::string checkpoint; ///< Newest one known; empty for none.
    CrashTally crashTally;
    RunNumber countedRun = 0; ///< See CrashCounted. Not in snapshots.
    bool hasOutlivedStart = false; ///< As this owner knows. Not in snapshots.
};

/// Progress of a step in one occurrence. Its memory depends on the tasks that are under way, not on how many the caller asked for.
struct StepRun {
    std::map<unsigned, Task> tasks; ///< By index: the tasks below `untouchedFrom` that aren't done.
    unsigned taskCount = 0;
    unsigned untouchedFrom = 0; ///< Tasks from this index on have never been placed.
    unsigned doneCount = 0;
    unsigned placedCount = 0;
    unsigned gangFailures = 0; ///< Runs of the gang that have failed, each counted once.
    RunNumber lastFailedRun = 0; ///< Of the gang.
    unsigned unfinishedBefore = 0; ///< Entries of StepSpec::after whose steps aren't done.
    std::map<std::string, unsigned> placedByWorker; ///< Number of placed tasks.

    bool isDone() const { return doneCount == taskCount; }
    bool isReleased() const { return unfinishedBefore == 0; }
    unsigned waitingCount() const { return taskCount - doneCount - placedCount; }
    /// The part of `waitingCount()` that has been placed before.
    unsigned returnedCount() const { return untouchedFrom - doneCount - placedCount; }
    /// Indices of the waiting tasks that have been placed before, in the order in which they are placed again: of lasting ones, each of which
    /// serves by itself, the longest waiting first.
    std::vector<unsigned> returnedTasks(bool isLasting) const;
    /// Null when the task is done or has never been placed.
    Task* find(unsigned index);
    const Task* find(unsigned index) const;
};

/// Progress of one pass through a job's steps.
struct Occurrence {
    std::vector<StepRun> steps;
    unsigned stepsDone = 0;
    std::uint64_t tasksBegun = 0; ///< Tasks that have been placed, each counted once.
};

/// An accepted job that isn't final.
struct Job {
    explicit Job(JobAccepted record)
        : accepted(std::move(record))
        , criticalPaths(criticalPathsOf(accepted.spec))
    {
    }

    JobAccepted accepted;
    JobState state = JobState::Queued;
    Common::WallTime finishedAt {};
    std::map<unsigned, Occurrence> occurrences; ///< Occurrences that have begun and aren't done, by number.
    unsigned occurrencesBegun = 0;
    unsigned occurrencesDone = 0;
    std::vector<milliseconds> criticalPaths; ///< By index of the step; see criticalPathsOf().

    // Not in snapshots. The first two are for the order and the backlog, the others are for logs and metrics only.
    Common::WallTime latestTurnAt {}; ///< When an occurrence was last started by this owner.
    bool hasStarted = false; ///< A task is known to have started, while the state is Running from the first placement on.
    Common::WallTime firstPlacedAt {}; ///< When this owner placed the job's first run; zero otherwise.
    unsigned runs = 0; ///< Number of RunStarted records applied.

    const JobSpec& spec() const { return accepted.spec; }
    unsigned occurrenceCount() const { return std::max(1U, accepted.spec.repeatCount); }
    /// When the occurrence may begin: at its scheduled time, or at acceptance for a job without a schedule.
    Common::WallTime dueAt(unsigned occurrence) const;
    /// Null when the occurrence of the key isn't in progress or there is no such step.
    StepRun* stepOf(const TaskKey&);
    const StepRun* stepOf(const TaskKey&) const;
    /// True when the occurrence is in progress and the steps that this one depends on are done.
    bool isReleased(unsigned occurrence, unsigned step) const;
};

/// Holds jobs. Their state changes only by records, so that replaying the journal restores it. Does no I/O and reads no clock.
class JobTable {
public:
    /// Applies a record. Records that don't fit the state, for example of a job that was dropped, are ignored.
    void apply(const JobRecord&);
    /// Begins the next occurrence of a job. PoolCore calls it once the occurrence is due; records of its runs imply it.
    void beginOccurrence(Job&);

    /// Null when there is no such job, or it is final.
    Job* find(const JobId&);
    const Job* find(const JobId&) const;
    /// Null when the job is final or unknown, the occurrence isn't in progress, or the task is done or has never been placed.
    Task* findTask(const TaskKey&);
    /// Like findTask(), but begins the occurrences up to the task's if they haven't begun, and returns tasks that have never been placed.
    Task* reachTask(const TaskKey&);

    /// Jobs that aren't final, in no particular order.
    std::unordered_map<JobId, Job>& active() { return m_active; }
    const std::unordered_map<JobId, Job>& active() const { return m_active; }
    /// Number of final jobs that are still retained.
    std::size_t finishedCount() const { return m_finished.size(); }

    /// Visits the tasks of the occurrences in progress that have been placed and aren't done.
    void forEachTask(const std::function<void(const Job&, const TaskKey&, const Task&)>&) const;

    /// Drops jobs that reached their final state, or were cancelled while unknown, before that time.
    void forgetFinished(Common::WallTime before);
    /// Returns records that restore this state when applied to an empty table.
    std::vector<JobRecord> snapshot() const;
    /// True if there is an active job, or one that became final at that time or later, that was accepted under that name of a queue. A
    /// job that was cancelled while it was unknown counts for all queues.
    bool hasJobOf(const std::string& queue, Common::WallTime finalSince) const;
    /// The same for jobs of any queue.
    bool hasJobs(Common::WallTime finalSince) const;
    /// State of an active or retained final job; null when the job is unknown.
    const JobState* stateOf(const JobId&) const;
    /// When a job that is unknown was last cancelled, while that is retained; null otherwise. It must not be accepted.
    const Common::WallTime* cancelledAheadAt(const JobId&) const;

private:
    /// Notes the record's time; those without one don't change it.
    void noteTime(Common::WallTime);
    void applyRecord(const JobAccepted&);
    void applyRecord(const JobCancelled&);
    void applyRecord(const RunStarted&);
    void applyRecord(const RunEnded&);
    void applyRecord(const JobFinished&);
    void applyRecord(const TaskSuspected&);
    void applyRecord(const CrashesUnconfirmed&);
    void applyRecord(const CrashCounted&);
    void applyRecord(const TasksDone&);
    void applyRecord(const OccurrencesDone&);
    static void applyRecord(const SuspicionGraded&) { } ///< PoolCore keeps these.
    static void applyRecord(const CrashAgesLearnt&) { }
    static void applyRecord(const TaskConfined&) { }
    static void applyRecord(const SourceCrashesLearnt&) { }
    bool hasCancelledAhead(Common::WallTime since) const;
    void endTask(Job&, StepRun&, Task&, const RunEnded&);
    void failTask(Job&, StepRun&, Task&, const RunEnded&);
    void finishStep(Job&, const TaskKey&, Common::WallTime);
    void finishOccurrences(Job&, unsigned count, Common::WallTime);
    void finish(const JobId&, JobState, Common::WallTime);

    struct Finished {
        std::string queue;
        JobState state = JobState::Completed;
        Common::WallTime at {};
    };

    std::unordered_map<JobId, Job> m_active;
    std::unordered_map<JobId, Finished> m_finished;
    std::unordered_map<JobId, Common::WallTime> m_cancelledAhead; ///< Jobs that were cancelled while they were unknown.
    Common::WallTime m_latestAt {}; ///< Latest time in the records applied so far.
};

/// Visits the steps that have tasks ready to be placed: waiting tasks whose earlier steps are done. Passes the job, the number
/// of the occurrence and its position among those in progress, the index of the step and the number of these tasks. Jobs are const when
/// the table is.
template<typename Table, typename Visit>
void forEachWaitingStep(Table& jobs, const Visit& visit)
{
    for (auto& [id, job] : jobs.active()) {
        std::size_t position = 0;
        for (const auto& [number, occurrence] : job.occurrences) {
            const auto place = position++;
            for (unsigned step = 0; step < occurrence.steps.size(); ++step) {
                const auto waiting = occurrence.steps[step].waitingCount();
                if (waiting > 0 && occurrence.steps[step].isReleased())
                    visit(job, number, place, step, waiting);
            }
        }
    }
}

} // namespace Jobs
