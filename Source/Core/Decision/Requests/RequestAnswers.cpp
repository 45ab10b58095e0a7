#include "Decision/Requests/Door.h"
#include "Decision/Requests/RequestCoreImpl.h"

namespace Decision {

namespace {

    constexpr std::chrono::milliseconds ownerGrace { 20 }; ///< How long past the deadline an owner's answer is waited for.

} // namespace

void RequestCore::Impl::abandon(Moment at, Request& request, bool explicitly)
{
    // A caller that merely hung up may ask again with its key, so a claimed request goes on and its answer is kept.
    const bool keepRunning = !explicitly && needsClaim(request) && request.state != RequestState::Queued;
    switch (request.state) {
    case RequestState::PassedOn:
        if (explicitly)
            send(request.forwardedTo, Messages::ForwardCancel { request.requestId, true });
        return;
    case RequestState::Forwarded:
        send(request.forwardedTo, Messages::ForwardCancel { request.requestId, explicitly });
        // Only the owner knows whether it has begun; a caller that still waits gets the owner's word.
        if (!explicitly)
            conclude(at, request.number, unknown(Reason::CancelledByCaller));
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
        act(CancelAttempt { request.attempt });
        return;
    case RequestState::Joined:
        // The try that it waits for goes on, unless that is cancelled as well.
        conclude(at, request.number, unknown(Reason::CancelledByCaller));
        return;
    }
    conclude(at, request.number, request.mayHaveRun ? unknown(Reason::CancelledByCaller) : notRun(Reason::CancelledByCaller));
}

Answer RequestCore::Impl::truthful(Moment at, const Request& request, Answer answer) const
{
    if (answer.outcome != Outcome::NotRun || !m_guards.notRunOnlyIfProved)
        return answer;
    if (request.mayHaveRun)
        return unknown(answer.reason, answer.retryAfter);
    // An earlier try of the same key may have run: only a holder whose memory is whole can say otherwise.
    if (request.homeDataCentre.empty() || request.claimed || request.vouched || runsForHome(request) || isDoorReason(answer.reason))
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

void RequestCore::Impl::conclude(Moment at, RequestNumber number, Answer answer)
{
    Request* request = find(number);
    if (!request)
        return;
    answer = truthful(at, *request, std::move(answer));
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
        conclude(at, later, answer);
}

void RequestCore::Impl::reply(const Request& request, const Answer& answer)
{
    if (const auto* caller = std::get_if<CallerSource>(&request.source))
        act(AnswerCaller { caller->handle, answer });
    else if (const auto* peer = std::get_if<PeerSource>(&request.source))
        send(peer->host, Messages::ForwardAnswer { peer->requestId, answer });
}

void RequestCore::Impl::giveUp(Moment at, Request& request)
{
    switch (request.state) {
    case RequestState::Queued:
        giveUpQueued(at, request);
        return;
    case RequestState::Joined:
        conclude(at, request.number, unknown(Reason::DeadlinePassed));
        return;
    case RequestState::Claiming:
        claimRefused(at, request.claimToken, { Messages::ClaimVerdict::StaleView, {} });
        return;
    case RequestState::Running:
        act(CancelAttempt { request.attempt });
        request.mayHaveRun = true;
        conclude(at, request.number, unknown(Reason::DeadlinePassed));
        return;
    case RequestState::Forwarded:
    case RequestState::PassedOn:
        if (at.now < request.deadline + ownerGrace) {
            setGiveUp(request, request.deadline + ownerGrace);
            return;
        }
        request.mayHaveRun = true;
        conclude(at, request.number, unknown(Reason::OwnerLost));
        return;
    }
}

} // namespace Decision
