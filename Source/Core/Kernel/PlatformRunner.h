#pragma once

/// Runs the platform calls of decision cores and delivers the replies.

#include "Decision/Membership/PlatformActions.h"
#include "Kernel/Metrics.h"
#include "Kernel/WorkerPool.h"
#include "Ports/PlatformPort.h"

#include <functional>

namespace Kernel {

/// Handlers for the replies to one core's calls; called on a worker without a lock held.
struct PlatformReplies {
    std::function<void(const Decision::PlatformReplied&)> onReply;
    std::function<void(const Decision::PlatformWatched&)> onWatchEvents;
    std::function<void(const Decision::HostListReplied&)> onHostList;
};

/// Maps actions to calls of the platform port, and counts and times them in the metrics. Thread-safe.
class PlatformRunner {
public:
    PlatformRunner(Ports::PlatformPort&, WorkerPool&, Metrics&);

    /// Starts a call. Its reply goes to `replies`, which is copied; a failure arrives as the reply's status.
    void run(const Decision::PlatformAction&, const PlatformReplies& replies);

private:
    Ports::PlatformCallback replyTo(Decision::PlatformToken, const PlatformReplies&, const char* kind);

    Ports::PlatformPort& m_platform;
    WorkerPool& m_workers;
    Metrics& m_metrics;
};

} // namespace Kernel
