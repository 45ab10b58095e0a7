#pragma once

/// Replays a queue whose demand rises to several times what its pool holds, against the decision core, in virtual time.

#include "Jobs/Decision/PoolCore.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

/// The load and the pool.
struct OverloadSettings {
    unsigned workers = 20;
    unsigned coresEach = 16;
    double demand = 2.0; ///< Of the pool's cores, during the peak.
    double trough = 0.1; ///< Before and after it.
    std::chrono::milliseconds lead { 1000 };
    std::chrono::milliseconds peak { 8000 };
    std::chrono::milliseconds tail { 10000 };
    /// The store is away from then on, counted from the start of the peak: nothing is accepted, placed or noted as ended.
    std::chrono::milliseconds outageAt { 0 };
    std::chrono::milliseconds outage { 0 };
    double meanSteps = 1.6;
    double meanWidth = 8;
    double meanTaskSeconds = 0.64;
    double meanMilliCores = 1500;
    double widthSpread = 0.6; ///< Standard deviations of the logarithms.
    double taskSpread = 0.5;
    double coreSpread = 0.45;
    double unevenness = 0.15; ///< Of a step's tasks among each other.
    double estimateSpread = 0.2;
    std::uint64_t seed = 1;
};

/// What became of a job, by its objective.
enum class JobFate {
    InTime,
    Late, ///< Within three times its objective.
    Overdue,
    Refused,
};

/// One job of the replay.
struct ReplayedJob {
    Jobs::JobId id;
    double coreSeconds = 0;
    std::chrono::milliseconds objective { 0 }; ///< As the callers count it, from the real run times.
    Common::Instant submittedAt {};
    JobFate fate = JobFate::Overdue;
};

/// Shares of jobs.
struct Served {
    double inTime = 0;
    double served = 0; ///< In time or late.
};

/// A run of the load.
class OverloadReplay {
public:
    using milliseconds = std::chrono::milliseconds;

    explicit OverloadReplay(const OverloadSettings&);

    void run();

    const std::vector<ReplayedJob>& jobs() const { return m_jobs; }
    Served all() const { return shareOf(0, 1); }
    /// Of the jobs by size, from the smallest; for example 0.9 to 1 for the largest tenth.
    Served bySize(double from, double to) const { return shareOf(from, to); }
    /// Benefit earned of what was owed, as the users weigh jobs.
    double benefit() const;

private:
    struct Run {
        Jobs::RunNumber run = 0;
        Common::Instant startsAt {};
        Common::Instant endsAt {};
        std::uint64_t milliCores = 0;
    };
    struct SimulatedWorker {
        std::map<Jobs::TaskKey, Run> runs;
        std::uint64_t lastEnd = 0;
    };

    void submitDue(Jobs::Moment);
    Jobs::JobSpec makeSpec();
    std::vector<std::vector<milliseconds>> drawRunTimes(const Jobs::JobSpec&);
    double draw(double mean, double spread, double limit);
    void collectEnds(Jobs::Moment);
    void takeOrders(Jobs::Moment);
    void noteFinished(Jobs::Moment);
    double demandAt(std::chrono::milliseconds) const;
    bool isStoreAway(std::chrono::milliseconds) const;
    Served shareOf(double from, double to) const;
    static Served shareOf(const std::vector<const ReplayedJob*>&);

    OverloadSettings m_settings;
    Jobs::PoolCore m_core;
    Jobs::QueueRule m_queue;
    std::mt19937_64 m_random;
    std::map<std::string, SimulatedWorker> m_workers;
    std::map<Jobs::JobId, std::vector<std::vector<milliseconds>>> m_runTimes; ///< By step and task.
    std::vector<ReplayedJob> m_jobs;
    std::vector<std::size_t> m_open;
    double m_owedJobs = 0;
};
