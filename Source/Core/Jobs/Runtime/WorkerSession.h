#pragma once

/// An owner's dealings with one worker: one look after the other, which extend its lease and bring the ends of runs;
/// orders, sent again until they are answered; and the time from which on the worker surely runs nothing more.

#include "Common/TaskLoop.h"
#include "Jobs/Decision/PoolOutput.h"
#include "Jobs/Model/FleetTypes.h"
#include "Ports/WorkerPort.h"

#include <functional>
#include <memory>

namespace Jobs {

/// Times of sessions.
struct SessionLimits {
    milliseconds leaseTime { 5000 }; ///< Outlasts a takeover (2.5 s) after the longest time without a look; a lost worker's runs wait for its end.
    milliseconds lookWait { 1000 }; ///< At a worker, for an end.
    milliseconds closeLookWait { 400 }; ///< Where users' latency is watched; it is measured over half a second.
    milliseconds silence { 1200 }; ///< Without an answer that was due: no more new runs.
    milliseconds takeoverLapse { 11500 }; ///< An earlier owner without the store extends leases for 6 s more, by 5 s each.
};

/// Used on the loop's thread only.
class WorkerSession {
public:
    struct Hooks {
        std::function<void(const Ports::PollAnswer&, Common::Instant sentAt)> looked;
        std::function<void(const StartRun&, const Ports::WorkerAnswer&)> startAnswered;
        std::function<bool(const StopRun&)> mayStop;
        std::function<void(const StopRun&, const Ports::WorkerAnswer&)> stopAnswered;
        std::function<void(const StopRun&)> stopWithdrawn; ///< It mayn't be stopped, and no try can have stopped it.
        std::function<void()> silent;
        std::function<void()> lapsed; ///< Nothing runs there any more.
        std::function<void()> fenced; ///< The worker has heard a newer owner.
        std::function<bool()> mayExtend; ///< False for an owner that has been without the store for long.
        std::function<bool()> mayOrder; ///< False while the owner's lease isn't sure.
        std::function<bool()> needsCloseLook;
    };

    WorkerSession(Common::TaskLoop&, Ports::WorkerPort&, const SessionLimits&, Fence, const WorkerEntry&, Hooks);
    ~WorkerSession();
    WorkerSession(const WorkerSession&) = delete;
    WorkerSession& operator=(const WorkerSession&) = delete;

    void begin();
    void entryChanged(const WorkerEntry&);
    void start(const StartRun&);
    void stop(const StopRun&);
    void throttle(const ThrottleRun&);
    /// Ends up to this number are stored: the next look takes them.
    void endsStored(std::uint64_t number);
    /// The worker is known to be gone, by its machine: lapsed without waiting.
    void confirmGone();

private:
    struct State;
    std::shared_ptr<State> m_state; ///< Shared with calls under way, which outlive the session.
};

} // namespace Jobs
