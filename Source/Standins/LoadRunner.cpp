#include "Standins/LoadRunner.h"

#include "Adapters/Platform/CurlClient.h"
#include "Common/Time.h"
#include "Standins/ExecutorStandin.h"
#include "Standins/StandinJson.h"

#include <algorithm>
#include <set>
#include <utility>

namespace Standins {

using Adapters::HttpCall;
using Adapters::HttpEnd;
using Adapters::HttpOutcome;
using Common::BootClock;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds readyInterval { 200 };
    constexpr milliseconds readyTimeout { 1000 };
    constexpr milliseconds resendDelay { 20 };
    constexpr milliseconds answerGrace { 2000 }; ///< Wait past the deadline before a request counts as lost.
    constexpr milliseconds runsTimeout { 5000 };
    constexpr int statusOk = 200;

    /// A request in progress.
    struct Pending {
        PlannedRequest plan;
        std::string key;
        Common::Instant startedAt {};
        std::string target; ///< Of the latest attempt.
        bool mayHaveRun = false; ///< Some attempt may have run the request.
    };

    milliseconds retryAfterOf(const HttpOutcome& outcome)
    {
        const milliseconds precise(jsonNumber(Json::Value(outcome.header("marigold-retry-after-ms"))));
        const std::chrono::seconds coarse(jsonNumber(Json::Value(outcome.header("retry-after"))));
        return precise.count() ? precise : milliseconds(coarse);
    }

} // namespace

class LoadRunner::Private {
public:
    Private(Adapters::EventLoop& loop, const LoadSettings& settings)
        : m_loop(loop)
        , m_settings(settings)
        , m_client(Adapters::CurlClient::create(loop))
        , m_runTag(std::to_string(Common::wallNow().time_since_epoch().count()))
        , m_plan(settings, m_runTag)
        , m_random(settings.seed + 1)
    {
    }

    void start(DoneCallback done)
    {
        m_done = std::move(done);
        // The first readiness polls must be answered before the first request is sent.
        m_startedAt = BootClock::now() + readyInterval;
        for (const auto& it : m_settings.targets)
            pollReady(it);
        scheduleNext();
    }

    void finishEarly()
    {
        m_planEnded = true;
        m_loop.cancel(m_nextTimer);
        finishIfIdle();
    }

    void shutdown()
    {
        m_planEnded = true;
        m_done = {};
        m_client->shutdown();
    }

private:
    using PendingPtr = std::shared_ptr<Pending>;

    void pollReady(const std::string& target)
    {
        HttpCall call;
        call.url = "http://" + target + "/ready";
        call.timeout = readyTimeout;
        m_client->start(std::move(call), [this, target](const HttpOutcome& outcome) {
            if (outcome.end == HttpEnd::Answered && outcome.status == statusOk)
                m_ready.insert(target);
            else
                m_ready.erase(target);
            if (m_done)
                m_loop.after(readyInterval, [this, target] { pollReady(target); });
        });
    }

    void scheduleNext()
    {
        auto plan = m_plan.next();
        if (m_planEnded || plan.at >= m_settings.length) {
            m_planEnded = true;
            finishIfIdle();
            return;
        }
        const auto delay = std::chrono::duration_cast<milliseconds>(m_startedAt + plan.at - BootClock::now());
        m_nextTimer = m_loop.after(std::max(delay, milliseconds(0)), [this, plan = std::move(plan)] {
            begin(plan);
            scheduleNext();
        });
    }

    void begin(const PlannedRequest& plan)
    {
        const auto pending = std::make_shared<Pending>();
        pending->plan = plan;
        pending->key = uuidV7(Common::wallNow().time_since_epoch(), m_random);
        pending->startedAt = BootClock::now();
        ++m_pendingCount;
        attempt(pending);
    }

    milliseconds timeLeft(const Pending& pending) const
    {
        return std::chrono::duration_cast<milliseconds>(pending.startedAt + m_settings.timeout - BootClock::now());
    }

    /// Selects ready targets in turn, like a load balancer, and avoids the last one if another is ready; empty if none is.
    std::string nextTarget(const std::string& last)
    {
        const std::size_t n = m_settings.targets.size();
        std::string fallback;
        for (std::size_t i = 0; i < n; ++i) {
            const std::string& target = m_settings.targets[m_targetIndex++ % n];
            if (!m_ready.contains(target))
                continue;
            if (target != last)
                return target;
            fallback = target;
        }
        return fallback;
    }

    void attempt(const PendingPtr& pending)
    {
        if (timeLeft(*pending).count() <= 0) {
            end(*pending, pending->mayHaveRun ? LoadEnd::Unknown : LoadEnd::NotRun);
            return;
        }
        const std::string target = nextTarget(pending->target);
        if (target.empty()) {
            retryAfter(pending, readyInterval);
            return;
        }
        pending->target = target;
        m_client->start(callOf(*pending), [this, pending](const HttpOutcome& outcome) { handleOutcome(pending, outcome); });
    }

    HttpCall callOf(const Pending& pending) const
    {
        const milliseconds left = timeLeft(pending);
        HttpCall call;
        call.method = "POST";
        call.url = "http://" + pending.target + "/v1/services/" + pending.plan.service;
        call.headers = {
            { "Content-Type", "text/plain" },
            { "Connection", "Keep-Alive" },
            { "Marigold-Team", pending.plan.team },
            { "Marigold-Priority", pending.plan.priority },
            { "Marigold-Timeout-Ms", std::to_string(std::max<milliseconds::rep>(left.count(), 1)) },
            { "Marigold-Idempotent", pending.plan.idempotent ? "true" : "false" },
            { "Idempotency-Key", "\"" + pending.key + "\"" },
        };
        call.body = pending.plan.body;
        call.timeout = left + answerGrace;
        return call;
    }

    void handleOutcome(const PendingPtr& pending, const HttpOutcome& outcome)
    {
        if (outcome.end == HttpEnd::NotSent) {
            m_ready.erase(pending->target);
            retryAfter(pending, resendDelay);
            return;
        }
        if (outcome.end == HttpEnd::Broken) {
            handleBroken(pending);
            return;
        }
        const std::string reportedOutcome = outcome.header("marigold-outcome");
        if (reportedOutcome == "done")
            end(*pending, isOwnAnswer(*pending, outcome) ? LoadEnd::Answered : LoadEnd::Mismatched);
        else if (reportedOutcome == "not-run")
            handleNotRun(pending, retryAfterOf(outcome));
        else if (reportedOutcome == "unknown")
            handleUnknown(pending);
        else
            end(*pending, LoadEnd::Lost);
    }

    void handleBroken(const PendingPtr& pending)
    {
        // The call timed out past the deadline: the host kept the connection open but never answered.
        if (timeLeft(*pending) <= -answerGrace) {
            end(*pending, LoadEnd::Lost);
            return;
        }
        pending->mayHaveRun = true;
        retryAfter(pending, resendDelay);
    }

    void handleNotRun(const PendingPtr& pending, milliseconds delay)
    {
        if (delay.count() > 0 && delay < timeLeft(*pending))
            retryAfter(pending, delay);
        else
            end(*pending, pending->mayHaveRun ? LoadEnd::Unknown : LoadEnd::NotRun);
    }

    void handleUnknown(const PendingPtr& pending)
    {
        pending->mayHaveRun = true;
        if (pending->plan.idempotent && timeLeft(*pending) > resendDelay)
            retryAfter(pending, resendDelay);
        else
            end(*pending, LoadEnd::Unknown);
    }

    void retryAfter(const PendingPtr& pending, milliseconds delay)
    {
        m_loop.after(delay, [this, pending] { attempt(pending); });
    }

    static bool isOwnAnswer(const Pending& pending, const HttpOutcome& outcome)
    {
        return outcome.body.ends_with(" " + bodyHash(pending.plan.body) + " " + pending.plan.body);
    }

    void end(const Pending& pending, LoadEnd end)
    {
        m_tally.add({ end, pending.plan.idempotent, pending.mayHaveRun, bodyHash(pending.plan.body), BootClock::now() - pending.startedAt });
        --m_pendingCount;
        finishIfIdle();
    }

    void finishIfIdle()
    {
        if (!m_planEnded || m_pendingCount || std::exchange(m_readingRuns, true))
            return;
        readRuns(0);
    }

    void readRuns(std::size_t index)
    {
        if (index == m_settings.executors.size()) {
            const auto done = std::exchange(m_done, {});
            if (done)
                done(m_tally.summary(m_runs));
            return;
        }
        HttpCall call;
        call.url = "http://" + m_settings.executors[index] + "/runs";
        call.timeout = runsTimeout;
        m_client->start(std::move(call), [this, index](const HttpOutcome& outcome) {
            addRuns(outcome);
            readRuns(index + 1);
        });
    }

    void addRuns(const HttpOutcome& outcome)
    {
        const auto body = outcome.end == HttpEnd::Answered ? parseJsonObject(outcome.body) : std::nullopt;
        if (!body) {
            ++m_runs.executorsUnread;
            return;
        }
        ++m_runs.executorsRead;
        for (const auto& it : (*body)["byBodyHash"].getMemberNames())
            m_runs.byBodyHash[it] += (*body)["byBodyHash"][it].asUInt64();
    }

    Adapters::EventLoop& m_loop;
    const LoadSettings m_settings;
    std::unique_ptr<Adapters::CurlClient> m_client;
    const std::string m_runTag;
    LoadPlan m_plan;
    std::mt19937_64 m_random;
    LoadTally m_tally;
    ExecutorRuns m_runs;
    DoneCallback m_done;
    Common::Instant m_startedAt {};
    std::set<std::string> m_ready;
    std::size_t m_targetIndex = 0;
    std::size_t m_pendingCount = 0;
    bool m_planEnded = false;
    bool m_readingRuns = false;
    Adapters::EventLoop::TimerId m_nextTimer = 0;
};

LoadRunner::LoadRunner(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

LoadRunner::~LoadRunner() = default;

std::unique_ptr<LoadRunner> LoadRunner::create(Adapters::EventLoop& loop, const LoadSettings& settings)
{
    return std::unique_ptr<LoadRunner>(new LoadRunner(std::make_unique<Private>(loop, settings)));
}

void LoadRunner::start(DoneCallback done)
{
    m_private->start(std::move(done));
}

void LoadRunner::finishEarly()
{
    m_private->finishEarly();
}

void LoadRunner::shutdown()
{
    m_private->shutdown();
}

} // namespace Standins
