#include "Kernel/RequestService.h"

#include "Common/Rendezvous.h"
#include "Kernel/Logging.h"
#include "Messages/Codec.h"

#include <exception>
#include <utility>

namespace Kernel {

using Decision::Moment;

namespace {

    Decision::RequestLimits limitsFrom(const Settings& settings)
    {
        Decision::RequestLimits limits;
        limits.claimRetention = settings.limits.claimRetention;
        limits.clockSkew = settings.limits.clockSkewAllowance;
        return limits;
    }

    Decision::RequestIdentity identityFrom(const Settings& settings, std::uint64_t incarnation)
    {
        return { settings.host, settings.dataCentre, incarnation, Common::hash64(settings.host, incarnation) };
    }

    Decision::AssignmentTable tableFor(std::uint64_t incarnation)
    {
        Decision::AssignmentTableSettings settings;
        settings.incarnation = incarnation;
        return valueOrThrow(Decision::AssignmentTable::create(settings));
    }

    const char* outcomeName(Ports::Outcome outcome)
    {
        switch (outcome) {
        case Ports::Outcome::Done:
            return "done";
        case Ports::Outcome::NotRun:
            return "not-run";
        case Ports::Outcome::Unknown:
            return "unknown";
        }
        return "unknown";
    }

    const char* endName(Ports::AttemptEnd end)
    {
        switch (end) {
        case Ports::AttemptEnd::Answered:
            return "answered";
        case Ports::AttemptEnd::Refused:
            return "refused";
        case Ports::AttemptEnd::NotSent:
            return "not-sent";
        case Ports::AttemptEnd::Lost:
            return "lost";
        case Ports::AttemptEnd::Truncated:
            return "truncated";
        case Ports::AttemptEnd::Cancelled:
            return "cancelled";
        case Ports::AttemptEnd::Withdrawn:
            return "withdrawn";
        }
        return "lost";
    }

    std::string millisecondsText(Common::Instant::duration time)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
    }

    void logDebug(const char* message, const std::string& requestId, std::vector<LogField> fields)
    {
        LogContext context;
        context.requestId = requestId;
        context.fields = std::move(fields);
        Logging::write(LogLevel::Debug, "requests", message, context);
    }

} // namespace

Moment momentNow()
{
    return { Common::BootClock::now(), Common::wallNow() };
}

std::unique_ptr<RequestService> RequestService::create(const Settings& settings, std::uint64_t incarnation, const RequestPorts& ports, WorkerPool& workers, Metrics& metrics)
{
    return std::unique_ptr<RequestService>(new RequestService(settings, incarnation, ports, workers, metrics));
}

RequestService::RequestService(const Settings& settings, std::uint64_t incarnation, const RequestPorts& ports, WorkerPool& workers, Metrics& metrics)
    : m_ports(ports)
    , m_workers(workers)
    , m_metrics(metrics)
    , m_core(Decision::RequestCore::create(identityFrom(settings, incarnation), limitsFrom(settings)))
    , m_table(tableFor(incarnation))
{
    // Called only within the core's steps, so the lock is held.
    m_core->setMayDispatch([this](const std::string& upstream, const std::string& pool, Common::Instant now) {
        return m_table.mayDispatch(upstream, pool, now);
    });
}

void RequestService::run(const Step& step)
{
    const std::lock_guard guard(m_lock);
    step(*m_core, momentNow());
    // An attempt that is refused by the assignment table ends immediately, which produces further actions.
    for (auto actions = m_core->takeActions(); !actions.empty(); actions = m_core->takeActions()) {
        for (auto& action : actions)
            carryOut(action);
    }
}

void RequestService::runForAdapter(const Step& step)
{
    try {
        run(step);
    } catch (const std::exception& e) {
        // As in WorkerPool, the request that the event belongs to ends at its deadline.
        Logging::write(LogLevel::Error, "requests", std::string("handling an event failed; its request will end at the deadline: ") + e.what());
    }
}

void RequestService::withTable(const std::function<void(Decision::AssignmentTable&)>& use)
{
    const std::lock_guard guard(m_lock);
    use(m_table);
}

void RequestService::carryOut(Decision::RequestAction& action)
{
    if (auto* it = std::get_if<Decision::AnswerCaller>(&action))
        answer(*it);
    else if (auto* it = std::get_if<Decision::SendPeer>(&action)) {
        const std::string frame = Messages::encode(it->message);
        // A frame that was certainly not sent counts as a broken connection: requests that wait for its answer are
        // rerouted or answered.
        if (!m_ports.peers.send(it->to, frame))
            m_workers.post([this, host = it->to] { peerLost(host); });
    } else if (auto* it = std::get_if<Decision::DispatchAttempt>(&action))
        dispatch(*it);
    else if (auto* it = std::get_if<Decision::CancelAttempt>(&action))
        m_ports.upstreams.cancel(it->attempt);
}

void RequestService::answer(const Decision::AnswerCaller& action)
{
    const auto it = m_openRequests.find(action.handle);
    if (it != m_openRequests.end()) {
        const auto took = Common::BootClock::now() - it->second.arrivedAt;
        m_metrics.countRequest(outcomeName(action.answer.outcome), Ports::reasonName(action.answer.reason), took);
        if (Logging::isEnabled(LogLevel::Debug)) {
            logDebug("request answered", action.requestId,
                { { "outcome", outcomeName(action.answer.outcome) }, { "reason", Ports::reasonName(action.answer.reason) }, { "tookMs", millisecondsText(took) } });
        }
        m_openRequests.erase(it);
    }
    m_ports.callers.answer(action.handle, action.answer);
}

void RequestService::dispatch(Decision::DispatchAttempt& action)
{
    const auto now = Common::BootClock::now();
    const auto& call = action.call;
    if (!m_table.beginDispatch(call.upstream, call.pool, now)) {
        // The right to use the upstream was lost while the request was being claimed: nothing was sent.
        m_core->onAttemptEnded({ now, Common::wallNow() }, { call.attempt, Ports::AttemptEnd::Refused, 0, {}, nullptr });
        return;
    }
    if (Logging::isEnabled(LogLevel::Debug))
        logDebug("attempt started", call.requestId, { { "upstream", call.upstream }, { "pool", call.pool }, { "timeLeftMs", millisecondsText(call.timeLeft) } });
    m_openAttempts[call.attempt] = { call.requestId, call.upstream, now, now + call.timeLeft };
    m_ports.upstreams.dispatch(std::move(action.call));
}

void RequestService::recordAttemptEnd(const Ports::UpstreamResult& result)
{
    const auto it = m_openAttempts.find(result.attempt);
    if (it == m_openAttempts.end())
        return;
    const OpenAttempt& attempt = it->second;
    if (Logging::isEnabled(LogLevel::Debug)) {
        logDebug("attempt ended", attempt.requestId,
            { { "upstream", attempt.upstream }, { "end", endName(result.end) }, { "status", std::to_string(result.status) }, { "tookMs", millisecondsText(Common::BootClock::now() - attempt.startedAt) } });
    }
    if (result.end == Ports::AttemptEnd::Answered || Ports::isProvedNotRun(result.end))
        m_table.endDispatch(attempt.upstream);
    else
        m_table.abandonDispatch(attempt.upstream, attempt.deadline);
    m_openAttempts.erase(it);
}

void RequestService::onCallerRequest(Ports::CallerRequest request)
{
    runForAdapter([&](auto& core, Moment at) {
        m_openRequests[request.handle] = { at.now };
        core.onCallerRequest(at, request);
    });
}

void RequestService::onCallerDisconnected(Ports::CallerHandle handle)
{
    m_workers.post([this, handle] {
        run([&](auto& core, Moment at) {
            core.onCallerDisconnected(at, handle);
            m_openRequests.erase(handle);
        });
    });
}

bool RequestService::cancelByKey(const std::string& team, const std::string& idempotencyKey)
{
    bool found = false;
    run([&](auto& core, Moment at) { found = core.cancelByKey(at, team, idempotencyKey); });
    return found;
}

void RequestService::onAttemptEnded(Ports::UpstreamResult result)
{
    // An attempt that wasn't sent may be reported from within dispatch(), under the lock.
    if (result.end == Ports::AttemptEnd::NotSent)
        m_workers.post([this, result = std::move(result)] { handleResult(result); });
    else
        handleResult(result);
}

void RequestService::handleResult(const Ports::UpstreamResult& result)
{
    runForAdapter([&](auto& core, Moment at) {
        recordAttemptEnd(result);
        core.onAttemptEnded(at, result);
    });
}

void RequestService::peerMessage(const Ports::HostId& from, const Messages::PeerMessage& message)
{
    runForAdapter([&](auto& core, Moment at) { core.peerMessage(at, from, message); });
}

void RequestService::peerLost(const Ports::HostId& host)
{
    runForAdapter([&](auto& core, Moment at) { core.peerLost(at, host); });
}

void RequestService::setReady(bool ready)
{
    m_ready = ready;
    m_metrics.setReady(ready);
}

std::vector<Messages::PoolLoad> RequestService::loads()
{
    const std::lock_guard guard(m_lock);
    return m_core->loads(Common::BootClock::now());
}

bool RequestService::hasCompleteLedger()
{
    const std::lock_guard guard(m_lock);
    return m_core->recordsComplete(Common::wallNow());
}

std::size_t RequestService::inFlight()
{
    const std::lock_guard guard(m_lock);
    return m_core->open() + m_core->attemptsInFlight();
}

std::optional<Common::Instant> RequestService::nextDeadline()
{
    const std::lock_guard guard(m_lock);
    return m_core->nextDeadline();
}

void RequestService::publishMetrics()
{
    const std::lock_guard guard(m_lock);
    for (const auto& load : m_core->loads(Common::BootClock::now())) {
        m_metrics.setQueueLength(load.pool, load.queued);
        m_metrics.setSlots(load.pool, SlotState::Busy, load.busy);
        m_metrics.setSlots(load.pool, SlotState::Free, load.slots > load.busy ? load.slots - load.busy : 0);
    }
    m_metrics.setLedgerRecords(LedgerRecordState::Claimed, m_core->ledgerRecords());
}

} // namespace Kernel
