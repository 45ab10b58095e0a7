#pragma once

/// Objects that operators and workers publish: queues, pools, workers, machines and maintenance waves.

#include "Jobs/Model/JobTypes.h"

#include <optional>
#include <string>
#include <vector>

namespace Jobs {

/// Rules for calls of a team's advice service, which decides which workers may run the steps of a queue and issues a ticket
/// for each of them.
struct AdviceRule {
    milliseconds decision { 0 }; ///< Duration of a call, without the time for each worker.
    milliseconds perWorker { 0 }; ///< Additional duration for each worker named in the call.
    milliseconds validity { 0 }; ///< How long a ticket is valid.
};

/// A queue: where its jobs are submitted, and the rules that they run under.
struct QueueRule {
    std::string name;
    std::string host; ///< Host of the URL that callers use.
    std::string prefix; ///< Prefix of the path that callers use.
    std::string pool; ///< Pool whose workers run the jobs.
    unsigned priority = 0; ///< Zero goes first.
    unsigned maximumAttempts = 1; ///< Failures of one task, or of a gang, that fail the job.
    unsigned stretchPermille = 1000; ///< The objective is this part of the job's critical path plus targetDuration.
    milliseconds targetDuration { 0 };
    std::optional<AdviceRule> advice; ///< Nothing when any worker of the pool may run the steps.
};

/// A pool as configured.
struct PoolRule {
    std::string name;
    bool isStandby = false; ///< Its machines are switched off and cost nothing.
    bool refusesOverload = false; ///< Its workers refuse tasks that don't fit their free capacity.
};

/// One complete version of the operators' configuration.
struct JobConfiguration {
    std::uint64_t version = 0;
    std::vector<QueueRule> queues;
    std::vector<PoolRule> pools;
    unsigned itemsLeftOut = 0; ///< Queues and pools of this version that couldn't be read.

    /// Null when there is none of that name.
    const QueueRule* findQueue(const std::string& name) const;
    /// Null when there is none of that name.
    const PoolRule* findPool(const std::string& name) const;
    /// The queue of the host whose prefix is the longest one that matches the path; null when none matches.
    const QueueRule* route(const std::string& host, const std::string& path) const;
};

/// A worker's entry, as it last registered with the platform.
struct WorkerEntry {
    enum class State {
        Ready,
        Draining,
    };
    std::string id;
    std::string machine;
    std::string pool;
    std::string address; ///< "ip:port".
    std::string dataCentre;
    State state = State::Ready;
    std::uint64_t incarnation = 0; ///< Unix time in milliseconds of the worker's start; zero when unknown.
    Resources capacity;
    std::vector<std::string> labels;
    std::string rack; ///< Taken from the labels; empty when unknown.
    milliseconds drainRemaining { 0 }; ///< While draining: time until the worker stops.

    bool hasLabel(const std::string& label) const;
    bool operator==(const WorkerEntry&) const = default;
};

/// True when `later` was started on the machine of `earlier`, which therefore runs no longer: a machine runs one worker at a time.
bool isSuccessor(const WorkerEntry& later, const WorkerEntry& earlier);

/// A machine as the platform's machine service lists it.
struct Machine {
    enum class State {
        Up,
        Moving,
        Maintenance,
        Down,
        Unknown, ///< Its item couldn't be read; the name and the worker's id may be empty. Proves nothing about its worker.
    };
    std::string name;
    std::string pool; ///< Pool that the machine currently belongs to.
    State state = State::Up;
    std::string worker; ///< Id of the worker that runs there.
    std::string dataCentre;
    std::vector<std::string> labels;
    Resources capacity;
};

/// A maintenance wave: machines that are due for maintenance.
struct MaintenanceWave {
    std::uint64_t number = 0;
    std::vector<std::string> machines;
    milliseconds duration { 0 }; ///< Time that the operators allow for the whole wave.
    unsigned maximumDown = 1; ///< Machines that may be in maintenance at the same time.
};

} // namespace Jobs
