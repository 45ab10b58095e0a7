#pragma once

/// The owner of a pool at work: feeds the decision core, stores its records, and lets its orders out once those are stored.

#include "Common/TaskLoop.h"
#include "Jobs/Decision/PoolCore.h"
#include "Jobs/Runtime/JobMetrics.h"
#include "Jobs/Runtime/WorkerSession.h"
#include "Ports/JobPort.h"
#include "Ports/MachinePort.h"
#include "Ports/PlatformPort.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Jobs {

/// What an owner works with.
struct OwnerContext {
    Common::TaskLoop& loop;
    Ports::PlatformPort& platform;
    Ports::WorkerPort& workers;
    Ports::MachinePort& machines;
    JobMetrics& metrics;
    PoolLimits poolLimits;
    SessionLimits sessionLimits;
};

/// What a caller wants of a pool's jobs.
struct PoolRequest {
    Ports::JobVerb verb = Ports::JobVerb::Show;
    JobId job; ///< Empty for the backlog of the queue.
    QueueRule queue;
    JobSpec spec; ///< Of a submission.
};

/// Used on the loop's thread only.
class PoolOwner {
public:
    struct Hooks {
        std::function<void()> deposed; ///< Another host has the pool; this owner is to be destroyed, later.
        std::function<bool()> mayExtend; ///< See WorkerSession.
        std::function<bool()> mayOrder;
    };

    PoolOwner(const OwnerContext&, std::string pool, Fence, Hooks);
    ~PoolOwner();
    PoolOwner(const PoolOwner&) = delete;
    PoolOwner& operator=(const PoolOwner&) = delete;

    /// Reads the journal and begins to serve.
    void begin();
    void configure(const JobConfiguration&);
    void onWorkerListed(const WorkerEntry&);
    void onWorkerUnlisted(const std::string& worker);
    /// Machines whose workers are to be vacated; the only ones.
    void cordon(const std::set<std::string>& machines);
    /// Exactly one answer follows, unless the owner is destroyed before.
    void handle(PoolRequest, Ports::JobReply);
    /// Takes no more calls and decides nothing more; what was decided is still stored.
    void stopServing();
    /// True once the journal is read, until it stops.
    bool isServing() const;
    /// True when nothing waits to be stored.
    bool isIdle() const;
    PoolLoad load() const;
    Fence fence() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Jobs
