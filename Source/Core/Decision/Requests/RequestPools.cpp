#include "Decision/Requests/RequestCoreImpl.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace Decision {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds noUpstreamRetry { 2000 };
    constexpr microseconds defaultRunTime { 100000 };

} // namespace

RequestCore::Impl::PoolState& RequestCore::Impl::pool(const std::string& name)
{
    // Handling one event looks up the same pool several times.
    if (m_latestPool && m_latestPool->first == name)
        return m_latestPool->second;
    auto it = m_pools.find(name);
    if (it == m_pools.end())
        it = m_pools.emplace(std::piecewise_construct, std::forward_as_tuple(name), std::forward_as_tuple(name, m_limits, m_guards)).first;
    m_latestPool = &*it;
    return it->second;
}

const Objects::Service* RequestCore::Impl::serviceOf(const std::string& name) const
{
    // Handling one event looks up the same service several times.
    if (m_latestService && m_latestService->first == name)
        return &m_latestService->second;
    const auto it = m_objects->services.find(name);
    if (it == m_objects->services.end())
        return nullptr;
    m_latestService = &*it;
    return &it->second;
}

microseconds RequestCore::Impl::declaredRunTime(const std::string& service) const
{
    const Objects::Service* known = serviceOf(service);
    return known ? microseconds(known->expectedRunTime) : defaultRunTime;
}

microseconds RequestCore::Impl::longestRunTime(const std::string& pool) const
{
    microseconds longest { 0 };
    if (!m_objects)
        return longest;
    for (const auto& [name, service] : m_objects->services) {
        if (service.pool == pool)
            longest = std::max(longest, m_runTimes.expected(name, service.expectedRunTime));
    }
    return longest;
}

TeamShare RequestCore::Impl::shareOf(const std::string& team) const
{
    const auto it = m_objects->teams.find(team);
    if (it == m_objects->teams.end())
        return {};
    return { it->second.weight, it->second.slotQuota };
}

milliseconds RequestCore::Impl::retryTime(microseconds wait)
{
    // Uniformly distributed from 3/4 to 7/4 of the wait, so that callers refused together don't retry together, and the
    // first of them return before the queue is empty.
    const auto mean = std::min(m_limits.retryMaximum, std::max<milliseconds>(2 * m_limits.retryBase, std::chrono::duration_cast<milliseconds>(wait)));
    std::uniform_int_distribution<milliseconds::rep> spread(mean.count() * 3 / 4, mean.count() * 7 / 4);
    return std::min(m_limits.retryMaximum, milliseconds(spread(m_random)));
}

bool RequestCore::Impl::joinEarlier(Moment at, Request& request)
{
    const auto it = m_byKey.find(claimKeyOf(request));
    Request* earlier = it == m_byKey.end() ? nullptr : find(it->second);
    if (!earlier)
        return false;
    if (earlier->bodyHash != request.bodyHash) {
        request.keyChecked = true;
        complete(at, request.number, notRun(Reason::KeyReusedWithOtherBody));
        return true;
    }
    request.state = RequestState::Joined;
    earlier->joined.push_back(request.number);
    return true;
}

bool RequestCore::Impl::answeredByLedger(Moment at, Request& request)
{
    if (!m_ledger.hasCompleteRecords(request.pool))
        return false;
    const auto known = lookUp(at, request);
    switch (known.verdict) {
    case Messages::ClaimVerdict::Finished:
        complete(at, request.number, known.answer);
        return true;
    case Messages::ClaimVerdict::Running:
        // The other holder may know that the request has finished.
        beginClaim(at, request);
        return true;
    case Messages::ClaimVerdict::OtherBody:
        complete(at, request.number, notRun(Reason::KeyReusedWithOtherBody));
        return true;
    case Messages::ClaimVerdict::ExpiredKey:
        complete(at, request.number, unknown(Reason::KeyTooOld));
        return true;
    default:
        return false;
    }
}

void RequestCore::Impl::handleAsOwner(Moment at, Request& request)
{
    request.forwardedTo.clear();
    request.state = RequestState::Queued;
    if (m_guards.harmfulRequestsBlocked && m_harmful.isHarmful(at.now, request.bodyHash)) {
        complete(at, request.number, notRun(Reason::HarmfulRequest));
        return;
    }
    if (needsClaim(request)) {
        if (joinEarlier(at, request))
            return;
        m_byKey[claimKeyOf(request)] = request.number;
        if (answeredByLedger(at, request))
            return;
        // A claim that may have to wait for an unresponsive holder reserves no slot, so that other requests can use it.
        if (!request.claimed && hasUnresponsiveHolder(request.pool)) {
            beginClaim(at, request);
            return;
        }
    }
    admit(at, request);
}

RequestCore::Impl::WaitEstimate RequestCore::Impl::waitOf(Instant now, const Request& request, const PoolState& state, TeamShare share, unsigned usableSlots) const
{
    WaitEstimate estimate;
    if (state.queue.size() == 0 && state.queue.mayStart(request.team, share))
        return estimate;
    const unsigned slots = std::max(1u, usableSlots);
    // While a slot is free, the queued requests are held back by quotas and don't delay others.
    if (!state.slots.hasFreeSlot(now, m_mayDispatch))
        estimate.wait = state.queue.costAhead(request.team, request.rank, share) / slots;
    if (share.slotQuota == 0 || share.slotQuota >= slots)
        return estimate;
    const bool atQuota = state.queue.slotsOf(request.team) >= share.slotQuota;
    const microseconds quotaWait = atQuota ? state.queue.costOf(request.team) / share.slotQuota : microseconds(0);
    if (quotaWait > estimate.wait) {
        estimate.wait = quotaWait;
        estimate.quotaBound = true;
    }
    return estimate;
}

void RequestCore::Impl::refuse(Moment at, Request& request, Reason reason, microseconds wait)
{
    if (const auto help = findOffloadTarget(at, request, wait)) {
        offload(at, request, *help);
        return;
    }
    complete(at, request.number, notRun(reason, retryTime(wait)));
}

void RequestCore::Impl::rejectQueued(Moment at, Request& request)
{
    const PoolState& state = pool(request.pool);
    const auto estimate = waitOf(at.now, request, state, shareOf(request.team), state.slots.usableSlots(at.now, m_mayDispatch));
    complete(at, request.number, notRun(Reason::DeadlineCannotBeMet, retryTime(estimate.wait)));
}

void RequestCore::Impl::admit(Moment at, Request& request)
{
    PoolState& state = pool(request.pool);
    const unsigned slots = state.slots.usableSlots(at.now, m_mayDispatch);
    if (slots == 0) {
        refuse(at, request, Reason::NoUpstream, noUpstreamRetry);
        return;
    }
    const TeamShare share = shareOf(request.team);
    const auto estimate = waitOf(at.now, request, state, share, slots);
    const auto run = m_runTimes.upperEstimate(request.service, declaredRunTime(request.service));
    if (m_guards.deadlineAware && at.now + estimate.wait + run > request.deadline) {
        refuse(at, request, estimate.quotaBound ? Reason::QuotaExceeded : Reason::DeadlineCannotBeMet, estimate.wait);
        return;
    }
    if (state.queue.size() >= m_limits.queueFactor * slots) {
        const auto evicted = state.queue.evictionCandidate(request.rank);
        if (!evicted) {
            refuse(at, request, Reason::QueueFull, estimate.wait);
            return;
        }
        complete(at, *evicted, notRun(Reason::QueueFull, retryTime(estimate.wait)));
    }
    if (state.queue.size() == 0 && state.queue.mayStart(request.team, share) && state.slots.hasFreeSlot(at.now, m_mayDispatch)) {
        startNext(at, state, request);
        return;
    }
    enqueue(request);
    pump(at, request.pool);
}

void RequestCore::Impl::enqueue(Request& request)
{
    const auto declared = declaredRunTime(request.service);
    const auto run = m_runTimes.expected(request.service, declared);
    const auto upperEstimate = m_runTimes.upperEstimate(request.service, declared);
    request.state = RequestState::Queued;
    // After that time it would probably miss its deadline, so it is answered then and not at the deadline.
    setTimeout(request, m_guards.deadlineAware ? std::max(request.arrived, request.deadline - upperEstimate) : request.deadline);
    pool(request.pool).queue.push(request.number, request.team, request.rank, run, shareOf(request.team));
}

void RequestCore::Impl::pump(Moment at, const std::string& name)
{
    PoolState& state = pool(name);
    // A claim that is refused at once releases its slot while this loop runs; the loop then uses that slot.
    if (std::exchange(state.pumping, true))
        return;
    while (state.queue.size() > 0 && state.slots.hasFreeSlot(at.now, m_mayDispatch)) {
        const auto number = state.queue.pop();
        if (!number)
            break;
        if (Request* request = find(*number))
            startNext(at, state, *request);
    }
    state.pumping = false;
}

void RequestCore::Impl::startNext(Moment at, PoolState& state, Request& request)
{
    if (m_guards.deadlineAware && request.timeoutAt < at.now) {
        rejectQueued(at, request);
        return;
    }
    const PoolUpstream* upstream = state.slots.acquire(at.now, m_mayDispatch, request.tried, request.idempotent && request.tried.empty());
    if (!upstream) {
        enqueue(request);
        return;
    }
    state.queue.onSlotAcquired(request.team);
    request.upstream = upstream->name;
    request.forwardedTo.clear();
    setTimeout(request, request.deadline);
    if (needsClaim(request) && !request.claimed)
        beginClaim(at, request);
    else
        dispatch(at, request);
}

std::vector<Messages::PoolLoad> RequestCore::loads(Instant now) const
{
    std::vector<Messages::PoolLoad> loads;
    for (auto& [name, state] : m_impl->m_pools) {
        // Only the owner knows the queue of a pool; other hosts report just the slots that they use.
        const bool owner = m_impl->ownerOf(name) == m_impl->m_identity.self;
        if (!owner && state.slots.busy() == 0)
            continue;
        Messages::PoolLoad load;
        load.pool = name;
        load.queued = static_cast<unsigned>(state.queue.size());
        load.slots = owner ? state.slots.usableSlots(now, m_impl->m_mayDispatch) : 0;
        load.busy = state.slots.busy();
        const auto queued = state.queue.costAhead(std::string(), std::numeric_limits<unsigned>::max(), {});
        if (load.slots > 0 && load.busy >= load.slots)
            load.expectedWait = std::chrono::duration_cast<milliseconds>(queued / load.slots);
        load.uses = state.slots.uses();
        loads.push_back(std::move(load));
    }
    return loads;
}

} // namespace Decision
