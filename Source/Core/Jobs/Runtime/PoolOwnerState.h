#pragma once

/// State of the owner of a pool; see PoolOwner.

#include "Jobs/Runtime/EventLimiter.h"
#include "Jobs/Runtime/Journal.h"
#include "Jobs/Runtime/OwnerActivity.h"
#include "Jobs/Runtime/PoolOwner.h"

#include <vector>

namespace Jobs {

struct PoolOwner::State : std::enable_shared_from_this<PoolOwner::State> {
    State(const OwnerContext&, std::string pool, Fence, Hooks);

    Journal::Hooks journalHooks();
    Moment moment() const { return { loop.now(), loop.wallNow() }; }
    milliseconds ownedFor() const { return std::chrono::duration_cast<milliseconds>(loop.now() - ownedSince); }
    void log(const LogEvent&) const;
    void depose(const char* reason);
    void journalRead(const std::vector<JobRecord>& records);
    /// Decides once for all events of a while; at once after a pause.
    void changed();
    void decide();
    /// Stores what was decided; orders leave once it is stored.
    void flush();
    /// Logs the pool's load now and then, while there is any.
    void reportLater();
    void report();
    void handle(PoolRequest, Ports::JobReply);
    Ports::JobAnswer answerTo(PoolRequest&);

    // Workers and orders to them; in PoolOwnerWorkers.cpp.
    void openSession(const WorkerEntry&);
    WorkerSession::Hooks sessionHooks(const std::string& id);
    /// A silent worker whose machine is down, or runs another worker by now, needn't be waited for.
    void askMachines();
    void judgeSilent(const std::vector<Machine>& machines);
    void judgeSilent(const std::string& id, const std::vector<Machine>& machines);
    void looked(const std::string& id, const Ports::PollAnswer&, Common::Instant sentAt);
    void workerListed(const WorkerEntry&);
    void workerUnlisted(const std::string& id);
    void dropLater(const std::string& id);
    void cordonWorkers();
    void carryOut(const StartRun&);
    void carryOut(const StopRun&);
    void carryOut(const ThrottleRun&);
    void carryOut(const AskAdvice&);
    void logDropped(const char* kind, const TaskKey&, RunNumber, const std::string& worker);
    /// The advice service takes one call of a host at a time.
    void askNext();
    void adviceCame(const AskAdvice&, Ports::AdviceStatus, const std::vector<Ports::Ticket>&, milliseconds validity);

    OwnerContext context;
    Common::TaskLoop& loop;
    std::string pool;
    PoolMetrics& metrics;
    Fence fence;
    Hooks hooks;
    Common::Instant ownedSince;
    PoolCore core;
    Journal journal;
    std::map<std::string, WorkerEntry> entries; ///< Listed workers of the pool.
    std::map<std::string, std::string> knownMachines; ///< By worker, also of those that aren't listed any more.
    std::set<std::string> silent; ///< Workers that don't answer.
    std::set<std::string> unlistings; ///< Workers whose entries went away a moment ago.
    std::set<std::string> cordoned; ///< Machines.
    std::map<std::string, std::unique_ptr<WorkerSession>> sessions;
    std::vector<AskAdvice> advice; ///< The first is being asked for, or is the next.
    OwnerActivity activity;
    EventLimiter limiter;
    Common::Instant decidedAt {};
    Common::Instant decisionDueAt {};
    Common::TaskLoop::TimerId decisionTimer = 0;
    Common::TaskLoop::TimerId reportTimer = 0;
    bool isAsking = false;
    bool isAskingMachines = false;
    bool isServing = false;
    bool isDeciding = false;
    bool isOver = false;
};

} // namespace Jobs
