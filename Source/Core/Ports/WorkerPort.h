#pragma once

/// Port for the workers of a pool: starts, stops, throttles and polls runs. A worker runs tasks only under a lease
/// that these calls extend.

#include "Jobs/Model/JobTypes.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Ports {

/// A time on a worker's own steady clock, which restarts with each incarnation.
using WorkerTime = std::chrono::milliseconds;

/// Address of a worker and the instance expected there.
struct WorkerTarget {
    std::string worker; ///< Worker id; another instance answers with OtherIncarnation.
    std::string address; ///< "ip:port".
};

/// Result of a call.
enum class WorkerStatus {
    Done, ///< Also if the run to start is already there.
    Refused, ///< Had no effect; the refusal says why.
    Unhealthy, ///< Had no effect: the worker rejects calls.
    OtherIncarnation, ///< Had no effect: another worker answers at that address.
    NotSent, ///< Had no effect.
    NoAnswer, ///< May have been carried out, or may still be, seconds later.
};

/// Why a worker refused.
enum class WorkerRefusal {
    None,
    Fence, ///< The worker has seen a higher fencing token.
    StaleRun, ///< A run of the task with this number or a higher one was stopped or ended there.
    LeaseExpired, ///< `leaseUntil` of the call has already passed.
    NoRoom, ///< The worker lacks the capacity.
    Ticket, ///< The ticket from the queue's advice service is missing or invalid.
    Malformed, ///< The call was invalid, or the worker gave an unknown reason.
};

/// Answer to a call; the worker's clock is zero if the answer had no body.
struct WorkerAnswer {
    WorkerStatus status = WorkerStatus::NoAnswer;
    WorkerRefusal refusal = WorkerRefusal::None;
    WorkerTime clock { 0 };
};

/// Starts a run. Extends the worker's lease to `leaseUntil`, also when refused with NoRoom or StaleRun.
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

/// Stops a run. If the run hasn't started there, its start is refused when it arrives later.
struct StopOrder {
    WorkerTarget target;
    Jobs::TaskKey task;
    Jobs::RunNumber run = 0;
    Jobs::Fence fence = 0;
};

/// Limits a task to a percentage of its full speed.
struct ThrottleOrder {
    WorkerTarget target;
    Jobs::TaskKey task;
    Jobs::RunNumber run = 0;
    unsigned percent = 100;
    Jobs::Fence fence = 0;
};

/// Extends the worker's lease and requests which runs are running and which have ended. If none has ended, the worker
/// holds the answer for up to `wait` until one does.
struct PollOrder {
    WorkerTarget target;
    Jobs::Fence fence = 0;
    std::uint64_t acknowledgedThrough = 0; ///< The worker discards ends up to this number.
    WorkerTime leaseUntil { 0 }; ///< Zero leaves the lease as it is.
    std::chrono::milliseconds wait { 0 };
};

/// A run in progress.
struct RunningTask {
    Jobs::TaskKey task;
    Jobs::RunNumber run = 0;
    std::string checkpoint;
    unsigned percent = 0; ///< Progress; 100 for a long-running task that is up.
    std::uint64_t measure = 0; ///< Tail latency in milliseconds for a long-running task with users, else millicores in use.
};

/// A run that has ended and whose end hasn't been acknowledged.
struct EndedTask {
    std::uint64_t number = 0; ///< Sequence number of the end; starts at 1 in each incarnation.
    Jobs::TaskKey task;
    Jobs::RunNumber run = 0;
    Jobs::RunEnd runEnd = Jobs::RunEnd::Lost;
    std::string checkpoint;
};

/// Answer to a poll.
struct PollAnswer {
    WorkerAnswer answer;
    std::uint64_t incarnation = 0; ///< Unix time in milliseconds of the worker's start; zero if it doesn't report that.
    std::vector<RunningTask> running;
    std::vector<EndedTask> ended; ///< In the order of their numbers, from the oldest that isn't acknowledged.
    bool hasMoreEnds = false; ///< There may be ends after these, so that a run in neither list may have ended.
};

using WorkerCallback = std::function<void(WorkerAnswer)>;
using PollCallback = std::function<void(PollAnswer)>;

/// Calls workers. Every call returns at once; its callback runs later, exactly once, on the loop that the port was created with.
class WorkerPort {
public:
    virtual ~WorkerPort() = default;
    virtual void start(const StartOrder&, WorkerCallback) = 0;
    virtual void stop(const StopOrder&, WorkerCallback) = 0;
    virtual void throttle(const ThrottleOrder&, WorkerCallback) = 0;
    virtual void poll(const PollOrder&, PollCallback) = 0;
};

} // namespace Ports
