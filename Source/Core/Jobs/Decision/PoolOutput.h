#pragma once

/// Output of a pool's decisions: records to store, and orders to send once the records are stored.

#include "Jobs/Decision/JobSummary.h"
#include "Jobs/Model/JobRecords.h"

#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace Jobs {

/// Order to start a run on a worker.
struct StartRun {
    TaskKey task;
    RunNumber run = 0;
    std::string worker;
    std::string payload;
    std::string checkpoint; ///< To resume from; empty for none.
    std::string ticket; ///< Of the advice service; empty for none.
};

/// Order to stop a run.
struct StopRun {
    TaskKey task;
    RunNumber run = 0;
    std::string worker;
};

/// Order to run a filler at a share of its full speed; zero pauses it.
struct ThrottleRun {
    TaskKey task;
    RunNumber run = 0;
    std::string worker;
    unsigned percent = 100;
};

/// Request to a queue's advice service: which of these workers may run a step?
struct AdviceRequest {
    TaskKey step; ///< The index is ignored.
    std::vector<std::string> workers;
};

using PoolOrder = std::variant<StartRun, StopRun, ThrottleRun, AdviceRequest>;

/// A log line about a decision.
struct LogEvent {
    const char* event = "";
    std::string id; ///< Of the job, worker or machine concerned.
    std::vector<std::pair<const char*, std::string>> fields;
};

/// A submission that was refused, as it couldn't end while it was of use.
struct RefusedJob {
    JobId job;
    std::string queue;
    milliseconds expected { 0 }; ///< Estimated time to its end.
    milliseconds usefulFor { 0 };
    milliseconds retryAfter { 0 };
};

/// Everything decided since the last PoolCore::takeOutput().
struct PoolOutput {
    std::vector<JobRecord> records;
    std::vector<PoolOrder> orders;
    std::vector<LogEvent> log;
    std::vector<JobSummary> finished; ///< Summaries of finished jobs, for metrics.
    std::vector<RefusedJob> refused; ///< For metrics and the log.
    std::vector<std::string> forgottenWorkers; ///< Workers without an entry that have no runs any more.
    std::vector<milliseconds> firstStarts; ///< Delays from when jobs were due to their first run, for metrics.

    /// Ignores the fields for metrics.
    bool empty() const { return records.empty() && orders.empty() && log.empty() && forgottenWorkers.empty(); }
};

} // namespace Jobs
