#pragma once

/// Prometheus metrics of the job subsystem.

#include <chrono>
#include <memory>
#include <string>

namespace Jobs {

/// Load of a pool, from its owner's state.
struct LoadGauges {
    std::size_t activeJobs = 0;
    std::size_t candidates = 0; ///< Workers that accept new tasks.
    std::uint64_t waitingMilliCores = 0;
    std::uint64_t lateMilliCores = 0;
    std::uint64_t freeMilliCores = 0;
};

/// Metrics of one pool. Resolves the pool label once, as an owner makes thousands of observations a second. Thread-safe except
/// for countFinished() and countRefused().
class PoolMetrics {
public:
    ~PoolMetrics();
    PoolMetrics(const PoolMetrics&) = delete;
    PoolMetrics& operator=(const PoolMetrics&) = delete;

    /// marigoldstile_journal_commit_duration_seconds{pool}.
    void observeCommit(std::chrono::microseconds duration);
    /// marigoldstile_pool_decision_duration_seconds{pool}.
    void observeDecision(std::chrono::microseconds duration);
    /// marigoldstile_job_first_start_wait_seconds{pool}: from the time a job is due to its first run.
    void observeFirstStart(std::chrono::microseconds wait);
    /// marigoldstile_jobs_finished_total{pool,queue,state,outcome}.
    void countFinished(const std::string& queue, const std::string& state, const std::string& outcome);
    /// marigoldstile_jobs_refused_total{pool,queue}: of queues whose tasks crash their workers.
    void countRefused(const std::string& queue);
    /// marigoldstile_pool_active_jobs{pool}, _candidates, _waiting_cores, _late_cores and _free_cores.
    void setLoad(const LoadGauges&);

private:
    friend class JobMetrics;
    struct Private;
    explicit PoolMetrics(std::unique_ptr<Private>);

    std::unique_ptr<Private> m_private;
};

/// Thread-safe.
class JobMetrics {
public:
    static std::unique_ptr<JobMetrics> create();
    ~JobMetrics();
    JobMetrics(const JobMetrics&) = delete;
    JobMetrics& operator=(const JobMetrics&) = delete;

    /// marigoldstile_job_answers_total{verb,outcome,reason} and marigoldstile_job_answer_duration_seconds{verb}.
    void countAnswer(const std::string& verb, const std::string& outcome, const std::string& reason, std::chrono::microseconds duration);
    /// Metrics of a pool, created on first use. The reference is valid as long as this object.
    PoolMetrics& pool(const std::string& name);
    /// marigoldstile_duty_changes_total{duty,change}.
    void countDuty(const std::string& duty, const std::string& change);
    /// marigoldstile_unreadable_entries_total{kind}.
    void countUnreadable(const std::string& kind);
    /// marigoldstile_peak_forecast_error_seconds: between the expected start of a peak and its start, in either direction.
    void observeForecastError(std::chrono::milliseconds error);
    /// marigoldstile_owned_pools.
    void setOwnedPools(std::size_t count);
    /// marigoldstile_job_configuration_version.
    void setConfigurationVersion(std::uint64_t version);

    /// All metrics in the Prometheus text format.
    std::string exposition() const;

private:
    friend class PoolMetrics;

    JobMetrics();

    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Jobs
