#pragma once

/// Port towards the workers of a pool: runs are started, stopped, throttled and looked at under leases.

#include "Jobs/Model/JobTypes.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Ports {

/// A time on a worker's own steady clock, which starts anew with each incarnation.
using WorkerTime = std::chrono::milliseconds;

/// Which worker is called, and the incarnation that is meant.
struct WorkerTarget {
    std::string worker;
    std::string address; ///< "ip:port".
};

/// How a call ended.
enum class WorkerStatus {
    Done, ///< Also when a run that is to start is there already.
    Refused, ///< Surely did nothing; see the refusal.
    Unhealthy, ///< Surely did nothing: the worker turns calls away.
    OtherIncarnation, ///< Surely did nothing: another worker answers at that address.
    NotSent, ///< Surely did nothing.
    NoAnswer, ///< May have been carried out, or may be seconds later.
};

/// Why a worker refused.
enum class WorkerRefusal {
    None,
    Fence, ///< It has seen a higher fence.
    StaleRun, ///< A run of the task that isn't lower was stopped or ended there.
    LeaseExpired, ///< The lease named is over.
    NoRoom,
    Ticket, ///< The ticket of the queue's advice is missing or not valid.
    Malformed,
};

/// Answer to a call; the clock is zero when there was no body.
struct WorkerAnswer {
    WorkerStatus status = WorkerStatus::NoAnswer;
    WorkerRefusal refusal = WorkerRefusal::None;
    WorkerTime clock { 0 };
};

/// Starts a run. Extends the worker's lease to `leaseUntil`, also when it is refused for room or as old.
struct StartOrder {
    WorkerTarget target;
    Jobs::TaskKey task;
    Jobs::RunNumber run = 0;
    std::string payload;
    WorkerTime leaseUntil { 0 };
    Jobs::Fence fence = 0;
    std::string checkpoint; ///< Empty for none.
    std::string ticket; ///< Empty for none.
};

/// Stops a run; one that isn't there yet will be refused when it comes.
struct StopOrder {
    WorkerTarget target;
    Jobs::TaskKey task;
    Jobs::RunNumber run = 0;
    Jobs::Fence fence = 0;
};

/// Lets a task work at a share of its speed.
struct ThrottleOrder {
    WorkerTarget target;
    Jobs::TaskKey task;
    Jobs::RunNumber run = 0;
    unsigned percent = 100;
    Jobs::Fence fence = 0;
};

/// Extends the worker's lease and asks what runs and what has ended; waits for an end when there is none.
struct PollOrder {
    WorkerTarget target;
    Jobs::Fence fence = 0;
    std::uint64_t acknowledgedThrough = 0; ///< Ends up to this number are forgotten.
    WorkerTime leaseUntil { 0 }; ///< Zero extends nothing.
    std::chrono::milliseconds wait { 0 };
};

/// A run at work.
struct RunningTask {
    Jobs::TaskKey task;
    Jobs::RunNumber run = 0;
    std::string checkpoint;
    unsigned percent = 0; ///< Of its work; 100 when a lasting task is at work.
    std::uint64_t measure = 0; ///< Tail latency in milliseconds of a lasting task with users, else thousandths of cores in use.
};

/// A run that has ended and whose end wasn't taken yet.
struct EndedTask {
    std::uint64_t number = 0; ///< Counts from 1 in each incarnation.
    Jobs::TaskKey task;
    Jobs::RunNumber run = 0;
    Jobs::RunEnd runEnd = Jobs::RunEnd::Lost;
    std::string checkpoint;
};

/// Answer to a look.
struct PollAnswer {
    WorkerAnswer answer;
    std::uint64_t incarnation = 0; ///< Zero when the worker doesn't tell.
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended;
};

using WorkerCallback = std::function<void(WorkerAnswer)>;
using PollCallback = std::function<void(PollAnswer)>;

/// Calls workers. Every call returns at once; its callback runs later, once, on the loop that the port was made with.
class WorkerPort {
public:
    virtual ~WorkerPort() = default;
    virtual void start(const StartOrder&, WorkerCallback) = 0;
    virtual void stop(const StopOrder&, WorkerCallback) = 0;
    virtual void throttle(const ThrottleOrder&, WorkerCallback) = 0;
    virtual void poll(const PollOrder&, PollCallback) = 0;
};

} // namespace Ports
