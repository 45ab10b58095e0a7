#include "Decision/Requests/Admission.h"
#include "Decision/Requests/RequestCoreImpl.h"

namespace Decision {

namespace {

    constexpr std::chrono::milliseconds ownerGrace { 20 }; ///< How long to wait for the owner's answer after the deadline.

} // namespace

void RequestCore::Impl::handleCallerCancel(Moment at, Request& request, bool explicitly)
{
    // A caller that only disconnected may retry with its key, so a claimed request keeps running and its answer is stored.
    const bool keepRunning = !explicitly && needsClaim(request) && request.state != RequestState::Queued;
    switch (request.state) {
    case RequestState::Offloaded:
        if (explicitly)
            send(request.forwardedTo, Messages::ForwardCancel { request.requestId, true });
        return;
    case RequestState::Forwarded:
        send(request.forwardedTo, Messages::ForwardCancel { request.requestId, explicitly });
        // Only the owner knows whether the request has started. After an explicit cancel the caller still waits for the owner's answer.
        if (!explicitly)
            complete(at, request.number, unknown(Reason::CancelledByCaller));
        return;
    case RequestState::Queued:
        if (!explicitly && !request.joined.empty())
            return;
        break;
    case RequestState::Claiming:
        request.cancelled = !keepRunning;
        return;
    case RequestState::Running:
        if (keepRunning || (!explicitly && !request.joined.empty()))
            return;
        request.cancelled = true;
        m_attempts.at(request.attempt).cancelledByCaller = true; // A running request has an attempt, so at() can't throw.
        addAction(CancelAttempt { request.attempt });
        return;
    case RequestState::Joined:
        // The earlier request continues unless it is cancelled as well.
        complete(at, request.number, unknown(Reason::CancelledByCaller));
        return;
    }
    complete(at, request.number, request.mayHaveRun ? unknown(Reason::CancelledByCaller) : notRun(Reason::CancelledByCaller));
}

Answer RequestCore::Impl::withProvedOutcome(Moment at, const Request& request, Answer answer) const
{
    if (answer.outcome != Outcome::NotRun || !m_guards.notRunOnlyIfProved)
        return answer;
    if (request.mayHaveRun)
        return unknown(answer.reason, answer.retryAfter);
    // An earlier try of the same key may have run; only a holder with complete records can rule that out.
    if (request.homeDataCentre.empty() || request.claimed || request.keyChecked || isOffloadedHere(request) || isUnconditionalRefusal(answer.reason))
        return answer;
    if (request.homeDataCentre != m_identity.dataCentre)
        return unknown(answer.reason, answer.retryAfter);
    const auto known = lookUp(at, request);
    if (known.verdict == Messages::ClaimVerdict::Granted)
        return answer;
    if (known.verdict == Messages::ClaimVerdict::Finished)
        return known.answer;
    return unknown(answer.reason, answer.retryAfter);
}

void RequestCore::Impl::complete(Moment at, RequestNumber number, Answer answer)
{
    Request* request = find(number);
    if (!request)
        return;
    answer = withProvedOutcome(at, *request, std::move(answer));
    settleClaim(*request, answer);
    if (request->state == RequestState::Queued) {
        const auto it = m_pools.find(request->pool);
        if (it != m_pools.end())
            it->second.queue.remove(number);
    }
    reply(*request, answer);
    const auto joined = std::move(request->joined);
    erase(number);
    for (const auto later : joined)
        complete(at, later, answer);
}

void RequestCore::Impl::reply(const Request& request, const Answer& answer)
{
    if (const auto* caller = std::get_if<CallerSource>(&request.source))
        addAction(AnswerCaller { caller->handle, answer, request.requestId });
    else if (const auto* peer = std::get_if<PeerSource>(&request.source))
        send(peer->host, Messages::ForwardAnswer { peer->requestId, answer });
}

void RequestCore::Impl::onTimeout(Moment at, Request& request)
{
    switch (request.state) {
    case RequestState::Queued:
        rejectQueued(at, request);
        return;
    case RequestState::Joined:
        complete(at, request.number, unknown(Reason::DeadlinePassed));
        return;
    case RequestState::Claiming:
        finishRefusedClaim(at, request.claimToken, { Messages::ClaimVerdict::StaleView, {} });
        return;
    case RequestState::Running:
        addAction(CancelAttempt { request.attempt });
        request.mayHaveRun = true;
        complete(at, request.number, unknown(Reason::DeadlinePassed));
        return;
    case RequestState::Forwarded:
    case RequestState::Offloaded:
        if (at.now < request.deadline + ownerGrace) {
            setTimeout(request, request.deadline + ownerGrace);
            return;
        }
        request.mayHaveRun = true;
        complete(at, request.number, unknown(Reason::OwnerLost));
        return;
    }
}

} // namespace Decision
