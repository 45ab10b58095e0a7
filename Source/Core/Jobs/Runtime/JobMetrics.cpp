#include "Jobs/Runtime/JobMetrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <mutex>
#include <tuple>
#include <utility>

namespace Jobs {

namespace {

    /// Upper bounds in seconds, from the duration of a group commit to the longest deadline of a caller.
    const prometheus::Histogram::BucketBoundaries durationBuckets { 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10 };

    /// Upper bounds in seconds for decisions, from that of an idle pool to one far longer than a commit.
    const prometheus::Histogram::BucketBoundaries decisionBuckets { 0.0001, 0.0003, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5 };

    double inCores(std::uint64_t milliCores)
    {
        constexpr double permille = 1000;
        return static_cast<double>(milliCores) / permille;
    }

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
    prometheus::Family<prometheus::Histogram>& decisions = prometheus::BuildHistogram().Name("marigoldstile_pool_decision_duration_seconds").Help("Time of an owner's decision, until its records are handed to the journal.").Register(registry);
    prometheus::Family<prometheus::Histogram>& firstStarts = prometheus::BuildHistogram().Name("marigoldstile_job_first_start_wait_seconds").Help("Time from when a job is due to the placing of its first run.").Register(registry);
    prometheus::Family<prometheus::Counter>& finished = prometheus::BuildCounter().Name("marigoldstile_jobs_finished_total").Help("Jobs that reached their final state, by how that compares with their objective.").Register(registry);
    prometheus::Family<prometheus::Counter>& refused = prometheus::BuildCounter().Name("marigoldstile_jobs_refused_total").Help("Submissions refused, as the queue's tasks crash their workers and the job couldn't end in time.").Register(registry);
    prometheus::Family<prometheus::Gauge>& activeJobs = prometheus::BuildGauge().Name("marigoldstile_pool_active_jobs").Help("Jobs of an owned pool that aren't final.").Register(registry);
    prometheus::Family<prometheus::Gauge>& candidates = prometheus::BuildGauge().Name("marigoldstile_pool_candidates").Help("Workers of an owned pool that may take tasks.").Register(registry);
    prometheus::Family<prometheus::Gauge>& waitingCores = prometheus::BuildGauge().Name("marigoldstile_pool_waiting_cores").Help("Cores that tasks without a place ask for.").Register(registry);
    prometheus::Family<prometheus::Gauge>& lateCores = prometheus::BuildGauge().Name("marigoldstile_pool_late_cores").Help("Of the waiting cores, those of jobs that can't meet their objective any more.").Register(registry);
    prometheus::Family<prometheus::Gauge>& freeCores = prometheus::BuildGauge().Name("marigoldstile_pool_free_cores").Help("Cores that no run occupies at workers that may take tasks.").Register(registry);
    prometheus::Family<prometheus::Counter>& duties = prometheus::BuildCounter().Name("marigoldstile_duty_changes_total").Help("Duties acquired and lost.").Register(registry);
    prometheus::Family<prometheus::Counter>& unreadable = prometheus::BuildCounter().Name("marigoldstile_unreadable_entries_total").Help("Published entries that couldn't be read.").Register(registry);
    prometheus::Histogram& forecastError = prometheus::BuildHistogram().Name("marigoldstile_peak_forecast_error_seconds").Help("Time between the expected start of a pool's peak and its start.").Register(registry).Add({}, durationBuckets);
    prometheus::Gauge& ownedPools = prometheus::BuildGauge().Name("marigoldstile_owned_pools").Help("Pools whose jobs this host owns.").Register(registry).Add({});
    prometheus::Gauge& configurationVersion = prometheus::BuildGauge().Name("marigoldstile_job_configuration_version").Help("Version of the configuration in force here.").Register(registry).Add({});
    std::mutex mutex; ///< Guards `pools`.
    std::map<std::string, std::unique_ptr<PoolMetrics>> pools;
};

struct PoolMetrics::Private {
    Private(JobMetrics::Private& all, const std::string& pool)
        : name(pool)
        , finished(all.finished)
        , refused(all.refused)
        , commits(all.commits.Add({ { "pool", pool } }, durationBuckets))
        , decisions(all.decisions.Add({ { "pool", pool } }, decisionBuckets))
        , firstStarts(all.firstStarts.Add({ { "pool", pool } }, durationBuckets))
        , activeJobs(all.activeJobs.Add({ { "pool", pool } }))
        , candidates(all.candidates.Add({ { "pool", pool } }))
        , waitingCores(all.waitingCores.Add({ { "pool", pool } }))
        , lateCores(all.lateCores.Add({ { "pool", pool } }))
        , freeCores(all.freeCores.Add({ { "pool", pool } }))
    {
    }

    using Outcome = std::tuple<std::string, std::string, std::string>; ///< Queue, state and outcome.

    std::string name;
    prometheus::Family<prometheus::Counter>& finished;
    std::map<Outcome, prometheus::Counter*> finishedBy;
    prometheus::Family<prometheus::Counter>& refused;
    std::map<std::string, prometheus::Counter*> refusedBy; ///< By queue.
    prometheus::Histogram& commits;
    prometheus::Histogram& decisions;
    prometheus::Histogram& firstStarts;
    prometheus::Gauge& activeJobs;
    prometheus::Gauge& candidates;
    prometheus::Gauge& waitingCores;
    prometheus::Gauge& lateCores;
    prometheus::Gauge& freeCores;
};

PoolMetrics::PoolMetrics(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

PoolMetrics::~PoolMetrics() = default;

void PoolMetrics::observeCommit(std::chrono::microseconds duration) { m_private->commits.Observe(inSeconds(duration)); }

void PoolMetrics::observeDecision(std::chrono::microseconds duration) { m_private->decisions.Observe(inSeconds(duration)); }

void PoolMetrics::observeFirstStart(std::chrono::microseconds wait) { m_private->firstStarts.Observe(inSeconds(wait)); }

void PoolMetrics::countFinished(const std::string& queue, const std::string& state, const std::string& outcome)
{
    auto& counter = m_private->finishedBy[{ queue, state, outcome }];
    if (!counter)
        counter = &m_private->finished.Add({ { "pool", m_private->name }, { "queue", queue }, { "state", state }, { "outcome", outcome } });
    counter->Increment();
}

void PoolMetrics::countRefused(const std::string& queue)
{
    auto& counter = m_private->refusedBy[queue];
    if (!counter)
        counter = &m_private->refused.Add({ { "pool", m_private->name }, { "queue", queue } });
    counter->Increment();
}

void PoolMetrics::setLoad(const LoadGauges& load)
{
    m_private->activeJobs.Set(static_cast<double>(load.activeJobs));
    m_private->candidates.Set(static_cast<double>(load.candidates));
    m_private->waitingCores.Set(inCores(load.waitingMilliCores));
    m_private->lateCores.Set(inCores(load.lateMilliCores));
    m_private->freeCores.Set(inCores(load.freeMilliCores));
}

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

PoolMetrics& JobMetrics::pool(const std::string& name)
{
    const std::lock_guard lock(m_private->mutex);
    auto& found = m_private->pools[name];
    if (!found)
        found = std::unique_ptr<PoolMetrics>(new PoolMetrics(std::make_unique<PoolMetrics::Private>(*m_private, name)));
    return *found;
}

void JobMetrics::countDuty(const std::string& duty, const std::string& change)
{
    m_private->duties.Add({ { "duty", duty }, { "change", change } }).Increment();
}

void JobMetrics::countUnreadable(const std::string& kind)
{
    m_private->unreadable.Add({ { "kind", kind } }).Increment();
}

void JobMetrics::observeForecastError(std::chrono::milliseconds error) { m_private->forecastError.Observe(inSeconds(std::chrono::abs(error))); }

void JobMetrics::setOwnedPools(std::size_t count) { m_private->ownedPools.Set(static_cast<double>(count)); }

void JobMetrics::setConfigurationVersion(std::uint64_t version) { m_private->configurationVersion.Set(static_cast<double>(version)); }

std::string JobMetrics::exposition() const
{
    return prometheus::TextSerializer().Serialize(m_private->registry.Collect());
}

} // namespace Jobs
