#include "Decision/Requests/IdempotencyKey.h"
#include "Decision/Requests/RequestCoreImpl.h"

namespace Decision {

using Messages::ClaimVerdict;

namespace {

    constexpr std::chrono::milliseconds runningRetry { 1000 }; ///< When to ask again for a request that still runs.

    WallTime issuedOf(const std::string& key)
    {
        const auto parsed = IdempotencyKey::parse(key);
        return parsed ? parsed->issued : WallTime::min();
    }

} // namespace

bool RequestCore::Impl::needsClaim(const Request& request) const
{
    return m_guards.claimBeforeDispatch && !request.homeDataCentre.empty() && request.homeDataCentre == m_identity.dataCentre;
}

Messages::ClaimKey RequestCore::Impl::claimKeyOf(const Request& request) const
{
    return { request.pool, request.team, request.key };
}

void RequestCore::Impl::beginClaim(Moment at, Request& request)
{
    request.state = RequestState::Claiming;
    ++m_counts.claims;
    ClaimRound round;
    round.request = request.number;
    round.key = claimKeyOf(request);
    round.asked = m_ledger.holdersOf(request.pool);
    round.awaited.insert(round.asked.begin(), round.asked.end());
    round.deadline = at.now + m_limits.claimTimeout;
    round.upstream = request.upstream;
    round.team = request.team;
    const auto asked = round.asked;
    const std::uint64_t token = m_rounds.open(std::move(round));
    request.claimToken = token;
    const Messages::ClaimRequest message { token, claimKeyOf(request), request.bodyHash, m_ledger.epoch() };
    if (asked.empty()) {
        claimRefused(at, token, { ClaimVerdict::StaleView, {} });
        return;
    }
    for (const auto& holder : asked) {
        if (holder != m_identity.self)
            send(holder, message);
    }
    for (const auto& holder : asked) {
        if (holder == m_identity.self)
            claimVerdict(at, holder, token, m_ledger.claim(at.wall, holder, message, issuedOf(message.key.idempotencyKey)));
    }
}

void RequestCore::Impl::claimAsked(Moment at, const HostId& from, const Messages::ClaimRequest& message)
{
    const LedgerVerdict verdict = m_ledger.claim(at.wall, from, message, issuedOf(message.key.idempotencyKey));
    send(from, Messages::ClaimReply { message.token, verdict.verdict, m_ledger.epoch(), verdict.answer });
}

void RequestCore::Impl::claimVerdict(Moment at, const HostId& from, std::uint64_t token, const LedgerVerdict& verdict)
{
    ClaimRound* round = m_rounds.find(token);
    if (!round || !round->awaited.erase(from))
        return;
    if (verdict.verdict != ClaimVerdict::Granted) {
        claimRefused(at, token, verdict);
        return;
    }
    if (!m_guards.allHoldersAnswer || round->awaited.empty())
        claimGranted(at, token);
}

void RequestCore::Impl::dropClaim(const ClaimRound& round, std::uint64_t token)
{
    for (const auto& holder : round.asked) {
        if (holder == m_identity.self)
            m_ledger.release(round.key, token);
        else
            send(holder, Messages::ClaimReleased { round.key, token });
    }
}

void RequestCore::Impl::freeHeldSlot(const ClaimRound& round)
{
    if (!round.upstream.empty())
        freeSlot(round.key.pool, round.upstream, round.team);
}

void RequestCore::Impl::claimRefused(Moment at, std::uint64_t token, const LedgerVerdict& verdict)
{
    const auto round = m_rounds.close(token);
    if (!round)
        return;
    dropClaim(*round, token);
    freeHeldSlot(*round);
    const std::string pool = round->key.pool;
    Request* request = find(round->request);
    if (!request || request->state != RequestState::Claiming) {
        pump(at, pool);
        return;
    }
    switch (verdict.verdict) {
    case ClaimVerdict::Finished:
        request->claimed = false;
        conclude(at, request->number, verdict.answer);
        break;
    case ClaimVerdict::Running:
        conclude(at, request->number, unknown(Reason::OwnerLost, runningRetry));
        break;
    case ClaimVerdict::OtherBody:
        conclude(at, request->number, notRun(Reason::KeyReusedWithOtherBody));
        break;
    case ClaimVerdict::NotVouched:
        conclude(at, request->number, unknown(Reason::KeyTooOld));
        break;
    default:
        conclude(at, request->number, notRun(Reason::ClaimUnavailable, retryTime(std::chrono::microseconds(0))));
        break;
    }
    pump(at, pool);
}

void RequestCore::Impl::claimGranted(Moment at, std::uint64_t token)
{
    const auto round = m_rounds.close(token);
    Request* request = find(round->request);
    if (!request || request->state != RequestState::Claiming) {
        dropClaim(*round, token);
        freeHeldSlot(*round);
        pump(at, round->key.pool);
        return;
    }
    request->claimed = true;
    if (request->cancelled) {
        freeHeldSlot(*round);
        conclude(at, request->number, notRun(Reason::CancelledByCaller));
        pump(at, round->key.pool);
        return;
    }
    if (!request->forwardedTo.empty())
        forward(at, *request, request->forwardedTo);
    else
        dispatch(at, *request);
}

void RequestCore::Impl::settleClaim(const Request& request, const Answer& answer)
{
    if (!request.claimed)
        return;
    for (const auto& holder : m_ledger.holdersOf(request.pool)) {
        if (answer.outcome == Outcome::NotRun) {
            if (holder == m_identity.self)
                m_ledger.release(claimKeyOf(request), request.claimToken);
            else
                send(holder, Messages::ClaimReleased { claimKeyOf(request), request.claimToken });
            continue;
        }
        if (holder == m_identity.self)
            m_ledger.finish(claimKeyOf(request), answer);
        else
            send(holder, Messages::ClaimFinished { claimKeyOf(request), answer });
    }
}

void RequestCore::Impl::askHandovers()
{
    for (auto& query : m_ledger.openQueries())
        act(std::move(query));
}

} // namespace Decision
