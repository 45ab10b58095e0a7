#include "Decision/Requests/RequestCore.h"

#include "Common/Rendezvous.h"
#include "Decision/Requests/Door.h"
#include "Decision/Requests/IdempotencyKey.h"
#include "Decision/Requests/RequestCoreImpl.h"

#include <algorithm>

namespace Decision {

namespace {

    constexpr std::chrono::milliseconds housekeepingInterval { 50 };
    constexpr std::chrono::milliseconds ownerGrace { 20 }; ///< How long past the deadline an owner's answer is waited for.
    constexpr std::chrono::milliseconds notReadyRetry { 1000 };

} // namespace

RequestCore::Impl::Impl(RequestIdentity identity, const RequestLimits& limits, const RequestGuards& guards)
    : m_identity(std::move(identity))
    , m_limits(limits)
    , m_guards(guards)
    , m_random(m_identity.seed)
    , m_mayDispatch([](const std::string&, const std::string&, Instant) { return true; })
    , m_ledger(m_identity.self, limits, guards)
    , m_rounds(m_identity.incarnation)
    , m_harmful(limits.harmfulLosses, limits.harmfulRetention)
{
    m_alive.push_back(m_identity.self);
}

RequestCore::Impl::PoolState::PoolState(const std::string& name, const RequestLimits& limits, const RequestGuards& guards)
    : queue(guards.priorityOrdered)
    , slots(name, guards)
    , retries(limits.retryRatio)
{
}

Request& RequestCore::Impl::add(Request request)
{
    request.number = m_nextRequest++;
    request.requestId = m_identity.self + "." + std::to_string(m_identity.incarnation) + "." + std::to_string(request.number);
    const RequestNumber number = request.number;
    m_byRequestId[request.requestId] = number;
    if (const auto* caller = std::get_if<CallerSource>(&request.source))
        m_byCaller[caller->handle] = number;
    else if (const auto* peer = std::get_if<PeerSource>(&request.source))
        m_byPeer[{ peer->host, peer->requestId }] = number;
    if (!request.key.empty())
        m_byTeamKey.emplace(std::make_pair(request.team, request.key), number);
    Request& added = m_requests.emplace(number, std::move(request)).first->second;
    added.giveUpAt = Instant::max();
    setGiveUp(added, added.deadline);
    return added;
}

Request* RequestCore::Impl::find(RequestNumber number)
{
    const auto it = m_requests.find(number);
    return it == m_requests.end() ? nullptr : &it->second;
}

void RequestCore::Impl::setGiveUp(Request& request, Instant at)
{
    m_giveUps.erase({ request.giveUpAt, request.number });
    request.giveUpAt = at;
    m_giveUps.insert({ at, request.number });
}

void RequestCore::Impl::erase(RequestNumber number)
{
    const auto it = m_requests.find(number);
    if (it == m_requests.end())
        return;
    const Request& request = it->second;
    m_giveUps.erase({ request.giveUpAt, number });
    m_byRequestId.erase(request.requestId);
    if (const auto* caller = std::get_if<CallerSource>(&request.source))
        m_byCaller.erase(caller->handle);
    else if (const auto* peer = std::get_if<PeerSource>(&request.source))
        m_byPeer.erase({ peer->host, peer->requestId });
    const auto [first, last] = m_byTeamKey.equal_range({ request.team, request.key });
    const auto named = std::find_if(first, last, [&](const auto& item) { return item.second == number; });
    if (named != last)
        m_byTeamKey.erase(named);
    const auto running = m_byKey.find(claimKeyOf(request));
    if (running != m_byKey.end() && running->second == number)
        m_byKey.erase(running);
    m_requests.erase(it);
}

void RequestCore::Impl::arriveFromCaller(Moment at, const Ports::CallerRequest& from)
{
    const auto refuseAtOnce = [&](const Answer& answer) { act(AnswerCaller { from.handle, answer }); };
    if (!m_objects) {
        // Without objects nobody can say what an earlier try of the key did.
        const bool mayBeRetry = !from.idempotent && !from.idempotencyKey.empty();
        refuseAtOnce(mayBeRetry ? unknown(Reason::NotReady, notReadyRetry) : notRun(Reason::NotReady, notReadyRetry));
        return;
    }
    const std::size_t bodyBytes = from.body ? from.body->size() : 0;
    const DoorRequest asked { from.service, from.team, from.priority, from.idempotencyKey, from.idempotent, bodyBytes, from.timeLeft };
    const auto admitted = checkAtDoor(*m_objects, m_dataCentres, at.wall, m_limits.clockSkew, asked);
    if (!admitted) {
        refuseAtOnce(admitted.error());
        return;
    }
    Request request;
    request.source = CallerSource { from.handle };
    request.service = from.service;
    request.pool = admitted.value().pool;
    request.team = from.team;
    request.priority = from.priority;
    request.rank = admitted.value().rank;
    request.key = from.idempotent ? std::string() : from.idempotencyKey;
    request.homeDataCentre = admitted.value().homeDataCentre;
    request.idempotent = from.idempotent;
    request.arrived = at.now;
    request.deadline = at.now + std::min(from.timeLeft, m_objects->services.at(from.service).maximumDeadline);
    request.body = from.body;
    request.contentType = from.contentType;
    request.bodyHash = Common::hash64(from.body ? *from.body : std::string(), Common::hash64(from.service));
    route(at, add(std::move(request)));
}

void RequestCore::Impl::abandon(Moment at, Request& request, bool explicitly)
{
    // A caller that merely hung up may ask again with its key, so a claimed request goes on and its answer is kept.
    const bool keepRunning = !explicitly && needsClaim(request) && request.state != RequestState::Queued;
    switch (request.state) {
    case RequestState::Forwarded:
    case RequestState::PassedOn:
        send(request.forwardedTo, Messages::ForwardCancel { request.requestId });
        break;
    case RequestState::Queued:
        if (!request.joined.empty())
            return;
        break;
    case RequestState::Claiming:
        request.cancelled = !keepRunning;
        return;
    case RequestState::Running:
        if (keepRunning || !request.joined.empty())
            return;
        request.cancelled = true;
        act(CancelAttempt { request.attempt });
        return;
    case RequestState::Joined:
        break;
    }
    if (request.state == RequestState::PassedOn && request.claimed)
        return;
    conclude(at, request.number, request.mayHaveRun ? unknown(Reason::CancelledByCaller) : notRun(Reason::CancelledByCaller));
}

Answer RequestCore::Impl::truthful(const Request& request, Answer answer) const
{
    if (answer.outcome != Outcome::NotRun || !m_guards.notRunOnlyIfProved)
        return answer;
    if (request.mayHaveRun)
        return unknown(answer.reason, answer.retryAfter);
    // An earlier try of the same key may have run: only a holder whose memory is whole can say otherwise.
    if (request.homeDataCentre.empty() || request.claimed || request.vouched || isDoorReason(answer.reason))
        return answer;
    if (request.homeDataCentre != m_identity.dataCentre)
        return unknown(answer.reason, answer.retryAfter);
    const auto known = m_ledger.look(claimKeyOf(request), request.bodyHash, IdempotencyKey::parse(request.key)->issued);
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
    answer = truthful(*request, std::move(answer));
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
        conclude(at, request.number, notRun(Reason::DeadlineCannotBeMet, retryTime(std::chrono::microseconds(0))));
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

void RequestCore::Impl::tick(Moment at)
{
    while (!m_giveUps.empty() && m_giveUps.begin()->first <= at.now) {
        Request* request = find(m_giveUps.begin()->second);
        if (!request) {
            m_giveUps.erase(m_giveUps.begin());
            continue;
        }
        giveUp(at, *request);
    }
    for (const auto token : m_rounds.expired(at.now))
        claimRefused(at, token, { Messages::ClaimVerdict::StaleView, {} });
    if (at.now < m_nextHousekeeping)
        return;
    m_nextHousekeeping = at.now + housekeepingInterval;
    m_ledger.prune(at.wall);
    askHandovers();
    for (auto& [name, state] : m_pools)
        pump(at, name);
}

RequestCore::RequestCore(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

RequestCore::~RequestCore() = default;

std::unique_ptr<RequestCore> RequestCore::create(RequestIdentity identity, const RequestLimits& limits, const RequestGuards& guards)
{
    return std::unique_ptr<RequestCore>(new RequestCore(std::make_unique<Impl>(std::move(identity), limits, guards)));
}

void RequestCore::setConfiguration(Moment at, std::shared_ptr<const Objects::ObjectSet> objects, std::uint64_t revision)
{
    m_impl->m_objects = std::move(objects);
    m_impl->m_revision = revision;
    m_impl->m_dataCentres.clear();
    m_impl->m_poolNames.clear();
    for (const auto& [name, domain] : m_impl->m_objects->domains) {
        if (domain.level == Objects::DomainLevel::DataCentre)
            m_impl->m_dataCentres.push_back(name);
    }
    for (const auto& [name, pool] : m_impl->m_objects->pools)
        m_impl->m_poolNames.push_back(name);
    m_impl->m_ledger.setView(at.wall, m_impl->m_ledger.view(), m_impl->m_poolNames);
    m_impl->askHandovers();
}

void RequestCore::setUpstreams(Moment at, const std::string& pool, const std::vector<PoolUpstream>& upstreams)
{
    m_impl->pool(pool).slots.setUpstreams(upstreams);
    m_impl->pump(at, pool);
}

void RequestCore::setMayDispatch(MayDispatch mayDispatch)
{
    m_impl->m_mayDispatch = std::move(mayDispatch);
}

void RequestCore::setView(Moment at, const LedgerView& view)
{
    m_impl->m_ledger.setView(at.wall, view, m_impl->m_poolNames);
    m_impl->askHandovers();
}

void RequestCore::setAlive(Moment, std::vector<HostId> hosts)
{
    m_impl->m_alive = std::move(hosts);
}

void RequestCore::setRemote(const std::string& dataCentre, std::vector<HostId> hosts)
{
    m_impl->m_remotes[dataCentre].hosts = std::move(hosts);
}

void RequestCore::requestArrived(Moment at, const Ports::CallerRequest& request)
{
    m_impl->arriveFromCaller(at, request);
}

void RequestCore::callerGone(Moment at, CallerHandle handle)
{
    const auto it = m_impl->m_byCaller.find(handle);
    if (it == m_impl->m_byCaller.end())
        return;
    if (Request* request = m_impl->find(it->second))
        m_impl->abandon(at, *request, false);
}

bool RequestCore::cancelByKey(Moment at, const std::string& team, const std::string& key)
{
    std::vector<RequestNumber> numbers;
    const auto [first, last] = m_impl->m_byTeamKey.equal_range({ team, key });
    for (auto it = first; it != last; ++it)
        numbers.push_back(it->second);
    for (const auto number : numbers) {
        if (Request* request = m_impl->find(number))
            m_impl->abandon(at, *request, true);
    }
    return !numbers.empty();
}

void RequestCore::peerLost(Moment at, const HostId& host)
{
    m_impl->peerLost(at, host);
}

void RequestCore::attemptEnded(Moment at, const Ports::UpstreamResult& result)
{
    m_impl->attemptEnded(at, result);
}

void RequestCore::tick(Moment at)
{
    m_impl->tick(at);
}

std::optional<Instant> RequestCore::nextDeadline() const
{
    Instant next = m_impl->m_nextHousekeeping;
    if (!m_impl->m_giveUps.empty())
        next = std::min(next, m_impl->m_giveUps.begin()->first);
    if (const auto round = m_impl->m_rounds.nextDeadline())
        next = std::min(next, *round);
    return next;
}

std::vector<RequestAction> RequestCore::takeActions()
{
    return std::exchange(m_impl->m_actions, {});
}

bool RequestCore::memoryWhole(WallTime now) const
{
    if (!m_impl->m_objects)
        return false;
    for (const auto& pool : m_impl->m_poolNames) {
        const auto holders = m_impl->m_ledger.holdersOf(pool);
        if (std::find(holders.begin(), holders.end(), m_impl->m_identity.self) == holders.end())
            continue;
        const auto began = m_impl->m_ledger.memoryBegan(pool);
        if (!began || now <= *began + m_impl->m_limits.clockSkew)
            return false;
    }
    return true;
}

std::size_t RequestCore::open() const
{
    return m_impl->m_requests.size();
}

std::size_t RequestCore::attemptsOut() const
{
    return m_impl->m_attempts.size();
}

std::size_t RequestCore::ledgerRecords() const
{
    return m_impl->m_ledger.records();
}

unsigned RequestCore::attemptsOn(const std::string& upstream) const
{
    unsigned out = 0;
    for (const auto& [id, attempt] : m_impl->m_attempts)
        out += attempt.upstream == upstream ? 1 : 0;
    return out;
}

RequestCounts RequestCore::counts() const
{
    return m_impl->m_counts;
}

} // namespace Decision
