#include "Jobs/Runtime/PoolOwner.h"

#include "Jobs/Runtime/Events.h"
#include "Jobs/Runtime/Ownership.h"
#include "Jobs/Runtime/PoolOwnerState.h"

#include <algorithm>
#include <utility>

namespace Jobs {

using Ports::JobAnswer;
using Ports::JobOutcome;

namespace {

    constexpr milliseconds recoveryRetryAfter { 400 };
    /// A decision goes through all active jobs, and its orders wait for a commit, of which there is one every 20 ms.
    constexpr milliseconds decisionInterval { 10 };
    constexpr milliseconds reportInterval { 1000 }; ///< Of "pool-load" events.

    JobAnswer refusal(const char* reason, milliseconds retryAfter)
    {
        JobAnswer answer;
        answer.outcome = JobOutcome::Refused;
        answer.reason = reason;
        answer.retryAfter = retryAfter;
        return answer;
    }

} // namespace

PoolOwner::State::State(const OwnerContext& ownerContext, std::string name, Fence ownFence, Hooks ownerHooks)
    : context(ownerContext)
    , loop(ownerContext.loop)
    , pool(std::move(name))
    , metrics(ownerContext.metrics.pool(pool))
    , fence(ownFence)
    , hooks(std::move(ownerHooks))
    , ownedSince(ownerContext.loop.now())
    , core(ownerContext.poolLimits)
    , journal(ownerContext.loop, ownerContext.platform, { pool, Ownership::keyOf(pool), fence }, journalHooks())
    , queueHomes(ownerContext.loop, ownerContext.platform, pool, { Ownership::keyOf(pool), static_cast<std::int64_t>(fence) }, [this](const std::string& queue) { return core.jobs().hasJobOf(queue, loop.wallNow() - context.poolLimits.retention); })
    , limiter("pool." + pool)
{
}

void PoolOwner::State::log(const LogEvent& event) const
{
    writeEvent("pool." + pool, event);
}

Journal::Hooks PoolOwner::State::journalHooks()
{
    Journal::Hooks result;
    result.deposed = [this] { depose("journal"); };
    result.snapshot = [this] { return core.snapshot(moment()); };
    result.committed = [this](milliseconds duration) {
        activity.addCommit(loop.now(), duration);
        metrics.observeCommit(duration);
    };
    result.sent = [this] { context.storeSilence.onSent(loop.now()); };
    result.answered = [this] { context.storeSilence.onAnswered(); };
    return result;
}

void PoolOwner::State::depose(const char* reason)
{
    if (isClosed)
        return;
    isClosed = true;
    log({ "deposed", pool, { { "reason", reason }, { "fence", std::to_string(fence) } } });
    const auto deposed = hooks.onDeposed;
    deposed();
}

void PoolOwner::State::onJournalLoaded(const std::vector<JobRecord>& records)
{
    core.load(records);
    core.finishLoad(moment());
    isServing = true;
    queueHomes.configure(configuration);
    log({ "recovered", pool, { { "fence", std::to_string(fence) }, { "tookMs", std::to_string(ownedFor().count()) }, { "records", std::to_string(records.size()) }, { "active", std::to_string(core.jobs().active().size()) } } });
    for (const auto& [id, entry] : entries)
        core.onWorkerListed(entry, moment());
    for (const auto& [id, entry] : entries)
        openSession(entry);
    // Workers known from the journal only keep their runs until they answer or their leases are certain to have lapsed.
    std::set<std::string> recoveredWorkers;
    core.jobs().forEachTask([&](const Job&, const TaskKey&, const Task& task) {
        if (task.state == Task::State::Placed && !entries.contains(task.worker))
            recoveredWorkers.insert(task.worker);
    });
    for (const auto& id : recoveredWorkers) {
        WorkerEntry entry;
        entry.id = id;
        openSession(entry);
    }
    scheduleDecision();
}

void PoolOwner::State::scheduleDecision()
{
    if (isClosed || !isServing || isDecisionScheduled)
        return;
    isDecisionScheduled = true;
    const auto now = loop.now();
    decisionDueAt = std::max(now, decidedAt + decisionInterval);
    loop.after(std::chrono::ceil<milliseconds>(decisionDueAt - now), [self = weak_from_this()] {
        if (const auto state = self.lock())
            state->decide();
    });
}

void PoolOwner::State::decide()
{
    isDecisionScheduled = false;
    decidedAt = loop.now();
    if (isClosed || !isServing)
        return;
    core.decide(moment());
    flush();
    const auto endedAt = loop.now();
    activity.addDecision(decisionDueAt, decidedAt, endedAt);
    metrics.observeDecision(endedAt - decidedAt);
    loop.cancel(decisionTimer);
    if (const auto next = core.nextDecision(moment())) {
        const auto delay = std::max(milliseconds(1), std::chrono::ceil<milliseconds>(*next - loop.now()));
        decisionTimer = loop.after(delay, [self = weak_from_this()] {
            if (const auto state = self.lock())
                state->scheduleDecision();
        });
    }
}

void PoolOwner::State::flush()
{
    auto output = core.takeOutput();
    for (const auto& id : output.forgottenWorkers)
        scheduleSessionRemoval(id);
    for (const auto& it : output.log)
        log(it);
    for (const auto& it : output.finished)
        metrics.countFinished(it.queue, nameOf(it.state), it.outcome());
    for (const auto& it : output.firstStarts)
        metrics.observeFirstStart(it);
    for (const auto& it : output.refused)
        noteRefused(it);
    if (output.records.empty() && output.orders.empty())
        return;
    activity.addRecords(output.records);
    journal.append(output.records, [self = weak_from_this(), orders = std::move(output.orders)] {
        const auto state = self.lock();
        if (!state || state->isClosed)
            return;
        for (const auto& it : orders)
            std::visit([&](const auto& order) { state->execute(order); }, it);
    });
}

void PoolOwner::State::noteRefused(const RefusedJob& it)
{
    metrics.countRefused(it.queue);
    limiter.write({ "job-refused", it.job, { { "queue", it.queue }, { "expectedMs", std::to_string(it.expected.count()) }, { "usefulMs", std::to_string(it.usefulFor.count()) }, { "retryAfterMs", std::to_string(it.retryAfter.count()) } } }, loop.now());
}

void PoolOwner::State::scheduleReport()
{
    reportTimer = loop.after(reportInterval, [self = weak_from_this()] {
        if (const auto state = self.lock(); state && !state->isClosed)
            state->logLoad();
    });
}

void PoolOwner::State::logLoad()
{
    if (!isServing)
        log({ "recovering", pool, { { "fence", std::to_string(fence) }, { "ownedForMs", std::to_string(ownedFor().count()) } } });
    const auto pressure = core.pressure(moment());
    metrics.setLoad({ pressure.activeJobs, pressure.candidates, pressure.load.waitingMilliCores, pressure.load.lateMilliCores, pressure.freeMilliCores });
    if (pressure.runs > 0 || pressure.waitingTasks > 0 || StoreSilence::isSilent(journal.stalledFor()))
        log(activity.loadEvent(pool, pressure, journal.stalledFor(), loop.now()));
    activity.reset();
    scheduleReport();
}

milliseconds PoolOwner::State::storeSilentFor() const
{
    return std::max(journal.stalledFor(), context.storeSilence.age(loop.now()));
}

bool PoolOwner::State::needsRecord(const PoolRequest& request) const
{
    const auto* state = request.job.empty() ? nullptr : core.jobs().stateOf(request.job);
    if (request.verb == Ports::JobVerb::Submit)
        return !state;
    return request.verb == Ports::JobVerb::Cancel && (!state || !isFinal(*state));
}

bool PoolOwner::State::isRecorded(const PoolRequest& request) const
{
    const auto* state = request.job.empty() ? nullptr : core.jobs().stateOf(request.job);
    if (request.verb == Ports::JobVerb::Cancel)
        return (state && *state == JobState::Cancelled) || core.jobs().cancelledAheadAt(request.job);
    return state && request.verb == Ports::JobVerb::Submit;
}

std::optional<JobAnswer> PoolOwner::State::answerWithoutStore(const PoolRequest& request)
{
    const auto silentFor = needsRecord(request) ? storeSilentFor() : journal.stalledFor();
    if (isServing && !StoreSilence::isSilent(silentFor))
        return std::nullopt;
    auto answer = isServing ? refusal("store-stalled", StoreSilence::retryAfter(silentFor)) : refusal("recovering", recoveryRetryAfter);
    if (isRecorded(request))
        answer.outcome = JobOutcome::Unknown;
    else if (request.verb == Ports::JobVerb::Submit)
        firstAttempts.noteRefused(request.job, loop.now());
    return answer;
}

void PoolOwner::State::handle(PoolRequest request, Ports::JobReply reply)
{
    if (const auto answer = answerWithoutStore(request)) {
        reply(*answer);
        return;
    }
    if (request.isFromOtherPool()) {
        answerOtherPool(std::move(request), reply);
        return;
    }
    if (isKnownHere(request)) {
        answerFromPool(std::move(request), reply);
        return;
    }
    reply = trackCall(request, std::move(reply));
    const auto queue = request.queue;
    const auto version = std::max(configuration.version, request.configuration);
    queueHomes.find(queue, version, [self = weak_from_this(), request = std::move(request), reply = std::move(reply)](const std::vector<QueueHome>* homes) mutable {
        const auto state = self.lock();
        if (!state || state->isClosed)
            return;
        if (!homes || !state->isServing)
            reply(homes ? refusal("recovering", recoveryRetryAfter) : refusal("homes-unknown", StoreSilence::retryAfter(state->storeSilentFor())));
        else
            state->onHomesFound(std::move(request), reply, *homes);
    });
}

void PoolOwner::State::answerFromPool(PoolRequest request, const Ports::JobReply& reply)
{
    auto answer = answerTo(request);
    // Another host may have the pool by now, and may have accepted the job.
    if (answer.outcome == JobOutcome::NoSuchJob && !hooks.mayOrder())
        answer = refusal("lease-uncertain", recoveryRetryAfter);
    flush();
    // Reply only once the state that the answer rests on is committed.
    journal.append({}, [reply, answer] { reply(answer); });
    if (request.verb != Ports::JobVerb::Show)
        scheduleDecision();
}

JobAnswer PoolOwner::State::answerTo(PoolRequest& request)
{
    if (request.verb == Ports::JobVerb::Submit)
        return core.submit(request.job, request.queue, std::move(request.spec), moment(), firstAttempts.age(request.job, loop.now()));
    if (request.verb == Ports::JobVerb::Cancel)
        return core.cancel(request.job, moment());
    if (!request.job.empty())
        return core.show(request.job);
    JobAnswer answer;
    answer.outcome = JobOutcome::Counted;
    answer.backlog = core.backlog(request.queue.name);
    return answer;
}

PoolOwner::PoolOwner(const OwnerContext& context, std::string pool, Fence fence, Hooks hooks)
    : m_state(std::make_shared<State>(context, std::move(pool), fence, std::move(hooks)))
{
}

PoolOwner::~PoolOwner()
{
    m_state->isClosed = true;
    m_state->metrics.setLoad({});
    m_state->sessions.clear();
    m_state->loop.cancel(m_state->decisionTimer);
    m_state->loop.cancel(m_state->reportTimer);
}

void PoolOwner::begin()
{
    m_state->scheduleReport();
    m_state->journal.load([state = m_state.get()](const std::vector<JobRecord>& records) { state->onJournalLoaded(records); });
}

void PoolOwner::configure(const JobConfiguration& configuration)
{
    m_state->configuration = configuration;
    m_state->core.configure(configuration);
    if (m_state->isServing)
        m_state->queueHomes.configure(configuration);
    m_state->scheduleDecision();
}

void PoolOwner::onWorkerListed(const WorkerEntry& entry) { m_state->onWorkerListed(entry); }

void PoolOwner::onWorkerUnlisted(const std::string& worker) { m_state->onWorkerUnlisted(worker); }

void PoolOwner::cordon(const std::set<std::string>& machines)
{
    if (m_state->cordonedMachines == machines)
        return;
    m_state->cordonedMachines = machines;
    m_state->cordonWorkers();
    m_state->scheduleDecision();
}

void PoolOwner::handle(PoolRequest request, Ports::JobReply reply) { m_state->handle(std::move(request), std::move(reply)); }

void PoolOwner::stopServing()
{
    m_state->isServing = false;
    m_state->sessions.clear();
    m_state->loop.cancel(m_state->decisionTimer);
}

bool PoolOwner::isServing() const { return m_state->isServing; }

bool PoolOwner::isUnused() const
{
    const auto& state = *m_state;
    return state.isServing && state.journal.isIdle() && !state.core.jobs().hasJobs(state.loop.wallNow() - state.context.poolLimits.retention);
}

bool PoolOwner::isIdle() const { return m_state->journal.isIdle(); }

PoolLoad PoolOwner::load() const
{
    auto load = m_state->core.loadReport(m_state->moment());
    load.pool = m_state->pool;
    return load;
}

Fence PoolOwner::fence() const { return m_state->fence; }

} // namespace Jobs
