#include "Decision/Requests/IdempotencyKey.h"
#include "Decision/Requests/RequestCoreImpl.h"

#include <algorithm>

namespace Decision {

using Messages::ClaimVerdict;

namespace {

    constexpr std::chrono::milliseconds runningRetry { 1000 }; ///< When to ask again for a request that still runs.
    constexpr std::chrono::milliseconds queryInterval { 200 }; ///< Between questions for records to the same member.

} // namespace

bool RequestCore::Impl::needsClaim(const Request& request) const
{
    return m_guards.claimBeforeDispatch && !request.homeDataCentre.empty() && request.homeDataCentre == m_identity.dataCentre;
}

/// True for what another data centre has claimed and passed on to this one.
bool RequestCore::Impl::runsForHome(const Request& request) const
{
    return std::holds_alternative<PeerSource>(request.source) && !request.homeDataCentre.empty() && request.homeDataCentre != m_identity.dataCentre;
}

bool RequestCore::Impl::mayVouch(Instant now) const
{
    return !m_guards.vouchTimeChecked || !m_vouchUntil || now <= *m_vouchUntil;
}

bool RequestCore::Impl::holdersAreSlow(const std::string& pool) const
{
    if (m_silentHolders.empty())
        return false;
    const auto holders = m_ledger.holdersOf(pool);
    return std::any_of(holders.begin(), holders.end(), [&](const auto& it) { return m_silentHolders.count(it) > 0; });
}

void RequestCore::Impl::expireClaims(Moment at)
{
    for (const auto token : m_rounds.expired(at.now)) {
        const auto& awaited = m_rounds.find(token)->awaited;
        m_silentHolders.insert(awaited.begin(), awaited.end());
        claimRefused(at, token, { ClaimVerdict::StaleView, {} });
    }
}

/// What the records kept here say of a request's key.
LedgerVerdict RequestCore::Impl::lookUp(Moment at, const Request& request) const
{
    if (!mayVouch(at.now))
        return { ClaimVerdict::StaleView, {} };
    return m_ledger.look(at.wall, claimKeyOf(request), request.bodyHash);
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
    round.upstream = request.upstream;
    round.team = request.team;
    askHolders(at, std::move(round));
}

void RequestCore::Impl::askHolders(Moment at, ClaimRound round)
{
    Request& request = *find(round.request);
    Messages::ClaimRequest message { 0, round.key, request.bodyHash, m_ledger.epoch(), round.allMembers };
    const auto asked = round.asked;
    round.awaited = { asked.begin(), asked.end() };
    round.deadline = at.now + m_limits.claimTimeout;
    message.token = m_rounds.open(std::move(round));
    request.claimToken = message.token;
    if (asked.empty()) {
        claimRefused(at, message.token, { ClaimVerdict::StaleView, {} });
        return;
    }
    bool self = false;
    for (const auto& holder : asked) {
        self = self || holder == m_identity.self;
        if (holder != m_identity.self)
            send(holder, message);
    }
    if (self)
        claimVerdict(at, m_identity.self, message.token, judgeClaim(at, m_identity.self, message));
}

LedgerVerdict RequestCore::Impl::judgeClaim(Moment at, const HostId& from, const Messages::ClaimRequest& message)
{
    if (!mayVouch(at.now) && !message.allMembers)
        return {};
    return m_ledger.claim(at.wall, from, message);
}

void RequestCore::Impl::claimAsked(Moment at, const HostId& from, const Messages::ClaimRequest& message)
{
    const LedgerVerdict verdict = judgeClaim(at, from, message);
    send(from, Messages::ClaimReply { message.token, verdict.verdict, m_ledger.epoch(), verdict.answer });
}

/// While the store is away no holder has a lease. Then the claim is put to every member instead: as long as none of them
/// knows a later view, nobody can have taken the holders' place.
bool RequestCore::Impl::askAllMembers(Moment at, ClaimRound& round, ClaimVerdict verdict)
{
    const Request* request = find(round.request);
    const bool again = verdict == ClaimVerdict::StaleView && !round.allMembers && !round.refusal && at.now < round.deadline;
    if (!again || !request || request->state != RequestState::Claiming || at.now >= request->deadline || m_ledger.view().members.empty())
        return false;
    round.allMembers = true;
    round.asked = m_ledger.view().members;
    askHolders(at, std::move(round));
    return true;
}

void RequestCore::Impl::claimVerdict(Moment at, const HostId& from, std::uint64_t token, const LedgerVerdict& verdict)
{
    m_silentHolders.erase(from);
    ClaimRound* round = m_rounds.find(token);
    if (!round || !round->awaited.erase(from))
        return;
    switch (verdict.verdict) {
    case ClaimVerdict::Granted:
        if (round->refusal && round->awaited.empty())
            claimRefused(at, token, { *round->refusal, {} });
        else if (!round->refusal && (!m_guards.allHoldersAnswer || round->awaited.empty()))
            claimGranted(at, token);
        return;
    case ClaimVerdict::Running:
    case ClaimVerdict::ExpiredKey:
        claimTurnedDown(at, token, verdict.verdict);
        return;
    case ClaimVerdict::Finished:
        tellFinished(*round, verdict.answer);
        claimRefused(at, token, verdict);
        return;
    default:
        claimRefused(at, token, verdict);
        return;
    }
}

/// The other holder may have heard that the request finished, so the round goes on, without its slot.
void RequestCore::Impl::claimTurnedDown(Moment at, std::uint64_t token, ClaimVerdict verdict)
{
    ClaimRound* round = m_rounds.find(token);
    round->refusal = verdict;
    if (round->awaited.empty()) {
        claimRefused(at, token, { verdict, {} });
        return;
    }
    freeHeldSlot(*round);
    pump(at, std::string(round->key.pool));
}

/// A holder that missed the end of the request learns it here.
void RequestCore::Impl::tellFinished(const ClaimRound& round, const Answer& answer)
{
    for (const auto& holder : round.asked) {
        if (holder == m_identity.self)
            m_ledger.finish(round.key, answer);
        else
            send(holder, Messages::ClaimFinished { round.key, answer });
    }
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

void RequestCore::Impl::freeHeldSlot(ClaimRound& round)
{
    if (!round.upstream.empty())
        freeSlot(round.key.pool, round.upstream, round.team);
    round.upstream.clear();
}

void RequestCore::Impl::claimRefused(Moment at, std::uint64_t token, const LedgerVerdict& verdict)
{
    auto round = m_rounds.close(token);
    if (!round)
        return;
    dropClaim(*round, token);
    if (askAllMembers(at, *round, verdict.verdict))
        return;
    freeHeldSlot(*round);
    const std::string pool = round->key.pool;
    Request* request = find(round->request);
    if (!request || request->state != RequestState::Claiming) {
        pump(at, pool);
        return;
    }
    // A holder that can't speak doesn't outweigh the word of one that could.
    const bool silent = verdict.verdict == ClaimVerdict::StaleView && round->refusal;
    switch (silent ? *round->refusal : verdict.verdict) {
    case ClaimVerdict::Finished:
        request->claimed = false;
        conclude(at, request->number, verdict.answer);
        break;
    case ClaimVerdict::Running:
        conclude(at, request->number, unknown(Reason::StillRunning, runningRetry));
        break;
    case ClaimVerdict::OtherBody:
        conclude(at, request->number, notRun(Reason::KeyReusedWithOtherBody));
        break;
    case ClaimVerdict::ExpiredKey:
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
    auto round = m_rounds.close(token);
    Request* request = find(round->request);
    if (!request || request->state != RequestState::Claiming) {
        dropClaim(*round, token);
        freeHeldSlot(*round);
        pump(at, round->key.pool);
        return;
    }
    if (m_guards.claimantRemembers && m_ran.count(round->key)) {
        // A holder missed the end of this host's own earlier run and took the claim for a repeated one.
        freeHeldSlot(*round);
        conclude(at, request->number, unknown(Reason::StillRunning, runningRetry));
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
    if (!request->forwardedTo.empty()) {
        rememberRun(*request);
        forward(at, *request, request->forwardedTo);
    } else if (round->upstream.empty())
        admit(at, *request); // Claimed before it was queued, to settle an earlier record.
    else
        dispatch(at, *request);
}

void RequestCore::Impl::settleClaim(const Request& request, const Answer& answer)
{
    if (!request.claimed)
        return;
    // A proved NotRun frees the key for another run, here as well.
    if (answer.outcome == Outcome::NotRun)
        m_ran.erase(claimKeyOf(request));
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

void RequestCore::Impl::rememberRun(const Request& request)
{
    if (!request.claimed || !m_ran.insert(claimKeyOf(request)).second)
        return;
    const auto key = IdempotencyKey::parse(request.key);
    m_ranByIssue.emplace(key ? key->issued : WallTime::max(), claimKeyOf(request));
}

void RequestCore::Impl::forgetRuns(WallTime now)
{
    const WallTime limit = now - m_limits.claimRetention - 2 * m_limits.clockSkew;
    while (!m_ranByIssue.empty() && m_ranByIssue.begin()->first < limit) {
        m_ran.erase(m_ranByIssue.begin()->second);
        m_ranByIssue.erase(m_ranByIssue.begin());
    }
}

void RequestCore::Impl::askHandovers(Instant now)
{
    if (now < m_nextQueries)
        return;
    m_nextQueries = now + queryInterval;
    for (auto& query : m_ledger.openQueries())
        act(std::move(query));
}

} // namespace Decision
