#pragma once

/// Runs the decision core in virtual time against a queue whose demand rises to several times the capacity of its pool.

#include "Jobs/Decision/PoolCore.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

/// Parameters of the load and the pool.
struct OverloadSettings {
    unsigned workers = 20;
    unsigned coresEach = 16;
    double demand = 2.0; ///< During the peak, relative to the pool's cores.
    double trough = 0.1; ///< Before and after the peak, relative to the pool's cores.
    std::chrono::milliseconds lead { 1000 };
    std::chrono::milliseconds peak { 8000 };
    std::chrono::milliseconds tail { 10000 };
    /// Start of a store outage, counted from the start of the peak. During it, no jobs are accepted, placed or recorded as ended.
    std::chrono::milliseconds outageAt { 0 };
    std::chrono::milliseconds outage { 0 };
    double meanSteps = 1.6;
    double meanWidth = 8;
    double meanTaskSeconds = 0.64;
    double meanMilliCores = 1500;
    double widthSpread = 0.6; ///< The spreads are standard deviations of the logarithms.
    double taskSpread = 0.5;
    double coreSpread = 0.45;
    double unevenness = 0.15; ///< Spread of the run times within a step.
    double estimateSpread = 0.2; ///< Of mean run times relative to their estimates.
    std::uint64_t seed = 1;
};

/// How a job ended, in relation to its objective.
enum class ObjectiveOutcome {
    InTime,
    Late, ///< Within three times its objective.
    Overdue,
    Refused,
};

/// A job of the replay.
struct ReplayedJob {
    Jobs::JobId id;
    double coreSeconds = 0;
    std::chrono::milliseconds objective { 0 }; ///< As callers calculate it, from the actual run times.
    Common::Instant submittedAt {};
    ObjectiveOutcome objectiveOutcome = ObjectiveOutcome::Overdue;
};

/// Shares of all jobs, from 0 to 1.
struct ServedShares {
    double inTime = 0;
    double served = 0; ///< In time or late.
};

/// One simulation with the given settings.
class OverloadReplay {
public:
    using milliseconds = std::chrono::milliseconds;

    explicit OverloadReplay(const OverloadSettings&);

    /// Simulates the whole load; call it once, before the getters.
    void run();

    const std::vector<ReplayedJob>& jobs() const { return m_jobs; }
    ServedShares all() const { return shareOf(0, 1); }
    /// Shares of a part of the jobs in order of size, smallest first; for example 0.9 to 1 for the largest tenth.
    ServedShares bySize(double from, double to) const { return shareOf(from, to); }
    /// Benefit earned, as a part of the possible benefit, by the users' weights of jobs.
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
    void recordFinished(Jobs::Moment);
    double demandAt(std::chrono::milliseconds) const;
    bool isStoreDown(std::chrono::milliseconds) const;
    ServedShares shareOf(double from, double to) const;
    static ServedShares shareOf(const std::vector<const ReplayedJob*>&);

    OverloadSettings m_settings;
    Jobs::PoolCore m_core;
    Jobs::QueueRule m_queue;
    std::mt19937_64 m_random;
    std::map<std::string, SimulatedWorker> m_workers;
    std::map<Jobs::JobId, std::vector<std::vector<milliseconds>>> m_runTimes; ///< By step and task.
    std::vector<ReplayedJob> m_jobs;
    std::vector<std::size_t> m_open;
    double m_dueJobs = 0;
};
