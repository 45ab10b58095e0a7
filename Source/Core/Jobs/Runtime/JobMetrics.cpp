#include "Jobs/Runtime/JobMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace Jobs {

namespace {

    /// Upper bounds in seconds; from a group commit to the longest deadline of a caller.
    const prometheus::Histogram::BucketBoundaries durationBuckets { 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10 };

    double inSeconds(std::chrono::microseconds duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

} // namespace

struct JobMetrics::Private {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& answers = prometheus::BuildCounter().Name("marigoldstile_job_answers_total").Help("Calls of job callers answered, by outcome and reason.").Register(registry);
    prometheus::Family<prometheus::Histogram>& answerDuration = prometheus::BuildHistogram().Name("marigoldstile_job_answer_duration_seconds").Help("Time from a call's arrival to its answer.").Register(registry);
    prometheus::Family<prometheus::Histogram>& commits = prometheus::BuildHistogram().Name("marigoldstile_journal_commit_duration_seconds").Help("Time of a group commit to the platform's store.").Register(registry);
    prometheus::Family<prometheus::Counter>& duties = prometheus::BuildCounter().Name("marigoldstile_duty_changes_total").Help("Duties acquired and lost.").Register(registry);
    prometheus::Family<prometheus::Counter>& unreadable = prometheus::BuildCounter().Name("marigoldstile_unreadable_entries_total").Help("Published entries that couldn't be read.").Register(registry);
    prometheus::Gauge& ownedPools = prometheus::BuildGauge().Name("marigoldstile_owned_pools").Help("Pools whose jobs this host owns.").Register(registry).Add({});
    prometheus::Gauge& configurationVersion = prometheus::BuildGauge().Name("marigoldstile_job_configuration_version").Help("Version of the configuration in force here.").Register(registry).Add({});
};

JobMetrics::JobMetrics()
    : m_private(std::make_unique<Private>())
{
}

JobMetrics::~JobMetrics() = default;

std::unique_ptr<JobMetrics> JobMetrics::create()
{
    return std::unique_ptr<JobMetrics>(new JobMetrics);
}

void JobMetrics::countAnswer(const std::string& verb, const std::string& outcome, const std::string& reason, std::chrono::microseconds duration)
{
    m_private->answers.Add({ { "verb", verb }, { "outcome", outcome }, { "reason", reason } }).Increment();
    m_private->answerDuration.Add({ { "verb", verb } }, durationBuckets).Observe(inSeconds(duration));
}

void JobMetrics::countCommit(const std::string& pool, std::chrono::milliseconds duration)
{
    m_private->commits.Add({ { "pool", pool } }, durationBuckets).Observe(inSeconds(duration));
}

void JobMetrics::countDuty(const std::string& duty, const std::string& change)
{
    m_private->duties.Add({ { "duty", duty }, { "change", change } }).Increment();
}

void JobMetrics::countUnreadable(const std::string& kind)
{
    m_private->unreadable.Add({ { "kind", kind } }).Increment();
}

void JobMetrics::setOwnedPools(std::size_t count) { m_private->ownedPools.Set(static_cast<double>(count)); }

void JobMetrics::setConfigurationVersion(std::uint64_t version) { m_private->configurationVersion.Set(static_cast<double>(version)); }

std::string JobMetrics::exposition() const
{
    return prometheus::TextSerializer().Serialize(m_private->registry.Collect());
}

} // namespace Jobs
