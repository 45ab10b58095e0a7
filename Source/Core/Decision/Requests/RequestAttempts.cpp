#include "Decision/Requests/RequestCoreImpl.h"

namespace Decision {

using std::chrono::microseconds;

namespace {

    constexpr int firstServerError = 500;

} // namespace

void RequestCore::Impl::dispatch(Moment at, Request& request)
{
    const AttemptId id = m_nextAttempt++;
    request.state = RequestState::Running;
    request.attempt = id;
    request.attemptStarted = at.now;
    if (request.attempts++ == 0)
        pool(request.pool).retries.recordFirstAttempt();
    ++m_counts.attempts;
    recordRun(request);
    m_attempts.emplace(id, InFlightAttempt { request.number, request.pool, request.team, request.service, request.upstream, at.now, false });
    Ports::UpstreamCall call;
    call.attempt = id;
    call.upstream = request.upstream;
    call.pool = request.pool;
    call.address = pool(request.pool).slots.addressOf(request.upstream);
    call.service = request.service;
    call.requestId = request.requestId + "." + std::to_string(request.attempts);
    call.timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - at.now);
    call.body = request.body;
    call.contentType = request.contentType;
    addAction(DispatchAttempt { std::move(call) });
}

void RequestCore::Impl::freeSlot(const std::string& poolName, const std::string& upstream, const std::string& team)
{
    PoolState& state = pool(poolName);
    state.slots.release(upstream);
    state.queue.onSlotFreed(team);
}

void RequestCore::Impl::recordHealth(Moment at, const InFlightAttempt& attempt, const Ports::UpstreamResult& result)
{
    SlotTable& slots = pool(attempt.pool).slots;
    switch (result.end) {
    case AttemptEnd::Answered:
        if (result.status >= firstServerError) {
            slots.recordFailure(at.now, attempt.upstream);
            return;
        }
        slots.recordSuccess(attempt.upstream);
        m_runTimes.record(attempt.service, declaredRunTime(attempt.service), at.now - attempt.started);
        return;
    case AttemptEnd::Refused:
        slots.recordRefusal(at.now, attempt.upstream);
        return;
    case AttemptEnd::NotSent:
        slots.recordUnreachable(at.now, attempt.upstream);
        return;
    case AttemptEnd::Lost:
    case AttemptEnd::Truncated:
        slots.recordFailure(at.now, attempt.upstream);
        return;
    case AttemptEnd::Cancelled:
    case AttemptEnd::Withdrawn:
        // This host stopped the attempt. That is evidence against the upstream only if the run should have ended before the deadline.
        if (!attempt.cancelledByCaller && at.now - attempt.started > m_runTimes.upperEstimate(attempt.service, declaredRunTime(attempt.service)))
            slots.recordFailure(at.now, attempt.upstream);
        return;
    }
}

void RequestCore::Impl::onAttemptEnded(Moment at, const Ports::UpstreamResult& result)
{
    const auto it = m_attempts.find(result.attempt);
    if (it == m_attempts.end())
        return;
    const InFlightAttempt attempt = std::move(it->second);
    m_attempts.erase(it);
    recordHealth(at, attempt, result);
    freeSlot(attempt.pool, attempt.upstream, attempt.team);
    Request* request = find(attempt.request);
    if (request && request->state == RequestState::Running && request->attempt == result.attempt)
        handleResult(at, *request, result);
    pump(at, attempt.pool);
}

void RequestCore::Impl::handleResult(Moment at, Request& request, const Ports::UpstreamResult& result)
{
    const bool proved = Ports::isProvedNotRun(result.end);
    request.provedAttempts += proved ? 1 : 0;
    if (request.cancelled && result.end != AttemptEnd::Answered) {
        complete(at, request.number, proved ? notRun(Reason::CancelledByCaller) : unknown(Reason::CancelledByCaller));
        return;
    }
    // The port may stop an attempt at its deadline a moment before the core does.
    if (result.end == AttemptEnd::Cancelled || result.end == AttemptEnd::Withdrawn) {
        request.mayHaveRun = request.mayHaveRun || !proved;
        complete(at, request.number, proved ? notRun(Reason::DeadlineCannotBeMet, retryTime(microseconds(0))) : unknown(Reason::DeadlinePassed));
        return;
    }
    const bool failedAnswer = result.end == AttemptEnd::Answered && result.status >= firstServerError && request.idempotent && !request.cancelled;
    if (result.end == AttemptEnd::Answered && !(failedAnswer && mayRetry(at, request, false))) {
        if (result.status < firstServerError)
            m_harmful.recordSuccess(request.bodyHash);
        Answer answer;
        answer.outcome = Outcome::Done;
        answer.status = result.status;
        answer.contentType = result.contentType;
        answer.body = result.body;
        complete(at, request.number, answer);
        return;
    }
    if (failedAnswer) {
        request.mayHaveRun = true;
        retry(at, request);
        return;
    }
    if (!proved) {
        request.mayHaveRun = true;
        if (result.end == AttemptEnd::Lost && at.now < request.deadline)
            m_harmful.recordLoss(at.now, request.attemptStarted, request.bodyHash, request.upstream);
    }
    if (mayRetry(at, request, proved)) {
        retry(at, request);
        return;
    }
    if (proved)
        complete(at, request.number, notRun(Reason::UpstreamRefused, retryTime(microseconds(0))));
    else
        complete(at, request.number, unknown(result.end == AttemptEnd::Truncated ? Reason::AnswerTruncated : Reason::UpstreamLost));
}

bool RequestCore::Impl::mayRetry(Moment at, const Request& request, bool proved)
{
    if (!proved && !request.idempotent && m_guards.retryOnlyIfSafe)
        return false;
    // Retrying a request that is proved not to have run is safe; the deadline and the retry budget limit it.
    if (!proved && request.attempts - request.provedAttempts >= m_limits.maximumAttempts)
        return false;
    if (m_guards.harmfulRequestsBlocked && m_harmful.isHarmful(at.now, request.bodyHash))
        return false;
    const auto run = m_runTimes.expected(request.service, declaredRunTime(request.service));
    if (at.now + run > request.deadline)
        return false;
    // An attempt that didn't run added no load; the pause of its upstream limits how often it is repeated.
    return proved || pool(request.pool).retries.takeRetry();
}

void RequestCore::Impl::retry(Moment, Request& request)
{
    ++m_counts.retries;
    request.tried.push_back(request.upstream);
    request.upstream.clear();
    enqueue(request);
}

} // namespace Decision
