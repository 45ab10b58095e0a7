#pragma once

/// The jobs of one pool: what each of their tasks has come to, as the journal's records tell it.

#include "Jobs/Model/JobRecords.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Jobs {

/// What has become of a task.
struct Task {
    enum class State {
        Waiting,
        Placed, ///< On a worker: ordered, running or being stopped.
        Done,
    };
    State state = State::Waiting;
    unsigned failures = 0;
    RunNumber lastRun = 0;
    std::string worker; ///< While placed.
    std::string checkpoint; ///< Newest one known; empty for none.
};

/// A step of one occurrence.
struct StepRun {
    std::vector<Task> tasks;
    unsigned doneCount = 0;
    unsigned placedCount = 0;
    unsigned gangFailures = 0;

    bool isDone() const { return doneCount == tasks.size(); }
    unsigned waitingCount() const { return static_cast<unsigned>(tasks.size()) - doneCount - placedCount; }
};

/// One pass through a job's steps.
struct Occurrence {
    std::vector<StepRun> steps;
    unsigned stepsDone = 0;
};

/// A job that was accepted.
struct Job {
    explicit Job(JobAccepted record)
        : accepted(std::move(record))
        , chains(chainsOf(accepted.spec))
    {
    }

    JobAccepted accepted;
    JobState state = JobState::Queued;
    Common::WallTime finishedAt {};
    std::map<unsigned, Occurrence> occurrences; ///< Those that began and aren't done.
    unsigned occurrencesBegun = 0;
    unsigned occurrencesDone = 0;
    std::vector<milliseconds> chains; ///< By step; see chainsOf().

    // For logs and metrics only; not in snapshots.
    Common::WallTime firstPlacedAt {}; ///< Zero until a run is placed, and when an owner before placed it.
    unsigned runs = 0; ///< Records of runs applied.

    const JobSpec& spec() const { return accepted.spec; }
    unsigned occurrenceCount() const { return std::max(1U, accepted.spec.repeatCount); }
    /// When the occurrence may begin.
    Common::WallTime dueAt(unsigned occurrence) const;
    StepRun* stepOf(const TaskKey&);
    const StepRun* stepOf(const TaskKey&) const;
    /// True when the steps before it are done.
    bool isReleased(unsigned occurrence, unsigned step) const;
};

/// Holds jobs and changes them by records only, so that a journal read again gives the same state. No I/O, no clock.
class JobTable {
public:
    /// Records that don't fit the state (of jobs that were forgotten) are ignored.
    void apply(const JobRecord&);
    /// Begins the next occurrence of a job; called when it is due, and by records of its runs.
    void beginOccurrence(Job&);

    Job* find(const JobId&);
    const Job* find(const JobId&) const;
    /// The task of a key; null when its job is final or the occurrence isn't under way.
    Task* findTask(const TaskKey&);

    /// Jobs that aren't final, in no order.
    std::unordered_map<JobId, Job>& active() { return m_active; }
    const std::unordered_map<JobId, Job>& active() const { return m_active; }
    std::size_t finishedCount() const { return m_finished.size(); }

    /// Visits every task of the occurrences under way.
    void forEachTask(const std::function<void(const Job&, const TaskKey&, const Task&)>&) const;

    /// Drops jobs that were final before that time.
    void forgetFinished(Common::WallTime before);
    /// Records that give this state again.
    std::vector<JobRecord> snapshot() const;
    /// State to show; nothing for an unknown job.
    const JobState* stateOf(const JobId&) const;

private:
    void applyRecord(const JobAccepted&);
    void applyRecord(const JobCancelled&);
    void applyRecord(const RunStarted&);
    void applyRecord(const RunEnded&);
    void applyRecord(const JobFinished&);
    void endTask(Job&, StepRun&, const RunEnded&);
    void failTask(Job&, StepRun&, Task&, const RunEnded&);
    void finishStep(Job&, const RunEnded&);
    void finish(const JobId&, JobState, Common::WallTime);

    struct Finished {
        std::string queue;
        JobState state = JobState::Completed;
        Common::WallTime at {};
    };

    std::unordered_map<JobId, Job> m_active;
    std::unordered_map<JobId, Finished> m_finished;
};

/// Visits the steps of which tasks wait for nothing but a place, with the job, the occurrence, the step and the number of
/// these tasks. The table may be const, and the jobs are then.
template<typename Table, typename Visit>
void forEachWaitingStep(Table& jobs, const Visit& visit)
{
    for (auto& [id, job] : jobs.active()) {
        for (const auto& [number, occurrence] : job.occurrences) {
            for (unsigned step = 0; step < occurrence.steps.size(); ++step) {
                const auto waiting = occurrence.steps[step].waitingCount();
                if (waiting > 0 && job.isReleased(number, step))
                    visit(job, number, step, waiting);
            }
        }
    }
}

} // namespace Jobs
