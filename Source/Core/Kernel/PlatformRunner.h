#pragma once

/// Carries out the platform calls of decision cores and brings the replies back to them.

#include "Decision/Membership/PlatformActions.h"
#include "Kernel/Metrics.h"
#include "Kernel/WorkerPool.h"
#include "Ports/PlatformPort.h"

#include <functional>

namespace Kernel {

/// Where the replies of one core go; called on a worker, without a lock held.
struct PlatformReplies {
    std::function<void(const Decision::PlatformReplied&)> replied;
    std::function<void(const Decision::PlatformWatched&)> watched;
    std::function<void(const Decision::HostListReplied&)> hostsRead;
};

/// Maps actions to the calls of the platform port. Thread-safe.
class PlatformRunner {
public:
    PlatformRunner(Ports::PlatformPort&, WorkerPool&, Metrics&);

    /// Starts a call; its reply goes to `replies`, which is copied.
    void run(const Decision::PlatformAction&, const PlatformReplies& replies);

private:
    Ports::PlatformCallback replyTo(Decision::PlatformToken, const PlatformReplies&, const char* kind);

    Ports::PlatformPort& m_platform;
    WorkerPool& m_workers;
    Metrics& m_metrics;
};

} // namespace Kernel
