#pragma once

/// Runtime of a pool's owner: feeds the decision core, commits its records to the journal, and sends its orders once the records
/// are committed.

#include "Common/TaskLoop.h"
#include "Jobs/Decision/PoolCore.h"
#include "Jobs/Decision/StoreSilence.h"
#include "Jobs/Runtime/JobMetrics.h"
#include "Jobs/Runtime/NodeMessages.h"
#include "Jobs/Runtime/QueueHomes.h"
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

/// Ports and limits of an owner; what it refers to has to outlive the owner.
struct OwnerContext {
    Common::TaskLoop& loop;
    Ports::PlatformPort& platform;
    Ports::WorkerPort& workers;
    Ports::MachinePort& machines;
    JobMetrics& metrics;
    StoreSilence& storeSilence; ///< Of the host, for all of its pools.
    PoolLimits poolLimits;
    SessionLimits sessionLimits;
};

/// A caller's request about one job of the pool, or about the backlog of a queue.
struct PoolRequest {
    Ports::JobVerb verb = Ports::JobVerb::Show;
    JobId job; ///< Empty with Show for the queue's backlog.
    QueueRule queue;
    JobSpec spec; ///< Of Submit only.
    std::uint64_t configuration = 0; ///< Version by which the sender chose the pool.
    QueueHome asker; ///< The pool whose owner asks, and the queue's name there; empty for a caller's request.

    /// A question of another pool's owner, which asks all the pools that may hold the job by itself.
    bool isFromOtherPool() const { return !asker.pool.empty(); }
};

/// Used on the loop's thread only.
class PoolOwner {
public:
    struct Hooks {
        std::function<void()> onDeposed; ///< Another host now owns the pool. Destroy this owner, but not from within the call.
        std::function<bool()> mayExtendLease; ///< See WorkerSession::Hooks.
        std::function<void(PoolCall, Ports::JobReply)> askPool; ///< Sends a question to the owner of another pool.
        std::function<bool()> mayOrder; ///< False while another host may own the pool; jobs that this owner doesn't know aren't denied then.
    };

    PoolOwner(const OwnerContext&, std::string pool, Fence, Hooks);
    ~PoolOwner();
    PoolOwner(const PoolOwner&) = delete;
    PoolOwner& operator=(const PoolOwner&) = delete;

    /// Loads the journal, then starts to serve.
    void begin();
    void configure(const JobConfiguration&);
    void onWorkerListed(const WorkerEntry&);
    void onWorkerUnlisted(const std::string& worker);
    /// Sets the machines whose workers are to be drained; replaces those of the last call.
    void cordon(const std::set<std::string>& machines);
    /// Replies once, when the state that the answer is based on is committed; never if the owner is destroyed before. Refuses at once
    /// while the journal is being loaded ("recovering") or while the store is silent or a commit takes long ("store-stalled", see
    /// StoreSilence); a repeat of a call whose first attempt may yet be stored is unknown then. A job that the pool doesn't know may be in a
    /// pool that the queue had before: it is refused while the store can't name these ("homes-unknown") or one of them can't be asked
    /// ("other-pool-silent").
    void handle(PoolRequest, Ports::JobReply);
    /// Refuses calls and makes no more decisions; records of earlier decisions are still committed.
    void stopServing();
    /// True from when the journal is loaded until stopServing().
    bool isServing() const;
    /// True when the pool holds no job whose state may be queried, and no records wait to be committed.
    bool isUnused() const;
    /// True when no records wait to be committed.
    bool isIdle() const;
    PoolLoad load() const;
    Fence fence() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Jobs
