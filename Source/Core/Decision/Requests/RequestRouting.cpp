#include "Common/Rendezvous.h"
#include "Decision/Requests/Admission.h"
#include "Decision/Requests/RequestCoreImpl.h"

#include <algorithm>

namespace Decision {

namespace {

    constexpr std::chrono::milliseconds noPeerRetry { 500 };
    constexpr std::chrono::milliseconds remoteLoadLifetime { 3000 }; ///< Older load reports of another data centre are ignored.
    constexpr std::chrono::milliseconds remoteRoundTrip { 10 }; ///< Allowance for the network round trip to another data centre.
    constexpr double offloadWaitFactor = 0.8; ///< The expected wait elsewhere must be at most this share of the local one.

    std::chrono::milliseconds timeLeft(Instant now, Instant deadline)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
    }

} // namespace

HostId RequestCore::Impl::ownerOf(const std::string& pool) const
{
    if (m_alive.empty())
        return m_identity.self;
    const auto known = m_owners.find(pool);
    if (known != m_owners.end())
        return known->second;
    return m_owners.emplace(pool, Common::rendezvousTop(pool, m_alive, 1).front()).first->second;
}

void RequestCore::Impl::route(Moment at, Request& request)
{
    const bool homeElsewhere = !request.homeDataCentre.empty() && request.homeDataCentre != m_identity.dataCentre;
    if (homeElsewhere) {
        const auto remote = m_remotes.find(request.homeDataCentre);
        if (remote == m_remotes.end() || remote->second.hosts.empty()) {
            complete(at, request.number, notRun(Reason::NoPeer, noPeerRetry));
            return;
        }
        forward(at, request, Common::rendezvousTop(request.pool, remote->second.hosts, 1).front());
        return;
    }
    const HostId owner = ownerOf(request.pool);
    if (owner == m_identity.self || request.hops >= m_limits.maximumHops)
        handleAsOwner(at, request);
    else
        forward(at, request, owner);
}

void RequestCore::Impl::forward(Moment at, Request& request, const HostId& to)
{
    Messages::ForwardRequest message;
    message.requestId = request.requestId;
    message.service = request.service;
    message.team = request.team;
    message.priority = request.priority;
    message.idempotencyKey = request.key;
    message.idempotent = request.idempotent;
    message.timeLeft = timeLeft(at.now, request.deadline);
    message.contentType = request.contentType;
    message.body = request.body;
    message.configurationRevision = m_revision;
    message.homeDataCentre = request.homeDataCentre;
    message.hops = request.hops + 1;
    request.state = request.claimed ? RequestState::Offloaded : RequestState::Forwarded;
    request.forwardedTo = to;
    m_byRequestId[request.requestId] = request.number;
    ++m_counts.forwards;
    send(to, std::move(message));
}

void RequestCore::Impl::acceptFromPeer(Moment at, const HostId& from, const Messages::ForwardRequest& message)
{
    const auto refuseNow = [&](const Answer& answer) { send(from, Messages::ForwardAnswer { message.requestId, answer }); };
    if (m_byPeer.count({ from, message.requestId }))
        return;
    if (!m_objects || m_revision < message.configurationRevision) {
        // The sender has a newer configuration; with the older one a valid request could be refused or sent to the wrong pool.
        const bool keyed = !message.homeDataCentre.empty();
        refuseNow(keyed ? unknown(Reason::NotReady, noPeerRetry) : notRun(Reason::NotReady, noPeerRetry));
        return;
    }
    const std::size_t bodyBytes = message.body ? message.body->size() : 0;
    const AdmissionRequest admissionRequest { message.service, message.team, message.priority, message.idempotencyKey, message.idempotent, bodyBytes, message.timeLeft };
    const auto admitted = checkAdmission(*m_objects, m_dataCentres, at.wall, m_limits.clockSkew, admissionRequest);
    if (!admitted) {
        refuseNow(refusalAnswer(admitted.error(), !message.homeDataCentre.empty()));
        return;
    }
    Request request = requestFrom(at, message, admitted.value());
    request.source = PeerSource { from, message.requestId };
    request.key = message.idempotencyKey;
    request.homeDataCentre = message.homeDataCentre;
    request.deadline = at.now + message.timeLeft;
    request.hops = message.hops;
    Request& added = add(std::move(request));
    // Offloaded by its home data centre after claiming the key there; it runs here under that claim.
    const bool offloaded = isOffloadedHere(added);
    const HostId owner = ownerOf(added.pool);
    if (owner == m_identity.self || added.hops >= m_limits.maximumHops || owner == from)
        handleAsOwner(at, added);
    else if (offloaded)
        forward(at, added, owner);
    else
        route(at, added);
}

void RequestCore::Impl::handleForwardAnswer(Moment at, const HostId& from, const Messages::ForwardAnswer& message)
{
    const auto it = m_byRequestId.find(message.requestId);
    if (it == m_byRequestId.end())
        return;
    Request* request = find(it->second);
    if (!request || (request->state != RequestState::Forwarded && request->state != RequestState::Offloaded))
        return;
    // A previous owner may still deliver the result; any other answer from it is superseded by the current owner.
    if (request->forwardedTo != from && message.answer.outcome != Outcome::Done)
        return;
    request->keyChecked = true;
    complete(at, request->number, message.answer);
}

void RequestCore::Impl::handleHeartbeat(Moment at, const HostId& from, const Messages::Heartbeat& message)
{
    if (message.dataCentre == m_identity.dataCentre) {
        for (auto& pool : m_pools) {
            const auto load = std::find_if(message.loads.begin(), message.loads.end(), [&](const auto& it) { return it.pool == pool.first; });
            pool.second.slots.setPeerUse(at.now, from, load == message.loads.end() ? std::vector<Messages::UpstreamUse> {} : load->uses, m_limits.peerUseRetention);
        }
        return;
    }
    RemoteState& remote = m_remotes[message.dataCentre];
    remote.lastHeartbeat = at.now;
    for (const auto& load : message.loads)
        remote.loads[load.pool] = load;
}

void RequestCore::Impl::peerLost(Moment at, const HostId& host)
{
    std::erase(m_alive, host);
    m_owners.clear();
    for (auto& [name, state] : m_pools)
        state.slots.releasePeerSlots(at.now, host, longestRunTime(name));
    for (auto& [name, remote] : m_remotes)
        std::erase(remote.hosts, host);
    for (const auto token : m_rounds.waitingFor(host))
        finishRefusedClaim(at, token, { Messages::ClaimVerdict::StaleView, {} });
    std::vector<RequestNumber> sent;
    std::vector<RequestNumber> taken;
    for (const auto& [number, request] : m_requests) {
        const auto* peer = std::get_if<PeerSource>(&request.source);
        if (request.forwardedTo == host && (request.state == RequestState::Forwarded || request.state == RequestState::Offloaded))
            sent.push_back(number);
        else if (peer && peer->host == host)
            taken.push_back(number);
    }
    std::sort(sent.begin(), sent.end());
    std::sort(taken.begin(), taken.end());
    for (const auto number : sent) {
        if (Request* request = find(number))
            handleLostForward(at, *request);
    }
    for (const auto number : taken) {
        if (Request* request = find(number))
            handleCallerCancel(at, *request, false);
    }
}

void RequestCore::Impl::handleLostForward(Moment at, Request& request)
{
    request.mayHaveRun = true;
    // Idempotent requests may run again, and keyed ones are safe because the holders refuse a second claim. A request that
    // was offloaded to this data centre has no claim in this data centre, so nothing would prevent a second run.
    const bool claimGuards = request.state == RequestState::Forwarded && !request.homeDataCentre.empty() && !isOffloadedHere(request);
    if ((request.idempotent || claimGuards) && ++request.attempts < m_limits.maximumAttempts)
        route(at, request);
    else
        complete(at, request.number, unknown(Reason::OwnerLost));
}

void RequestCore::Impl::handleForwardCancel(Moment at, const HostId& from, const Messages::ForwardCancel& message)
{
    const auto number = m_byPeer.find({ from, message.requestId });
    Request* request = number == m_byPeer.end() ? nullptr : find(number->second);
    if (request)
        handleCallerCancel(at, *request, message.cancelledByKey);
}

std::optional<HostId> RequestCore::Impl::findOffloadTarget(Moment at, const Request& request, std::chrono::microseconds ownWait) const
{
    const bool alreadyOffloaded = !request.homeDataCentre.empty() && request.homeDataCentre != m_identity.dataCentre;
    if (alreadyOffloaded || request.hops > 1)
        return std::nullopt;
    if (!request.idempotent && request.homeDataCentre.empty())
        return std::nullopt;
    std::optional<HostId> best;
    std::chrono::microseconds bestWait = std::chrono::duration_cast<std::chrono::microseconds>(ownWait * offloadWaitFactor);
    for (const auto& [name, remote] : m_remotes) {
        const auto load = remote.loads.find(request.pool);
        if (remote.hosts.empty() || load == remote.loads.end() || load->second.slots == 0 || at.now - remote.lastHeartbeat > remoteLoadLifetime)
            continue;
        const std::chrono::microseconds wait = load->second.expectedWait + remoteRoundTrip;
        const auto run = m_runTimes.expected(request.service, declaredRunTime(request.service));
        if (at.now + wait + run > request.deadline || wait > bestWait)
            continue;
        best = Common::rendezvousTop(request.pool, remote.hosts, 1).front();
        bestWait = wait;
    }
    return best;
}

void RequestCore::Impl::offload(Moment at, Request& request, const HostId& to)
{
    ++m_counts.offloaded;
    request.forwardedTo = to;
    if (needsClaim(request) && !request.claimed) {
        beginClaim(at, request);
        return;
    }
    forward(at, request, to);
}

void RequestCore::peerMessage(Moment at, const HostId& from, const Messages::PeerMessage& message)
{
    if (const auto* it = std::get_if<Messages::ForwardRequest>(&message))
        m_impl->acceptFromPeer(at, from, *it);
    else if (const auto* it = std::get_if<Messages::ForwardAnswer>(&message))
        m_impl->handleForwardAnswer(at, from, *it);
    else if (const auto* it = std::get_if<Messages::ForwardCancel>(&message))
        m_impl->handleForwardCancel(at, from, *it);
    else if (const auto* it = std::get_if<Messages::ClaimRequest>(&message))
        m_impl->handleClaimRequest(at, from, *it);
    else if (const auto* it = std::get_if<Messages::ClaimReply>(&message))
        m_impl->handleClaimVerdict(at, from, it->token, { it->verdict, it->answer });
    else if (const auto* it = std::get_if<Messages::ClaimFinished>(&message))
        m_impl->m_ledger.finish(it->key, it->answer);
    else if (const auto* it = std::get_if<Messages::ClaimReleased>(&message))
        m_impl->m_ledger.release(it->key, it->token);
    else if (const auto* it = std::get_if<Messages::Heartbeat>(&message))
        m_impl->handleHeartbeat(at, from, *it);
    else if (const auto* it = std::get_if<Messages::LedgerHandover>(&message))
        m_impl->m_ledger.handover(from, *it, at.wall);
    else if (const auto* it = std::get_if<Messages::LedgerQuery>(&message)) {
        for (auto& part : m_impl->m_ledger.answerQuery(from, *it))
            m_impl->addAction(std::move(part));
    }
}

} // namespace Decision
