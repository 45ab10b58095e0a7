#pragma once

/// Records of a pool's journal. Applying them in order gives the pool's state.

#include "Jobs/Model/JobTypes.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Jobs {

/// A job was accepted; what its queue's rules were then is kept with it.
struct JobAccepted {
    JobId job;
    std::string queue;
    unsigned priority = 0;
    unsigned maximumAttempts = 1;
    milliseconds objective { 0 }; ///< From acceptance to completion.
    Common::WallTime acceptedAt {};
    JobSpec spec;
};

/// A caller cancelled a job.
struct JobCancelled {
    JobId job;
    Common::WallTime at {};
};

/// A run is about to be ordered from a worker; recorded before the order leaves.
struct RunStarted {
    TaskKey task;
    RunNumber run = 0;
    std::string worker;
};

/// A run ended, or surely never ran.
struct RunEnded {
    TaskKey task;
    RunNumber run = 0;
    RunEnd how = RunEnd::Lost;
    std::string checkpoint; ///< Empty for none.
    Common::WallTime at {};
};

/// A job that has reached its final state; written by snapshots in place of its history.
struct JobFinished {
    JobId job;
    std::string queue;
    JobState state = JobState::Completed;
    Common::WallTime at {};
};

using JobRecord = std::variant<JobAccepted, JobCancelled, RunStarted, RunEnded, JobFinished>;

/// Appends a record to a text.
void appendRecord(std::string& out, const JobRecord&);

/// Reads the records of a text; false when it isn't whole, with those before the fault in `out`.
bool readRecords(std::string_view text, std::vector<JobRecord>& out);

} // namespace Jobs
