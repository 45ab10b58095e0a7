#pragma once

/// What operators and workers publish: queues, pools, workers, machines and maintenance waves.

#include "Jobs/Model/JobTypes.h"

#include <optional>
#include <string>
#include <vector>

namespace Jobs {

/// Advice on which workers may run a queue's steps, given by a service of the queue's team.
struct AdviceRule {
    milliseconds decision { 0 }; ///< Cost of a call.
    milliseconds perWorker { 0 }; ///< Cost of each worker named in it.
    milliseconds validity { 0 }; ///< Of a ticket.
};

/// Where jobs of a kind are submitted and how they are treated.
struct QueueRule {
    std::string name;
    std::string host; ///< Of the caller's URL.
    std::string prefix; ///< Of the caller's path.
    std::string pool;
    unsigned priority = 0; ///< Zero comes first.
    unsigned maximumAttempts = 1;
    unsigned stretchPermille = 1000; ///< The objective is this part of the job's longest chain, and targetDuration more.
    milliseconds targetDuration { 0 };
    std::optional<AdviceRule> advice;
};

/// A pool as configured.
struct PoolRule {
    std::string name;
    bool isStandby = false; ///< Its machines are off and cost nothing.
    bool refusesOverload = false; ///< Its workers refuse what doesn't fit.
};

/// A whole version of the operators' configuration.
struct JobConfiguration {
    std::uint64_t version = 0;
    std::vector<QueueRule> queues;
    std::vector<PoolRule> pools;

    const QueueRule* findQueue(const std::string& name) const;
    const PoolRule* findPool(const std::string& name) const;
    /// The queue of the host with the longest prefix of the path; null when there is none.
    const QueueRule* route(const std::string& host, const std::string& path) const;
};

/// A worker as it last reported to the platform.
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
    std::uint64_t incarnation = 0; ///< Changes with each start; zero when not told.
    Resources capacity;
    std::vector<std::string> labels;
    std::string rack; ///< One of the labels; empty when not told.
    milliseconds drainRemaining { 0 };

    bool hasLabel(const std::string& label) const;
};

/// A machine as the platform's machine service lists it.
struct Machine {
    enum class State {
        Up,
        Moving,
        Maintenance,
        Down,
    };
    std::string name;
    std::string pool;
    State state = State::Up;
    std::string worker; ///< Id of the worker that runs there.
    std::string dataCentre;
    std::vector<std::string> labels;
    Resources capacity;
};

/// Machines that are due for maintenance.
struct MaintenanceWave {
    std::uint64_t number = 0;
    std::vector<std::string> machines;
    milliseconds duration { 0 };
    unsigned maximumDown = 1; ///< Machines in maintenance at once.
};

} // namespace Jobs
