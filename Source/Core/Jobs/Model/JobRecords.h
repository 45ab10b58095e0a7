#pragma once

/// Records of a pool's journal and their encoding. Applying the records in order restores the pool's state.

#include "Jobs/Model/JobTypes.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Jobs {

/// A job was accepted. Holds the rules of its queue as they were then, so that later changes don't affect the job.
struct JobAccepted {
    JobId job;
    std::string queue;
    unsigned priority = 0; ///< Zero goes first.
    unsigned maximumAttempts = 1; ///< Failures of one task, or of a gang, that fail the job.
    milliseconds objective { 0 }; ///< Target time from `acceptedAt` to completion.
    Common::WallTime acceptedAt {}; ///< When the caller first handed the job in, where the owner knows of refused attempts.
    JobSpec spec;
};

/// A caller cancelled a job. One that is unknown must not be accepted later: its submission may still be under way.
struct JobCancelled {
    JobId job;
    Common::WallTime at {};
};

/// A run was placed on a worker. Stored before the start order is sent.
struct RunStarted {
    TaskKey task;
    RunNumber run = 0;
    std::string worker;
};

/// A run ended, or is known never to have run.
struct RunEnded {
    TaskKey task;
    RunNumber run = 0;
    RunEnd how = RunEnd::Lost;
    std::string checkpoint; ///< Empty for none.
    Common::WallTime at {};
};

/// A job that has reached its final state; replaces its history in snapshots.
struct JobFinished {
    JobId job;
    std::string queue;
    JobState state = JobState::Completed;
    Common::WallTime at {};
};

/// Replaces a task's tally of crashes, except that CrashTally::unconfirmed isn't stored and is zero when decoded.
struct TaskSuspected {
    TaskKey task;
    CrashTally tally;
};

/// Replaces what is known about a suspect in addition to its tally.
struct SuspicionGraded {
    TaskKey task;
    bool isDoubtful = false; ///< Its tally counts a crash of a worker on which it may not have started.
    bool isLikely = false; ///< Nothing else explained a crash.
};

/// Replaces the times from their starts to the crashes of the latest tasks that were given up, the oldest first.
struct CrashAgesLearnt {
    std::vector<milliseconds> ages;
    Common::WallTime at {}; ///< Of the latest of these crashes.
};

/// Replaces CrashTally::unconfirmed of a task's tally.
struct CrashesUnconfirmed {
    TaskKey task;
    unsigned count = 0;
};

/// A lasting task that crashes its workers runs alone on its worker from now on, or no longer.
struct TaskConfined {
    TaskKey task;
    bool isConfined = false;
};

/// Replaces how often starts of tasks of a source have crashed their workers; see SourceEvidence.h.
struct SourceCrashesLearnt {
    std::string queue;
    std::string client;
    std::uint64_t crashesPermille = 0; ///< Thousandths, as older ones count less.
    std::uint64_t outlivedPermille = 0; ///< Starts that crashed nothing.
    bool isBounded = false;
    Common::WallTime at {};
};

/// Tasks of a step that follow each other are done; replaces their history in snapshots.
struct TasksDone {
    TaskKey first;
    unsigned count = 0;
};

/// Occurrences of a job that follow each other are done; replaces their history in snapshots.
struct OccurrencesDone {
    JobId job;
    unsigned first = 0;
    unsigned count = 0;
};

/// The crash under that run has been counted, though the run may not be over: the worker's next incarnation may run it.
struct CrashCounted {
    TaskKey task;
    RunNumber run = 0;
};

/// The kind is stored as the index, so new ones go to the end. Earlier versions can't read the kinds that they don't know.
using JobRecord = std::variant<JobAccepted, JobCancelled, RunStarted, RunEnded, JobFinished, TaskSuspected, SuspicionGraded, CrashAgesLearnt, CrashesUnconfirmed, TaskConfined, SourceCrashesLearnt, TasksDone, OccurrencesDone, CrashCounted>;

/// True for kinds that versions since TaskSuspected don't know. They can't load snapshots with such records.
inline bool isEvidence(const JobRecord& record)
{
    return std::holds_alternative<SuspicionGraded>(record) || std::holds_alternative<CrashAgesLearnt>(record) || std::holds_alternative<CrashesUnconfirmed>(record) || std::holds_alternative<TaskConfined>(record) || std::holds_alternative<SourceCrashesLearnt>(record) || std::holds_alternative<CrashCounted>(record);
}

/// Appends the encoded record to `out`.
void appendRecord(std::string& out, const JobRecord&);

/// Appends the decoded records to `out`. Returns false when the text is truncated or malformed; `out` then holds the records
/// before the error.
bool readRecords(std::string_view text, std::vector<JobRecord>& out);

} // namespace Jobs
