#pragma once

/// Decides everything about one pool's jobs: (time, event) in, records and orders out. No I/O, no clock.

#include "Jobs/Decision/AdviceBook.h"
#include "Jobs/Decision/JobAccount.h"
#include "Jobs/Decision/JobTable.h"
#include "Jobs/Decision/Placement.h"
#include "Jobs/Decision/PoolOutput.h"
#include "Jobs/Decision/QueueOrder.h"
#include "Jobs/Decision/Worker.h"
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

/// Times that the platform promises or asks for.
struct PoolLimits {
    milliseconds retention { 120000 }; ///< Final states are shown at least this long.
    unsigned remoteFactorPermille = 1000; ///< Run time away from a step's data rack.
};

/// Load of one worker.
struct WorkerLoad {
    std::string worker;
    std::string machine;
    unsigned runs = 0;
    unsigned lastingRuns = 0;
    bool isCordoned = false;
    Resources lasting {}; ///< Occupied by lasting runs.
};

/// Load of a pool, as moves and maintenance weigh it.
struct PoolLoad {
    std::string pool;
    std::uint64_t waitingMilliCores = 0; ///< Of released tasks without a place.
    std::uint64_t lateMilliCores = 0; ///< Of these, of jobs that can't meet their objective any more.
    std::uint64_t busyMilliCores = 0;
    std::uint64_t lastingMilliCores = 0; ///< Of these, of lasting tasks.
    std::uint64_t capacityMilliCores = 0; ///< Of workers that may take tasks.
    std::uint64_t waitingWork = 0; ///< Core-milliseconds of waiting tasks, by their estimates.
    std::vector<WorkerLoad> workers;
};

/// Load of a pool and why it isn't less, as operators want to see it.
struct PoolPressure {
    PoolLoad load;
    std::size_t activeJobs = 0;
    std::size_t runs = 0;
    std::size_t waitingTasks = 0; ///< Released tasks without a place.
    milliseconds oldestWaiting { 0 }; ///< Since the job of such a task became due.
    std::uint64_t freeMilliCores = 0; ///< Of workers that may take tasks.
    std::size_t candidates = 0; ///< Workers that may take tasks; those that may not count below, some more than once.
    std::size_t silent = 0; ///< Haven't answered lately, or not yet.
    std::size_t cordoned = 0;
    std::size_t avoided = 0; ///< For a while, after refusals and failures.
    std::size_t leaving = 0; ///< Draining, or not listed.
};

/// The pool's state and its decisions.
class PoolCore {
public:
    explicit PoolCore(const PoolLimits&);

    /// Replays a journal; then, once, tells that it is whole.
    void load(const std::vector<JobRecord>&);
    void loaded(Moment);

    void configure(const JobConfiguration&);
    void workerListed(const WorkerEntry&, Moment);
    /// The entry went away, which proves nothing about the worker.
    void workerUnlisted(const std::string& worker, Moment);
    /// The worker doesn't answer: it gets no new runs.
    void workerSilent(const std::string& worker, Moment);
    /// The worker surely runs nothing of what it was given.
    void workerLost(const std::string& worker, const char* reason, Moment);
    /// The only workers that are to be vacated for maintenance or moves.
    void cordon(const std::set<std::string>& workers, Moment);

    Ports::JobAnswer submit(const JobId&, const QueueRule&, JobSpec, Moment);
    Ports::JobAnswer cancel(const JobId&, Moment);
    Ports::JobAnswer show(const JobId&) const;
    /// Accepted jobs of a queue without a schedule, of which nothing has started.
    std::uint64_t backlog(const std::string& queue) const;

    void startAnswered(const StartRun&, const Ports::WorkerAnswer&, Moment);
    /// Asked when a stop leaves: the store or the worker may have kept it waiting for seconds.
    bool mayStop(const StopRun&, Moment) const;
    void stopAnswered(const StopRun&, const Ports::WorkerAnswer&, Moment);
    /// The stop never left, or surely did nothing: the run goes on.
    void stopWithdrawn(const StopRun&, Moment);
    void looked(const std::string& worker, const Ports::PollAnswer&, Instant sentAt, Moment);
    void advised(const AskAdvice&, const std::vector<AdvisedWorker>&, milliseconds validity, Moment);

    /// Begins what is due and places what can be placed.
    void decide(Moment);
    /// When decide() is due if nothing else happens.
    std::optional<Instant> nextDecision(Moment) const;

    PoolOutput takeOutput();
    PoolLoad loadReport(Moment) const;
    PoolPressure pressure(Moment) const;
    std::vector<JobRecord> snapshot(Moment);
    const JobTable& jobs() const { return m_jobs; }
    const Worker* findWorker(const std::string& id) const;
    /// True when a look at the worker should come back soon: users' latency is watched there.
    bool needsCloseLook(const std::string& worker) const;

private:
    struct WaitingStep {
        QueueKey key;
        Job* job = nullptr;
        unsigned occurrence = 0;
        unsigned step = 0;
    };

    void record(JobRecord);
    void recordEnd(RunEnded);
    void logFinished(const JobId&, const JobAccount&);
    void log(const char* event, const std::string& id, std::vector<std::pair<const char*, std::string>> fields);
    std::string faultFor(const JobSpec&) const;

    void endSeen(Worker&, const Ports::EndedTask&, Moment);
    void judgeWorker(Worker&, const TaskKey&, RunEnd, Moment);
    void runSeen(Worker&, const Ports::RunningTask&, Moment);
    void findVanished(Worker&, Instant sentAt, Moment);
    void findStalled(Worker&, Moment);
    void pace(Worker&);
    void orderStop(Worker&, const TaskKey&, WorkerRun&, bool isOptional = false);
    void stopGang(const TaskKey& member);
    void stopJob(const JobId&);

    void beginDue(Moment);
    void vacate(Moment);
    bool mayInterrupt(const TaskKey&, Instant now) const;
    bool isAtWork(const TaskKey&, const Task&) const;
    std::vector<WaitingStep> waitingSteps(Moment);
    bool placeStep(const WaitingStep&, std::vector<Candidate>&, Moment);
    void placeGang(const WaitingStep&, std::vector<Candidate>&, const PlacementRequest&, Moment);
    void placeTask(Job&, const TaskKey&, RunNumber, Candidate&, Moment);
    bool mayRunRemote(const WaitingStep&, Moment) const;
    bool isAdvised(const WaitingStep&, const Worker&, Instant now) const;
    void askAdvice(const WaitingStep&, const std::vector<Candidate>&, Moment);

    PoolLimits m_limits;
    JobConfiguration m_configuration;
    JobTable m_jobs;
    AdviceBook m_advice;
    std::map<std::string, Worker> m_workers;
    std::set<std::string> m_cordoned;
    Instant m_settledAt {}; ///< From then on nothing that an owner before has stopped still seems to run.
    PoolOutput m_output;
};

} // namespace Jobs
