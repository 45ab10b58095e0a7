#include "Decision/Requests/IdempotencyKey.h"
#include "Decision/Requests/RequestCoreImpl.h"

#include <algorithm>

namespace Decision {

using Messages::ClaimVerdict;

namespace {

    constexpr std::chrono::milliseconds runningRetry { 1000 }; ///< Retry time sent to the caller of a request that is still running.
    constexpr std::chrono::milliseconds queryInterval { 200 }; ///< Between ledger queries to the same member.

} // namespace

bool RequestCore::Impl::needsClaim(const Request& request) const
{
    return m_guards.claimBeforeDispatch && !request.homeDataCentre.empty() && request.homeDataCentre == m_identity.dataCentre;
}

/// True for a request that another data centre has claimed and offloaded to this one.
bool RequestCore::Impl::isOffloadedHere(const Request& request) const
{
    return std::holds_alternative<PeerSource>(request.source) && !request.homeDataCentre.empty() && request.homeDataCentre != m_identity.dataCentre;
}

bool RequestCore::Impl::isMembershipValid(Instant now) const
{
    return !m_guards.membershipExpiryChecked || !m_membershipValidUntil || now <= *m_membershipValidUntil;
}

bool RequestCore::Impl::hasUnresponsiveHolder(const std::string& pool) const
{
    if (m_unresponsiveHolders.empty())
        return false;
    const auto holders = m_ledger.holdersOf(pool);
    return std::any_of(holders.begin(), holders.end(), [&](const auto& it) { return m_unresponsiveHolders.count(it) > 0; });
}

void RequestCore::Impl::expireClaims(Moment at)
{
    for (const auto token : m_rounds.expired(at.now)) {
        const auto& awaited = m_rounds.find(token)->awaited;
        m_unresponsiveHolders.insert(awaited.begin(), awaited.end());
        finishRefusedClaim(at, token, { ClaimVerdict::StaleView, {} });
    }
}

/// Verdict of the records on this host about the key of a request.
LedgerVerdict RequestCore::Impl::lookUp(Moment at, const Request& request) const
{
    if (!isMembershipValid(at.now))
        return { ClaimVerdict::StaleView, {} };
    return m_ledger.peek(at.wall, claimKeyOf(request), request.bodyHash);
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
    round.recipients = m_ledger.holdersOf(request.pool);
    round.upstream = request.upstream;
    round.team = request.team;
    sendClaim(at, std::move(round));
}

void RequestCore::Impl::sendClaim(Moment at, ClaimRound round)
{
    Request& request = *find(round.request);
    Messages::ClaimRequest message { 0, round.key, request.bodyHash, m_ledger.epoch(), round.allMembers };
    const auto recipients = round.recipients;
    round.awaited = { recipients.begin(), recipients.end() };
    round.deadline = at.now + m_limits.claimTimeout;
    message.token = m_rounds.open(std::move(round));
    request.claimToken = message.token;
    if (recipients.empty()) {
        finishRefusedClaim(at, message.token, { ClaimVerdict::StaleView, {} });
        return;
    }
    bool self = false;
    for (const auto& holder : recipients) {
        self = self || holder == m_identity.self;
        if (holder != m_identity.self)
            send(holder, message);
    }
    if (self)
        handleClaimVerdict(at, m_identity.self, message.token, evaluateClaim(at, m_identity.self, message));
}

LedgerVerdict RequestCore::Impl::evaluateClaim(Moment at, const HostId& from, const Messages::ClaimRequest& message)
{
    if (!isMembershipValid(at.now) && !message.allMembers)
        return {};
    return m_ledger.claim(at.wall, from, message);
}

void RequestCore::Impl::handleClaimRequest(Moment at, const HostId& from, const Messages::ClaimRequest& message)
{
    const LedgerVerdict verdict = evaluateClaim(at, from, message);
    send(from, Messages::ClaimReply { message.token, verdict.verdict, m_ledger.epoch(), verdict.answer });
}

/// While the store is unavailable, no holder has a valid lease. The claim is then sent to every member of the view instead:
/// as long as none of them knows a later view, no other hosts can have become the holders.
bool RequestCore::Impl::retryWithAllMembers(Moment at, ClaimRound& round, ClaimVerdict verdict)
{
    const Request* request = find(round.request);
    const bool eligible = verdict == ClaimVerdict::StaleView && !round.allMembers && !round.refusal && at.now < round.deadline;
    if (!eligible || !request || request->state != RequestState::Claiming || at.now >= request->deadline || m_ledger.view().members.empty())
        return false;
    round.allMembers = true;
    round.recipients = m_ledger.view().members;
    sendClaim(at, std::move(round));
    return true;
}

void RequestCore::Impl::handleClaimVerdict(Moment at, const HostId& from, std::uint64_t token, const LedgerVerdict& verdict)
{
    m_unresponsiveHolders.erase(from);
    ClaimRound* round = m_rounds.find(token);
    if (!round || !round->awaited.erase(from))
        return;
    switch (verdict.verdict) {
    case ClaimVerdict::Granted:
        if (round->refusal && round->awaited.empty())
            finishRefusedClaim(at, token, { *round->refusal, {} });
        else if (!round->refusal && (!m_guards.allHoldersAnswer || round->awaited.empty()))
            finishGrantedClaim(at, token);
        return;
    case ClaimVerdict::Running:
    case ClaimVerdict::ExpiredKey:
        deferRefusal(at, token, verdict.verdict);
        return;
    case ClaimVerdict::Finished:
        announceFinished(*round, verdict.answer);
        finishRefusedClaim(at, token, verdict);
        return;
    default:
        finishRefusedClaim(at, token, verdict);
        return;
    }
}

/// Keeps the round open, without its reserved slot, because the other holder may know that the request has finished.
void RequestCore::Impl::deferRefusal(Moment at, std::uint64_t token, ClaimVerdict verdict)
{
    ClaimRound* round = m_rounds.find(token);
    round->refusal = verdict;
    if (round->awaited.empty()) {
        finishRefusedClaim(at, token, { verdict, {} });
        return;
    }
    freeHeldSlot(*round);
    pump(at, std::string(round->key.pool));
}

/// Sends the answer to all holders, since one of them may have missed the end of the request.
void RequestCore::Impl::announceFinished(const ClaimRound& round, const Answer& answer)
{
    for (const auto& holder : round.recipients) {
        if (holder == m_identity.self)
            m_ledger.finish(round.key, answer);
        else
            send(holder, Messages::ClaimFinished { round.key, answer });
    }
}

void RequestCore::Impl::releaseClaim(const ClaimRound& round, std::uint64_t token)
{
    for (const auto& holder : round.recipients) {
        if (holder == m_identity.self)
            m_ledger.release(round.key, token);
        else
            send(holder, Messages::ClaimReleased { round.key, token });
    }
}

void RequestCore::Impl::freeHeldSlot(ClaimRound& round)
{
    if (!round.upstream.empty())
        freeSlot(round.key.pool, round.upstream, round.team);
    round.upstream.clear();
}

void RequestCore::Impl::finishRefusedClaim(Moment at, std::uint64_t token, const LedgerVerdict& verdict)
{
    auto round = m_rounds.close(token);
    if (!round)
        return;
    releaseClaim(*round, token);
    if (retryWithAllMembers(at, *round, verdict.verdict))
        return;
    freeHeldSlot(*round);
    const std::string pool = round->key.pool;
    Request* request = find(round->request);
    if (!request || request->state != RequestState::Claiming) {
        pump(at, pool);
        return;
    }
    // A holder that can't answer for its records doesn't override the verdict of one that could.
    const bool useEarlierRefusal = verdict.verdict == ClaimVerdict::StaleView && round->refusal;
    switch (useEarlierRefusal ? *round->refusal : verdict.verdict) {
    case ClaimVerdict::Finished:
        request->claimed = false;
        complete(at, request->number, verdict.answer);
        break;
    case ClaimVerdict::Running:
        complete(at, request->number, unknown(Reason::StillRunning, runningRetry));
        break;
    case ClaimVerdict::OtherBody:
        complete(at, request->number, notRun(Reason::KeyReusedWithOtherBody));
        break;
    case ClaimVerdict::ExpiredKey:
        complete(at, request->number, unknown(Reason::KeyTooOld));
        break;
    default:
        complete(at, request->number, notRun(Reason::ClaimUnavailable, retryTime(std::chrono::microseconds(0))));
        break;
    }
    pump(at, pool);
}

void RequestCore::Impl::finishGrantedClaim(Moment at, std::uint64_t token)
{
    auto round = m_rounds.close(token);
    Request* request = find(round->request);
    if (!request || request->state != RequestState::Claiming) {
        releaseClaim(*round, token);
        freeHeldSlot(*round);
        pump(at, round->key.pool);
        return;
    }
    if (m_guards.claimantTracksRuns && m_runKeys.count(round->key)) {
        // A holder missed the end of an earlier run by this host and granted the claim as a repeated one.
        freeHeldSlot(*round);
        complete(at, request->number, unknown(Reason::StillRunning, runningRetry));
        pump(at, round->key.pool);
        return;
    }
    request->claimed = true;
    if (request->cancelled) {
        freeHeldSlot(*round);
        complete(at, request->number, notRun(Reason::CancelledByCaller));
        pump(at, round->key.pool);
        return;
    }
    if (!request->forwardedTo.empty()) {
        recordRun(*request);
        forward(at, *request, request->forwardedTo);
    } else if (round->upstream.empty())
        admit(at, *request); // Claimed before it was queued, because of an earlier record or an unresponsive holder.
    else
        dispatch(at, *request);
}

void RequestCore::Impl::settleClaim(const Request& request, const Answer& answer)
{
    if (!request.claimed)
        return;
    // A proved NotRun releases the key for another run, on this host as well.
    if (answer.outcome == Outcome::NotRun)
        m_runKeys.erase(claimKeyOf(request));
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

void RequestCore::Impl::recordRun(const Request& request)
{
    if (!request.claimed || !m_runKeys.insert(claimKeyOf(request)).second)
        return;
    const auto key = IdempotencyKey::parse(request.key);
    m_runKeysByIssue.emplace(key ? key->issued : WallTime::max(), claimKeyOf(request));
}

void RequestCore::Impl::pruneRuns(WallTime now)
{
    const WallTime limit = now - m_limits.claimRetention - 2 * m_limits.clockSkew;
    while (!m_runKeysByIssue.empty() && m_runKeysByIssue.begin()->first < limit) {
        m_runKeys.erase(m_runKeysByIssue.begin()->second);
        m_runKeysByIssue.erase(m_runKeysByIssue.begin());
    }
}

void RequestCore::Impl::sendLedgerQueries(Instant now)
{
    if (now < m_nextQueries)
        return;
    m_nextQueries = now + queryInterval;
    for (auto& query : m_ledger.openQueries())
        addAction(std::move(query));
}

} // namespace Decision
