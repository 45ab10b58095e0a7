#pragma once

/// Metrics of the job subsystem under the names and units that Prometheus users expect.

#include <chrono>
#include <memory>
#include <string>

namespace Jobs {

/// Thread-safe.
class JobMetrics {
public:
    static std::unique_ptr<JobMetrics> create();
    ~JobMetrics();
    JobMetrics(const JobMetrics&) = delete;
    JobMetrics& operator=(const JobMetrics&) = delete;

    /// marigoldstile_job_answers_total{verb,outcome,reason} and marigoldstile_job_answer_duration_seconds{verb}.
    void countAnswer(const std::string& verb, const std::string& outcome, const std::string& reason, std::chrono::microseconds duration);
    /// marigoldstile_journal_commit_duration_seconds{pool}.
    void countCommit(const std::string& pool, std::chrono::milliseconds duration);
    /// marigoldstile_duty_changes_total{duty,change}.
    void countDuty(const std::string& duty, const std::string& change);
    /// marigoldstile_unreadable_entries_total{kind}.
    void countUnreadable(const std::string& kind);
    /// marigoldstile_owned_pools.
    void setOwnedPools(std::size_t count);
    /// marigoldstile_job_configuration_version.
    void setConfigurationVersion(std::uint64_t version);

    /// Every metric in the Prometheus text format.
    std::string exposition() const;

private:
    JobMetrics();

    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Jobs
