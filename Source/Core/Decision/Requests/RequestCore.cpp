#include "Decision/Requests/RequestCore.h"

#include "Common/Rendezvous.h"
#include "Decision/Requests/Admission.h"
#include "Decision/Requests/RequestCoreImpl.h"

#include <algorithm>

namespace Decision {

namespace {

    constexpr std::chrono::milliseconds housekeepingInterval { 50 };
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
    if (const auto* caller = std::get_if<CallerSource>(&request.source))
        m_byCaller[caller->handle] = number;
    else if (const auto* peer = std::get_if<PeerSource>(&request.source))
        m_byPeer[{ peer->host, peer->requestId }] = number;
    if (!request.key.empty())
        m_byTeamKey.emplace(std::make_pair(request.team, request.key), number);
    Request& added = m_requests.emplace(number, std::move(request)).first->second;
    added.timeoutAt = added.deadline;
    added.timeoutEntry = m_timeouts.emplace_hint(m_timeouts.end(), added.timeoutAt, number);
    return added;
}

Request* RequestCore::Impl::find(RequestNumber number)
{
    const auto it = m_requests.find(number);
    return it == m_requests.end() ? nullptr : &it->second;
}

void RequestCore::Impl::setTimeout(Request& request, Instant at)
{
    if (request.timeoutAt == at)
        return;
    // Reuses the node. Most changes move an entry close to the end, hence the hint.
    auto node = m_timeouts.extract(request.timeoutEntry);
    node.value().first = at;
    request.timeoutAt = at;
    request.timeoutEntry = m_timeouts.insert(m_timeouts.end(), std::move(node));
}

void RequestCore::Impl::erase(RequestNumber number)
{
    const auto it = m_requests.find(number);
    if (it == m_requests.end())
        return;
    const Request& request = it->second;
    m_timeouts.erase(request.timeoutEntry);
    m_byRequestId.erase(request.requestId);
    if (const auto* caller = std::get_if<CallerSource>(&request.source))
        m_byCaller.erase(caller->handle);
    else if (const auto* peer = std::get_if<PeerSource>(&request.source))
        m_byPeer.erase({ peer->host, peer->requestId });
    if (!request.key.empty())
        removeKey(request);
    m_requests.erase(it);
}

void RequestCore::Impl::removeKey(const Request& request)
{
    const auto [first, last] = m_byTeamKey.equal_range({ request.team, request.key });
    const auto named = std::find_if(first, last, [&](const auto& item) { return item.second == request.number; });
    if (named != last)
        m_byTeamKey.erase(named);
    const auto running = m_byKey.find(claimKeyOf(request));
    if (running != m_byKey.end() && running->second == request.number)
        m_byKey.erase(running);
}

void RequestCore::Impl::acceptFromCaller(Moment at, const Ports::CallerRequest& from)
{
    const auto refuseNow = [&](const Answer& answer) { addAction(AnswerCaller { from.handle, answer, {} }); };
    if (!m_objects) {
        // Without a configuration it can't be determined whether an earlier try of the key ran.
        const bool mayBeRetry = !from.idempotent && !from.idempotencyKey.empty();
        refuseNow(mayBeRetry ? unknown(Reason::NotReady, notReadyRetry) : notRun(Reason::NotReady, notReadyRetry));
        return;
    }
    const std::size_t bodyBytes = from.body ? from.body->size() : 0;
    const AdmissionRequest admissionRequest { from.service, from.team, from.priority, from.idempotencyKey, from.idempotent, bodyBytes, from.timeLeft };
    const auto admitted = checkAdmission(*m_objects, m_dataCentres, at.wall, m_limits.clockSkew, admissionRequest);
    if (!admitted) {
        refuseNow(refusalAnswer(admitted.error(), !from.idempotent && !from.idempotencyKey.empty()));
        return;
    }
    Request request = requestFrom(at, from, admitted.value());
    request.source = CallerSource { from.handle };
    request.key = from.idempotent ? std::string() : from.idempotencyKey;
    request.homeDataCentre = admitted.value().homeDataCentre;
    request.deadline = at.now + std::min(from.timeLeft, serviceOf(from.service)->maximumDeadline);
    route(at, add(std::move(request)));
}

void RequestCore::Impl::tick(Moment at)
{
    while (!m_timeouts.empty() && m_timeouts.begin()->first <= at.now) {
        // Every entry belongs to an open request, so at() can't throw.
        onTimeout(at, m_requests.at(m_timeouts.begin()->second));
    }
    expireClaims(at);
    if (at.now < m_nextHousekeeping)
        return;
    m_nextHousekeeping = at.now + housekeepingInterval;
    m_ledger.prune(at.wall);
    pruneRuns(at.wall);
    sendLedgerQueries(at.now);
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
    m_impl->m_latestService = nullptr;
    m_impl->m_revision = revision;
    m_impl->m_dataCentres.clear();
    m_impl->m_poolNames.clear();
    for (const auto& [name, domain] : m_impl->m_objects->domains) {
        if (domain.level == Objects::DomainLevel::DataCentre)
            m_impl->m_dataCentres.push_back(name);
    }
    for (const auto& [name, pool] : m_impl->m_objects->pools)
        m_impl->m_poolNames.push_back(name);
    m_impl->m_ledger.setView(at.wall, m_impl->m_ledger.view(), m_impl->m_poolNames, false);
    m_impl->m_nextQueries = at.now;
    m_impl->sendLedgerQueries(at.now);
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
    const bool stayed = m_impl->m_stayedMember && m_impl->m_membershipValidUntil && at.now <= *m_impl->m_membershipValidUntil;
    m_impl->m_ledger.setView(at.wall, view, m_impl->m_poolNames, stayed);
    m_impl->m_stayedMember = true;
    m_impl->m_nextQueries = at.now;
    m_impl->sendLedgerQueries(at.now);
}

void RequestCore::setMembershipValidUntil(Instant now, Instant until)
{
    auto& known = m_impl->m_membershipValidUntil;
    if (!known || now > *known)
        m_impl->m_stayedMember = false;
    known = until;
}

void RequestCore::setAlive(Moment, std::vector<HostId> hosts)
{
    m_impl->m_alive = std::move(hosts);
    m_impl->m_owners.clear();
}

void RequestCore::setRemoteHosts(const std::string& dataCentre, std::vector<HostId> hosts)
{
    m_impl->m_remotes[dataCentre].hosts = std::move(hosts);
}

void RequestCore::onCallerRequest(Moment at, const Ports::CallerRequest& request)
{
    m_impl->acceptFromCaller(at, request);
}

void RequestCore::onCallerDisconnected(Moment at, CallerHandle handle)
{
    const auto it = m_impl->m_byCaller.find(handle);
    if (it == m_impl->m_byCaller.end())
        return;
    if (Request* request = m_impl->find(it->second))
        m_impl->handleCallerCancel(at, *request, false);
}

bool RequestCore::cancelByKey(Moment at, const std::string& team, const std::string& key)
{
    std::vector<RequestNumber> numbers;
    const auto [first, last] = m_impl->m_byTeamKey.equal_range({ team, key });
    for (auto it = first; it != last; ++it)
        numbers.push_back(it->second);
    for (const auto number : numbers) {
        if (Request* request = m_impl->find(number))
            m_impl->handleCallerCancel(at, *request, true);
    }
    return !numbers.empty();
}

void RequestCore::peerLost(Moment at, const HostId& host)
{
    m_impl->peerLost(at, host);
}

void RequestCore::onAttemptEnded(Moment at, const Ports::UpstreamResult& result)
{
    m_impl->onAttemptEnded(at, result);
}

void RequestCore::tick(Moment at)
{
    m_impl->tick(at);
}

std::optional<Instant> RequestCore::nextDeadline() const
{
    Instant next = m_impl->m_nextHousekeeping;
    if (!m_impl->m_timeouts.empty())
        next = std::min(next, m_impl->m_timeouts.begin()->first);
    if (const auto round = m_impl->m_rounds.nextDeadline())
        next = std::min(next, *round);
    return next;
}

std::vector<RequestAction> RequestCore::takeActions()
{
    return std::exchange(m_impl->m_actions, {});
}

bool RequestCore::recordsComplete(WallTime now) const
{
    if (!m_impl->m_objects)
        return false;
    for (const auto& pool : m_impl->m_poolNames) {
        const auto holders = m_impl->m_ledger.holdersOf(pool);
        if (std::find(holders.begin(), holders.end(), m_impl->m_identity.self) == holders.end())
            continue;
        const auto completeSince = m_impl->m_ledger.recordsCompleteSince(pool);
        if (!completeSince || now <= *completeSince + 2 * m_impl->m_limits.clockSkew)
            return false;
    }
    return true;
}

std::size_t RequestCore::open() const
{
    return m_impl->m_requests.size();
}

std::size_t RequestCore::attemptsInFlight() const
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
