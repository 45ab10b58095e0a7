#pragma once

/// What the owner of a pool has decided: records to store, and orders that may leave once those are stored.

#include "Jobs/Decision/JobSummary.h"
#include "Jobs/Model/JobRecords.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Jobs {

/// Start a run on a worker.
struct StartRun {
    TaskKey task;
    RunNumber run = 0;
    std::string worker;
    std::string payload;
    std::string checkpoint;
    std::string ticket;
};

/// Stop a run.
struct StopRun {
    TaskKey task;
    RunNumber run = 0;
    std::string worker;
};

/// Let a filler work at a share of its speed.
struct ThrottleRun {
    TaskKey task;
    RunNumber run = 0;
    std::string worker;
    unsigned percent = 100;
};

/// Ask a queue's advice service which of these workers may run a step.
struct AskAdvice {
    TaskKey step; ///< Its index means nothing.
    std::vector<std::string> workers;
};

using PoolOrder = std::variant<StartRun, StopRun, ThrottleRun, AskAdvice>;

/// A decision to log.
struct LogEvent {
    const char* event = "";
    std::string id; ///< Of the job, worker or machine that it is about.
    std::vector<std::pair<const char*, std::string>> fields;
};

/// Everything decided since the last time.
struct PoolOutput {
    std::vector<JobRecord> records;
    std::vector<PoolOrder> orders;
    std::vector<LogEvent> log;
    std::vector<JobSummary> finished; ///< For metrics, as is the next.
    std::vector<milliseconds> firstStarts; ///< Of jobs, since they were due.

    bool empty() const { return records.empty() && orders.empty() && log.empty(); }
};

} // namespace Jobs
