#pragma once

/// An owner's session with one worker: long polls, which extend the worker's lease and return the ends of runs; orders, which are
/// retried until they are answered; and the time from which the worker is certain to run nothing.

#include "Common/TaskLoop.h"
#include "Jobs/Decision/LeaseTimes.h"
#include "Jobs/Decision/PoolOutput.h"
#include "Jobs/Decision/Worker.h"
#include "Jobs/Model/FleetTypes.h"
#include "Ports/WorkerPort.h"

#include <functional>
#include <memory>

namespace Jobs {

/// Timing of sessions.
struct SessionLimits {
    milliseconds leaseTime { 5000 }; ///< Outlasts a takeover (2.5 s) after the longest gap between polls. Runs of a lost worker wait for its end.
    milliseconds longestLease { 6000 }; ///< That a worker grants, whatever a call asks for.
    milliseconds pollWait { 1000 }; ///< How long the worker holds a poll until a run ends.
    milliseconds latencyPollWait { 400 }; ///< The same for workers whose user latency is watched; it is measured over 0.5 s.
    milliseconds silentAfter { 1200 }; ///< From the first failed poll; a silent worker gets no new runs.
    milliseconds takeoverLapse { 14200 }; ///< From a takeover to the end of leases by an earlier owner that extends them for 6 s without the store.
};

/// Used on the loop's thread only.
class WorkerSession {
public:
    /// Callbacks to the owner, which decides. All but `newestFence`, `needsStart`, `needsThrottle`, `mayStart`, `mayStop`, `mayExtendLease`, `mayOrder`, `needsLatencyPoll` and `hasRuns` report events.
    struct Hooks {
        std::function<void(const Ports::PollAnswer&, Common::Instant sentAt)> onPollAnswered;
        std::function<void(const StartRun&)> onStartSent; ///< Called before each attempt.
        std::function<void(const StartRun&, const Ports::WorkerAnswer&)> onStartAnswered; ///< Also for each attempt without an answer.
        std::function<void(const StartRun&)> onStartedByOther; ///< The start was carried out by an incarnation that hasn't answered a poll yet.
        /// A start was given up and its run stopped, as an earlier attempt may have arrived. The run ends once a poll shows so.
        std::function<void(const StartRun&, const Ports::WorkerAnswer& refusal)> onStartCancelled;
        std::function<bool(const StartRun&)> needsStart; ///< Asked before each attempt. False: no more attempts, and no answer is reported.
        std::function<bool(const ThrottleRun&)> needsThrottle; ///< Asked before each attempt. False: no more attempts.
        std::function<bool(const StartRun&)> mayStart; ///< Asked before each attempt.
        std::function<bool(const StopRun&)> mayStop; ///< Asked before each attempt.
        std::function<void(const StopRun&, const Ports::WorkerAnswer&)> onStopAnswer;
        std::function<void(const StopRun&)> onStopCancelled; ///< The stop is no longer allowed, and no attempt can have reached the worker.
        std::function<void(Common::Instant aliveUntil)> onFailing; ///< A poll has failed, the first since the last answer.
        std::function<void()> onSilent; ///< Polls have failed for `silentAfter`, or two in a row because connections were refused.
        std::function<void(WorkerLoss)> onLapsed; ///< The lease has lapsed: the worker runs nothing.
        std::function<void()> onFenced; ///< The worker has seen a higher fencing token than any of this session.
        /// The newest token of this owner, at least the session's first one. Asked once an incarnation of the worker has been seen.
        std::function<Fence()> newestFence;
        std::function<bool()> mayExtendLease; ///< False for an owner that has had no contact with the store for long.
        std::function<bool()> mayOrder; ///< False while the owner's own lease may have lapsed; starts wait.
        std::function<bool()> needsLatencyPoll; ///< True for polls of `latencyPollWait`.
        std::function<bool()> hasRuns; ///< True while runs are placed on the worker.
    };

    WorkerSession(Common::TaskLoop&, Ports::WorkerPort&, const SessionLimits&, Fence, const WorkerEntry&, Hooks);
    ~WorkerSession();
    WorkerSession(const WorkerSession&) = delete;
    WorkerSession& operator=(const WorkerSession&) = delete;

    /// Sends the first poll. A worker without an address gets none until entryChanged(); its lease may lapse before.
    void begin();
    /// Polls at once if the worker's address or incarnation has changed.
    void entryChanged(const WorkerEntry&);
    /// Orders are retried until the worker answers or its lease lapses, throttle orders also until another speed is ordered.
    void start(const StartRun&);
    void stop(const StopRun&);
    void throttle(const ThrottleRun&);
    /// Ends up to this number that the incarnation has listed are committed: acknowledges them with the next poll, at once if none is
    /// pending. Ignored when another incarnation answers by now, as its ends have the same numbers.
    void acknowledgeEnds(std::uint64_t incarnation, std::uint64_t number);
    /// The incarnation that gave the last answer to a poll; zero until one has told it.
    std::uint64_t incarnation() const;
    /// The worker has ended: treats the lease as lapsed at once, and polls rarely until its entry changes. `loss` is passed to onLapsed.
    void confirmGone(WorkerLoss loss);

private:
    struct State;
    std::shared_ptr<State> m_state; ///< Shared with pending calls, which may outlive the session.
};

} // namespace Jobs
