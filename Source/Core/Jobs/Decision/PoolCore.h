#pragma once

/// Decision core of one pool: takes events with their times, returns records and orders. Does no I/O and reads no clock.

#include "Jobs/Decision/AdviceCache.h"
#include "Jobs/Decision/CrashBursts.h"
#include "Jobs/Decision/CrashEvidence.h"
#include "Jobs/Decision/JobSummary.h"
#include "Jobs/Decision/JobTable.h"
#include "Jobs/Decision/Placement.h"
#include "Jobs/Decision/PoolOutput.h"
#include "Jobs/Decision/QueueOrder.h"
#include "Jobs/Decision/SourceAdmission.h"
#include "Jobs/Decision/SourceEvidence.h"
#include "Jobs/Decision/Worker.h"
#include "Jobs/Decision/WorkerDemand.h"
#include "Ports/JobPort.h"
#include "Ports/WorkerPort.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Jobs {

using Common::Instant;
using Common::Moment;

/// Limits set by the platform.
struct PoolLimits {
    milliseconds retention { 120000 }; ///< How long final states can at least be queried.
    unsigned remoteFactorPermille = 1000; ///< Run time on other racks than a step's data rack, relative to the run time there.
    milliseconds longestLease { 6000 }; ///< That a worker grants.
    milliseconds takeoverLapse { 0 }; ///< See SessionLimits.
};

/// Load of one worker, for moves and maintenance.
struct WorkerLoad {
    std::string worker;
    std::string machine;
    unsigned runs = 0;
    unsigned lastingRuns = 0; ///< The part of them that are runs of lasting tasks.
    bool isCordoned = false;
    Resources lasting {}; ///< Reserved by runs of lasting tasks.
};

/// What tasks of a tier add to the demand of the tiers before it.
struct TierDemand {
    std::uint64_t milliCores = 0;
    std::uint64_t memoryMb = 0;
    std::vector<WorkerDemand> workers; ///< Of this tier and those before it together; empty when this one adds none.
};

/// Load of a pool, input for machine moves and maintenance.
struct PoolLoad {
    std::string pool;
    std::uint64_t waitingMilliCores = 0; ///< Of tasks that are ready to be placed.
    std::uint64_t lateMilliCores = 0; ///< The part of it whose jobs can no longer meet their objective.
    std::uint64_t busyMilliCores = 0; ///< Reserved by runs.
    std::uint64_t lastingMilliCores = 0; ///< The part of it that lasting tasks reserve.
    std::uint64_t capacityMilliCores = 0; ///< Of workers on which runs may be placed.
    std::uint64_t waitingWork = 0; ///< Estimated core-milliseconds of tasks that are ready to be placed.
    std::uint64_t demandedMemoryMb = 0; ///< Reserved by runs, or needed by tasks that wait and are neither late nor bounded.
    std::vector<WorkerDemand> demands; ///< Of waiting tasks that not every worker can take and are neither late nor bounded.
    TierDemand late; ///< Demand of late tasks, without bounded ones.
    TierDemand bounded; ///< Demand of first starts of bounded sources, in time or late.
    std::vector<WorkerLoad> workers;
};

/// Load of a pool and what limits it, for status reports to operators.
struct PoolPressure {
    PoolLoad load;
    std::size_t activeJobs = 0;
    std::size_t overdueJobs = 0; ///< Jobs with occurrences that are due and haven't begun, as others of the job are in progress.
    std::size_t runs = 0;
    std::size_t waitingTasks = 0; ///< Tasks that are ready to be placed.
    milliseconds oldestWaiting { 0 }; ///< Longest time since the job of such a task became due.
    std::uint64_t freeMilliCores = 0; ///< Of workers on which runs may be placed.
    std::size_t candidates = 0; ///< Workers on which runs may be placed. The others are counted below, some more than once.
    std::size_t silent = 0; ///< Haven't answered a poll recently, or not yet.
    std::size_t cordoned = 0;
    std::size_t avoided = 0; ///< Get no runs for a while, after refusals and failures.
    std::size_t leaving = 0; ///< Draining, or not listed.
    std::size_t testing = 0; ///< Run a suspect that hasn't outlived its start, and take no other tasks until then.
    std::size_t setAside = 0; ///< Take only suspects. Workers that are being tested are counted above.
    std::uint64_t setAsideFreeMilliCores = 0; ///< The part of `freeMilliCores` on these.
    std::size_t waitingLastingSuspects = 0; ///< The part of `waitingSuspects` that are lasting tasks.
    std::size_t waitingSuspects = 0; ///< Tasks that wait and may start only apart from others; see CrashEvidence.h.
    milliseconds oldestSuspect { 0 }; ///< Longest time that one of them has waited.
};

/// State of a pool and its scheduler. The pool's owner calls it from its loop: load() and finishLoad() with the journal, then
/// the handlers as events arrive, and decide() after changes and when nextDecision() is due. takeOutput() collects the records
/// and orders. Errors of callers are reported in answers; events about unknown workers or runs are ignored.
class PoolCore {
public:
    explicit PoolCore(const PoolLimits&);

    /// Replays records of the journal.
    void load(const std::vector<JobRecord>&);
    /// Call once, after the whole journal was loaded. Runs that are placed according to the journal are assumed to be running.
    void finishLoad(Moment);

    /// Replaces the configuration. Jobs accepted before follow only the advice rules of a changed queue; they keep their
    /// priority, objective and attempts.
    void configure(const JobConfiguration&);
    /// The worker's entry was created or has changed. Entries of an older incarnation are ignored; a new incarnation means that
    /// the runs of the old one are lost.
    void onWorkerListed(const WorkerEntry&, Moment);
    /// The worker's entry was deleted. It may still run tasks, so its runs keep their places.
    void onWorkerUnlisted(const std::string& worker, Moment);
    /// A poll of the worker has failed: it may have crashed, though not before `aliveUntil`. Runs ordered from now on haven't started
    /// there.
    void onWorkerFailing(const std::string& worker, Instant aliveUntil, Moment);
    /// The worker doesn't answer: it gets no new runs until it answers a poll.
    void onWorkerUnresponsive(const std::string& worker, Moment);
    /// None of the worker's runs can still be running; their tasks wait to be placed again.
    /// `next`: the poll answer of the worker's new incarnation that shows the loss; null if it is known otherwise.
    void onWorkerLost(const std::string& worker, WorkerLoss, Moment, const Ports::PollAnswer* next = nullptr);
    /// Replaces the set of workers to be vacated for maintenance or moves. They get no new runs.
    void cordon(const std::set<std::string>& workers, Moment);

    /// Accepts a job, rejects it as malformed with a reason, or refuses it if its source crashes its workers and it can't end while it is
    /// of use; see SourceAdmission. A known id is answered as accepted without any change, so that submitting is idempotent. The answer may
    /// be sent once the records are stored. The objective counts from `callerWaited` ago, the caller's first attempt. A job that was
    /// cancelled before is refused.
    Ports::JobAnswer submit(const JobId&, const QueueRule&, JobSpec, Moment, milliseconds callerWaited = {});
    /// Cancels a job and stops its runs. A final job stays as it is. An unknown one is recorded as cancelled, so that a submission which
    /// arrives later doesn't start it.
    Ports::JobAnswer cancel(const JobId&, Moment);
    /// How long a job that was cancelled at that time while it was unknown will be refused.
    milliseconds retryAfterCancel(Common::WallTime cancelledAt, Moment) const;
    /// Answers with the job's state, or that there is no such job.
    Ports::JobAnswer show(const JobId&) const;
    /// Number of a queue's jobs that are accepted, have no schedule and of which no task is known to have started: a job whose runs are
    /// only placed counts.
    std::uint64_t backlog(const std::string& queue) const;

    /// An attempt of a start is being sent.
    void onStartSent(const StartRun&, Moment);
    /// Handles the answer to a start order. Without a definite answer the run keeps its place, and the start may be carried out late.
    void onStartAnswer(const StartRun&, const Ports::WorkerAnswer&, Moment);
    /// The start was carried out by an incarnation of the worker that hasn't answered a poll yet.
    void onStartedByOther(const StartRun&);
    /// The run was stopped after the refusal of its start, as an earlier attempt may have started it: it ends once a poll shows so.
    void onStartCancelled(const StartRun&, const Ports::WorkerAnswer& refusal, Moment);
    /// Whether a start is to be sent, or repeated without an answer. Not once its run has been given up or is to be stopped, nor after a poll
    /// has shown the run or its end: an attempt that is carried out late would start it again on the worker's next incarnation.
    bool needsStart(const StartRun&) const;
    /// Whether a start order may still be sent: since the run was placed, its worker may have begun to drain, or its capacity may have shrunk.
    bool mayStart(const StartRun&) const;
    /// Whether a stop order may still be sent. The session calls this right before each attempt, since the order may have
    /// waited for the store or the worker for seconds.
    bool mayStop(const StopRun&, Moment) const;
    /// Whether a throttle order is to be sent, or repeated without an answer. Not once its run is over or is to be stopped, nor after another
    /// speed was ordered.
    bool needsThrottle(const ThrottleRun&) const;
    /// Handles the answer to a stop order. The run counts as ended only once a later poll shows that.
    void onStopAnswer(const StopRun&, const Ports::WorkerAnswer&, Moment);
    /// The stop order was never sent, or is known to have had no effect: the run continues.
    void onStopCancelled(const StopRun&, Moment);
    /// Handles a worker's answer to a poll: ends, progress, runs that are missing, stalled or not expected, and the speed of
    /// fillers. `sentAt` is when the poll was sent.
    void onPollAnswer(const std::string& worker, const Ports::PollAnswer&, Instant sentAt, Moment);
    /// Handles the answer of the advice service. `validity` is that of the tickets; zero when the request failed.
    void onAdvice(const AdviceRequest&, const std::vector<AdvisedWorker>&, milliseconds validity, Moment);

    /// Begins occurrences that are due, stops runs that have to leave their worker, and places waiting tasks.
    void decide(Moment);
    /// When decide() should run next if nothing else happens; nothing when only an event can change the result.
    std::optional<Instant> nextDecision(Moment) const;

    /// Returns what was decided since the last call, and clears it.
    PoolOutput takeOutput();
    /// Current load, for moves and maintenance. Leaves PoolLoad::pool empty.
    PoolLoad loadReport(Moment) const;
    /// Current load with the reasons that limit placement, for logs and metrics.
    PoolPressure pressure(Moment) const;
    /// Returns records that restore the jobs. Drops final jobs whose retention time is over. The evidence of crashes isn't among
    /// them, since earlier versions couldn't load them; it is recorded again.
    std::vector<JobRecord> snapshot(Moment);
    /// The pool's jobs, for reading only.
    const JobTable& jobs() const { return m_jobs; }
    /// Null when the worker is unknown.
    const Worker* findWorker(const std::string& id) const;
    /// True when the worker should be polled at short intervals, because fillers share it with tasks that have a latency target.
    bool needsFrequentPolls(const std::string& worker) const;

private:
    /// Whether the tasks of a step that were to be placed have found workers.
    enum class StepFit {
        Placed,
        LacksRoom, ///< One of them lacked nothing but capacity.
        LacksOther,
    };
    struct WaitingStep {
        QueueKey key;
        Job* job = nullptr;
        unsigned occurrence = 0;
        unsigned step = 0;
    };

    void record(JobRecord);
    void recordEnd(RunEnded);
    /// A worker has, or had, a run of the job.
    void noteStarted(const JobId&);
    void logFinished(const JobId&, const JobSummary&);
    void log(const char* event, const std::string& id, std::vector<std::pair<const char*, std::string>> fields);
    std::string submissionError(const JobSpec&) const;
    /// Whether the job would end too late to be of use, as its source crashes its workers; see SourceAdmission.
    std::optional<SourceRefusal> refusalOf(const JobAccepted&, Moment);
    /// Work of the source's tasks that wait and go before a job with that key, or belong to late jobs that it must not make useless.
    SourceWork workAhead(const TaskSource&, const QueueKey&, Common::WallTime now) const;
    void noteSourceEnded(const Job&, const TaskKey&, RunEnd);
    /// Notes of which bounded sources a decision has left tasks waiting that lack nothing but capacity.
    void sampleAdmission(const std::set<TaskSource>& waiting, Instant now);

    /// Remembers an unanswered start of a run that is over at the worker.
    void noteUnansweredStart(Worker&, const TaskKey&, const WorkerRun&, Instant now);
    /// Makes the unanswered starts of a worker that may return as another incarnation its late starts.
    void expectLateStarts(Worker&, const std::map<TaskKey, WorkerRun>& lostRuns, WorkerLoss, Instant now);
    /// How an incarnation of a worker was lost.
    struct IncarnationLoss {
        WorkerLoss loss = WorkerLoss::Lapsed;
        Instant failingSince {};
        const Ports::PollAnswer* next = nullptr; ///< See onWorkerLost().
    };
    /// Keeps the tasks of those lost runs in their places that the worker's next incarnation may run, until it is known whether it does.
    void keepUncertainRuns(Worker&, std::map<TaskKey, WorkerRun>& runs, const IncarnationLoss&, std::vector<LostRun>& lost, Moment);
    /// Whether an incarnation's answer has the run, running or ended.
    static bool isListedIn(const Ports::PollAnswer&, const TaskKey&, RunNumber);
    /// Whether the incarnation that is lost may have carried the run's start out.
    static bool mayHaveStarted(const Worker&, const WorkerRun&, Instant failingSince);
    void makeUncertain(Worker&, const TaskKey&, WorkerRun, Instant until, Instant now);
    /// Whether the run is the latest one of its task.
    bool isCurrentRun(const Worker&, const TaskKey&, RunNumber);
    /// Takes up the uncertain runs that the worker's new incarnation lists, and stops the others, so that it refuses their starts.
    void settleUncertainRuns(Worker&, const Ports::PollAnswer&, Moment);
    /// Ends uncertain runs that no incarnation can run any more.
    void endUncertainRuns(Moment);
    void endUncertainRun(Worker&, const TaskKey&, const WorkerRun&, Moment);
    bool mayStillRun(const Worker&, const WorkerRun&) const;
    /// Stops the late starts once the worker's new incarnation answers, and forgets those that it refuses.
    void settleLateStarts(Worker&, const Ports::PollAnswer&, Instant sentAt);
    /// The worker won't return under its id.
    void releaseLateStarts(Worker&);
    LostRun lostRunOf(const TaskKey&, const WorkerRun&, StartEvidence, Instant aliveUntil, Instant failingSince) const;
    SuspectFacts factsOf(const TaskKey&, const Task&, Instant now) const;
    bool wasStopped(const JobId&) const;
    std::vector<CrashWitness> witnessesOf(const std::string& machine, const std::vector<LostRun>&);
    /// `failingSince`: about when it has crashed; zero when that isn't known.
    void onWorkerCrashed(const Worker&, const std::vector<LostRun>&, Instant failingSince, Moment);
    /// Keeps the crash, and the tasks that it convicts, until the crashes of the same moment are known.
    void collectCrash(WorkerCrash, Instant crashedAt, Instant now);
    void settleCrashes(Moment);
    /// The crash had a cause outside the tasks: takes back what it has shown about the task, except that it is isolated.
    void excuse(const CrashedTask&);
    /// Number of machines of the pool but one.
    std::size_t otherMachines() const;
    bool isProvenElsewhere(const LostRun&, const Task&) const;
    /// True when a later worker is known to run on the worker's machine, which runs one at a time.
    bool hasSuccessor(const Worker&) const;
    /// Judges the lapsed runs of the machine's earlier worker.
    void onMachineRestarted(const WorkerEntry& newWorker, Moment);
    /// Replaces the task's tally, also what isn't part of TaskSuspected.
    void recordTally(const TaskKey&, const CrashTally&);
    void restoreEvidence(const JobRecord&);
    void recordEvidence();
    void gradeSuspicion(const TaskKey&, bool isDoubtful, bool isLikely);
    SuspicionGraded gradeOf(const TaskKey&) const;
    /// Drops the grades of tasks that aren't suspects.
    void forgetGrades();
    /// Gives up a task that crashes its workers, or confines it if it lasts.
    void convict(const TaskKey&, const CrashTally&, Moment);
    /// Starts the task apart from all others from now on, and later with each crash.
    void confine(const TaskKey&, const CrashTally&, Moment);
    void delayConfined(Instant now);
    /// True while the task must not be placed.
    bool isHeld(const TaskKey& key) const { return m_startNotBefore.contains(key); }
    bool isLasting(const TaskKey&) const;
    /// Fails the job of a task that crashes its workers.
    void giveUp(const TaskKey&, const CrashTally&, Moment);
    /// Another task has turned out to explain crashes that count against this one.
    void exonerate(const TaskKey&, const CrashTally& growth);
    void updateProof(const TaskKey&, WorkerRun&, Moment);
    void clearSuspicion(const TaskKey&, Moment);
    std::vector<TaskKey> waitingSuspects(Instant now);
    static TaskSource sourceOf(const Job& job) { return { job.accepted.queue, {} }; }
    /// A run of the task has outlived its start.
    void noteOutlived(const TaskKey&, Moment);
    /// Counts a crash that is settled for the sources of the tasks that may have caused it.
    void noteSourcesOf(const SettledCrash&, Moment);
    /// Records and logs which sources are bounded from now on, or no longer.
    void updateBoundedSources(Moment);
    void quarantineWorkers(std::vector<Candidate>&, Moment);
    /// Places suspects on the workers that take them, the longest waiting first.
    void placeSuspects(std::vector<Candidate>&, Moment);
    void openForConfined(std::vector<Candidate>&, Instant now);
    /// `previous` are the workers set aside by the decision before.
    void setAside(Candidate&, const std::map<std::string, Instant>& previous, Instant now);
    void releaseUnusedWorkers(std::vector<Candidate>&, Instant now);
    /// Leaves workers to suspects that still wait, apart from workers that could hold one of the other waiting tasks, given by what
    /// they need. Returns false if there are none.
    bool lendIdleWorkers(std::vector<Candidate>&, const std::vector<Resources>& needs, Moment);
    void logRefusal(const StartRun&, const Ports::WorkerAnswer&);
    void avoidAfterRefusal(Worker&, const Ports::WorkerAnswer&, Instant now);
    void onRunEnded(Worker&, const Ports::EndedTask&, Moment);
    void updateWorkerHealth(Worker&, const Ports::EndedTask&, Moment);
    /// Notes a lasting task's failure.
    bool isFirstFailure(const TaskKey&, const Task&);
    bool mayEject(Instant now) const;
    // Trials of ejected workers; in PoolCoreTrials.cpp.
    static void eject(Worker&, milliseconds pause, Instant now);
    /// From when on an ejected worker is tried with a task that has no other place; zero when it isn't ejected.
    static Instant trialFrom(const Worker&, bool isLasting);
    /// Places on ejected workers one task, or the members of one gang, each that have no other place.
    void tryEjectedWorkers(std::vector<Candidate>&, Moment);
    /// Tries the first waiting step that may be, that of the latest trial last. Returns false if there is none.
    bool tryWorker(Candidate&, std::vector<Candidate>& others, const std::vector<WaitingStep>&, Moment);
    bool tryTask(Candidate&, std::vector<Candidate>& others, const WaitingStep&, Moment);
    void tryGangs(std::vector<Candidate>& ejected, const std::vector<Candidate>& others, const std::vector<WaitingStep>&, Moment);
    void beginTrial(Worker&, const TaskKey&);
    /// Ends the worker's ejection if its trial has shown it to be sound.
    void settleTrial(Worker&, const Ports::EndedTask&, Instant now);
    void settleTrial(Worker&, const Ports::RunningTask&, const WorkerRun&, Instant now);
    void endEjection(Worker&);
    void onRunReported(Worker&, const Ports::RunningTask&, Moment);
    void handleMissingRuns(Worker&, Instant sentAt, Moment);
    void stopStalledRuns(Worker&, Moment);
    void throttleFillers(Worker&, Moment);
    void orderStop(Worker&, const TaskKey&, WorkerRun&, bool isOptional = false);
    void stopGang(const TaskKey& member);
    void stopJob(const JobId&);

    // Occurrences of scheduled jobs; in PoolCoreOccurrences.cpp.
    void beginDueOccurrences(Moment);
    /// Whether an occurrence of the job is due and not held up by the limits on those in progress.
    static bool mayBeginOccurrence(const Job&, std::size_t jobsDue, Common::WallTime now);
    /// Number of jobs with occurrences that are due and haven't begun.
    std::size_t countJobsDue(Common::WallTime now) const;
    /// As many as the pool runs now, within a lower bound.
    std::uint64_t tasksPerTurn() const;
    /// Whether a step that lacks a worker in one occurrence lacks it in the others.
    bool isSameForAllOccurrences(const Job&, const StepSpec&) const;

    void evictLastingTasks(Moment);
    bool mayInterrupt(const TaskKey&, Instant now) const;
    bool isServing(const TaskKey&, const Task&) const;
    std::vector<WaitingStep> waitingSteps(Moment);
    PlacementRequest requestFor(const WaitingStep&, const std::map<std::string, unsigned>& placed, Moment) const;
    bool hasSuspects(const WaitingStep&) const;
    StepFit placeStep(const WaitingStep&, std::vector<Candidate>&, Moment);
    void placeGang(const WaitingStep&, std::vector<Candidate>&, const PlacementRequest&, Moment);
    void placeTask(Job&, const TaskKey&, RunNumber, Candidate&, Moment);
    /// How much longer the step's tasks wait for a worker on their data rack; zero when they may run on any rack.
    milliseconds rackWait(const Job&, unsigned occurrence, unsigned step, Moment) const;
    /// Number of the step's waiting tasks that are first starts of a bounded source. Lasting tasks never are: they are few, and those that crash
    /// their workers are confined.
    unsigned boundedCount(const Job&, unsigned occurrence, unsigned step) const;
    /// Adds the waiting tasks, and the demand for workers on which they can run.
    void addWaiting(PoolLoad&, Moment) const;
    /// The demand of a step with waiting tasks for workers. Returns false when it isn't one for particular workers.
    bool addDemand(DemandCounter&, const Job&, unsigned occurrence, unsigned step, unsigned waiting, Moment) const;
    bool needsAdvice(const Job& job) const { return m_advisedQueues.contains(job.accepted.queue); }
    bool isAdvised(const WaitingStep&, const Worker&, Instant now) const;
    void requestAdvice(const WaitingStep&, const std::vector<Candidate>&, Moment);

    PoolLimits m_limits;
    std::set<std::string> m_advisedQueues; ///< Queues whose steps need tickets of the advice service; of the newest configuration.
    JobTable m_jobs;
    AdviceCache m_advice;
    std::map<std::string, Worker> m_workers;
    std::set<std::string> m_cordoned;
    CrashHistory m_crashes;
    CrashBursts m_bursts;
    SourceEvidence m_sources;
    std::set<TaskSource> m_boundedSources; ///< As of the latest decision.
    SourceAdmission m_admission;
    StartSpacing m_startSpacing;
    CrashAgesLearnt m_crashAges; ///< As last recorded.
    std::set<TaskKey> m_suspects; ///< Tasks with suspected crashes. May contain tasks that are done or gone.
    std::set<TaskKey> m_doubtfulSuspects; ///< See CrashWitness::wasDoubtful.
    std::set<TaskKey> m_likelySuspects; ///< See CrashWitness::isLikely.
    std::map<TaskKey, Instant> m_suspectsWaitingSince;
    std::size_t m_doubtfulGroupSize = 1; ///< Of doubtful suspects that are tried together.
    std::map<std::string, Instant> m_quarantined; ///< Workers that take only suspects for the time being, and since when.
    std::set<TaskKey> m_confined; ///< Lasting tasks that crash their workers. May contain tasks that are done or gone.
    std::map<TaskKey, Instant> m_startNotBefore; ///< Tasks whose crashes aren't settled, and confined ones.
    std::set<TaskKey> m_failedLasting; ///< Lasting tasks that have failed since they last served. May contain tasks that are gone.
    std::set<std::string> m_uncertainWorkers; ///< Workers that have, or had, uncertain runs.
    std::size_t m_placementsLeft = 1; ///< In the current decision, or at the end of the latest.
    Instant m_previousLeasesEndAt {}; ///< Of leases that a previous owner may have extended.
    Instant m_previousStopsEndAt {}; ///< From then on, polls no longer list runs that a previous owner has stopped.
    PoolOutput m_output;
};

} // namespace Jobs
