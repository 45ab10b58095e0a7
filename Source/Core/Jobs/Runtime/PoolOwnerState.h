#pragma once

/// Internal state of PoolOwner.

#include "Jobs/Decision/AdviceQueue.h"
#include "Jobs/Decision/FirstAttempts.h"
#include "Jobs/Runtime/EventLimiter.h"
#include "Jobs/Runtime/Journal.h"
#include "Jobs/Runtime/OwnerActivity.h"
#include "Jobs/Runtime/PoolOwner.h"
#include "Jobs/Runtime/QueueHomes.h"

#include <optional>
#include <set>
#include <vector>

namespace Jobs {

struct PoolOwner::State : std::enable_shared_from_this<PoolOwner::State> {
    State(const OwnerContext&, std::string pool, Fence, Hooks);

    Journal::Hooks journalHooks();
    Moment moment() const { return { loop.now(), loop.wallNow() }; }
    milliseconds ownedFor() const { return std::chrono::duration_cast<milliseconds>(loop.now() - ownedSince); }
    void log(const LogEvent&) const;
    void depose(const char* reason);
    void onJournalLoaded(const std::vector<JobRecord>& records);
    /// Schedules one decision for all events within 10 ms; it is due at once if the last decision is longer ago.
    void scheduleDecision();
    void decide();
    /// Appends the core's records to the journal; its orders are executed once they are committed.
    void flush();
    /// Counts and logs a refused submission.
    void noteRefused(const RefusedJob&);
    /// Logs the pool's load once a second while there is any.
    void scheduleReport();
    void logLoad();
    void handle(PoolRequest, Ports::JobReply);
    /// How long the store hasn't answered this host, or this pool's commit.
    milliseconds storeSilentFor() const;
    /// True for calls that change a job; the others wait only for what the pool has under way.
    bool needsRecord(const PoolRequest&) const;
    /// Answer to a call that can't be carried out now, as the store or the pool's state is missing; none if it can.
    std::optional<Ports::JobAnswer> answerWithoutStore(const PoolRequest&);
    /// True when an earlier attempt of the call has made a record, which may not be stored yet.
    bool isRecorded(const PoolRequest&) const;
    Ports::JobAnswer answerTo(PoolRequest&);
    void answerFromPool(PoolRequest, const Ports::JobReply&);

    // Jobs of the queue in other pools; in PoolOwnerQueues.cpp.
    bool isKnownHere(const PoolRequest&) const;
    /// Answers another pool's question. While a caller's call about the job is under way here, the other pool has to ask again.
    void answerOtherPool(PoolRequest, const Ports::JobReply&);
    /// Counts the caller's call as under way until it is answered.
    Ports::JobReply trackCall(const PoolRequest&, Ports::JobReply);
    void onHomesFound(PoolRequest, const Ports::JobReply&, const std::vector<QueueHome>& homes);
    void onOthersAnswered(PoolRequest, const Ports::JobReply&, const std::vector<Ports::JobAnswer>&);

    // Workers and orders to them; in PoolOwnerWorkers.cpp.
    void openSession(const WorkerEntry&);
    WorkerSession::Hooks sessionHooks(const std::string& id);
    /// Lists the machines as long as workers are silent. The lease of a worker that its machine has ended needn't be waited for.
    void requestMachineList();
    /// Requests the list once it is long enough since the last request.
    void scheduleMachineList();
    void checkSilentWorkers(const std::map<std::string, Common::Instant>& silentBefore, const std::vector<Machine>& machines);
    void checkSilentWorker(const std::string& id, const Machine*, bool hasDownMachine);
    void onPollAnswered(const std::string& id, const Ports::PollAnswer&, Common::Instant sentAt);
    void onWorkerListed(const WorkerEntry&);
    void confirmSuccession(const WorkerEntry& later);
    void onWorkerUnlisted(const std::string& id);
    void scheduleSessionRemoval(const std::string& id);
    void cordonWorkers();
    void execute(const StartRun&);
    void execute(const StopRun&);
    void execute(const ThrottleRun&);
    void execute(const AdviceRequest&);
    void logDroppedOrder(const char* kind, const TaskKey&, RunNumber, const std::string& worker);
    /// The advice service accepts one call per host at a time.
    void requestNextAdvice();
    void onAdvice(const AdviceRequest&, Ports::AdviceStatus, const std::vector<Ports::Ticket>&, milliseconds validity);

    OwnerContext context;
    Common::TaskLoop& loop;
    std::string pool;
    PoolMetrics& metrics;
    Fence fence;
    Hooks hooks;
    Common::Instant ownedSince;
    PoolCore core;
    Journal journal;
    QueueHomes queueHomes;
    JobConfiguration configuration;
    std::map<std::string, WorkerEntry> entries; ///< Listed workers of the pool.
    std::map<std::string, std::string> knownMachines; ///< Machine by worker, also of workers that are no longer listed.
    std::map<std::string, Common::Instant> silentWorkers; ///< Workers that don't answer polls, with the beginning of their silence.
    std::set<std::string> pendingRemovals; ///< Workers whose entries were removed less than `removalGrace` ago.
    std::set<std::string> cordonedMachines; ///< Machines whose workers are to be drained.
    std::map<std::string, std::unique_ptr<WorkerSession>> sessions;
    std::multiset<JobId> callsUnderWay; ///< Jobs that a caller's call is about to accept or cancel, once other pools have answered.
    FirstAttempts firstAttempts; ///< Of submissions that were refused for want of the store or of the pool's state.
    AdviceQueue adviceQueue;
    Common::TaskLoop::TimerId adviceTimer = 0;
    OwnerActivity activity;
    EventLimiter limiter;
    Common::Instant decidedAt {};
    Common::Instant decisionDueAt {};
    Common::TaskLoop::TimerId decisionTimer = 0;
    Common::TaskLoop::TimerId reportTimer = 0;
    Common::TaskLoop::TimerId machineListTimer = 0;
    Common::Instant machineListRequestedAt {};
    bool isMachineListPending = false;
    bool isServing = false;
    bool isDecisionScheduled = false;
    bool isClosed = false;
};

} // namespace Jobs
