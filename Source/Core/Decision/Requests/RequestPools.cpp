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
    // The steps of an event all ask for the same pool.
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
    // The steps of an event all ask for the same service.
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
    // Uniform around the wait, so that callers refused together come back apart and the first
    // of them find the queue not yet empty.
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
        request.vouched = true;
        conclude(at, request.number, notRun(Reason::KeyReusedWithOtherBody));
        return true;
    }
    request.state = RequestState::Joined;
    earlier->joined.push_back(request.number);
    return true;
}

bool RequestCore::Impl::answeredByLedger(Moment at, Request& request)
{
    if (!m_ledger.vouchesFor(request.pool))
        return false;
    const auto known = lookUp(at, request);
    switch (known.verdict) {
    case Messages::ClaimVerdict::Finished:
        conclude(at, request.number, known.answer);
        return true;
    case Messages::ClaimVerdict::Running:
        // The other holder may know that it has finished.
        beginClaim(at, request);
        return true;
    case Messages::ClaimVerdict::OtherBody:
        conclude(at, request.number, notRun(Reason::KeyReusedWithOtherBody));
        return true;
    case Messages::ClaimVerdict::ExpiredKey:
        conclude(at, request.number, unknown(Reason::KeyTooOld));
        return true;
    default:
        return false;
    }
}

void RequestCore::Impl::own(Moment at, Request& request)
{
    request.forwardedTo.clear();
    request.state = RequestState::Queued;
    if (m_guards.harmfulSetAside && m_harmful.isHarmful(at.now, request.bodyHash)) {
        conclude(at, request.number, notRun(Reason::HarmfulRequest));
        return;
    }
    if (needsClaim(request)) {
        if (joinEarlier(at, request))
            return;
        m_byKey[claimKeyOf(request)] = request.number;
        if (answeredByLedger(at, request))
            return;
        // Claims that may wait for a silent holder take no slots from requests that need none.
        if (!request.claimed && holdersAreSlow(request.pool)) {
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
    // While a slot is free, what still waits is held back by quotas and is in nobody else's way.
    if (!state.slots.hasFreeSlot(now, m_mayDispatch))
        estimate.wait = state.queue.costAhead(request.team, request.rank, share) / slots;
    if (share.slotQuota == 0 || share.slotQuota >= slots)
        return estimate;
    const bool atQuota = state.queue.slotsOf(request.team) >= share.slotQuota;
    const microseconds own = atQuota ? state.queue.costOf(request.team) / share.slotQuota : microseconds(0);
    if (own > estimate.wait) {
        estimate.wait = own;
        estimate.quotaBound = true;
    }
    return estimate;
}

void RequestCore::Impl::refuse(Moment at, Request& request, Reason reason, microseconds wait)
{
    if (const auto help = helpElsewhere(at, request, wait)) {
        passOn(at, request, *help);
        return;
    }
    conclude(at, request.number, notRun(reason, retryTime(wait)));
}

void RequestCore::Impl::giveUpQueued(Moment at, Request& request)
{
    const PoolState& state = pool(request.pool);
    const auto estimate = waitOf(at.now, request, state, shareOf(request.team), state.slots.usableSlots(at.now, m_mayDispatch));
    conclude(at, request.number, notRun(Reason::DeadlineCannotBeMet, retryTime(estimate.wait)));
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
    const auto run = m_runTimes.cautious(request.service, declaredRunTime(request.service));
    if (m_guards.deadlineAware && at.now + estimate.wait + run > request.deadline) {
        refuse(at, request, estimate.quotaBound ? Reason::QuotaExceeded : Reason::DeadlineCannotBeMet, estimate.wait);
        return;
    }
    if (state.queue.size() >= m_limits.queueFactor * slots) {
        const auto victim = state.queue.victimFor(request.rank);
        if (!victim) {
            refuse(at, request, Reason::QueueFull, estimate.wait);
            return;
        }
        conclude(at, *victim, notRun(Reason::QueueFull, retryTime(estimate.wait)));
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
    const auto cautious = m_runTimes.cautious(request.service, declared);
    request.state = RequestState::Queued;
    // From then on it would hardly end in time, so it is answered then and not at its deadline.
    setGiveUp(request, m_guards.deadlineAware ? std::max(request.arrived, request.deadline - cautious) : request.deadline);
    pool(request.pool).queue.push(request.number, request.team, request.rank, run, shareOf(request.team));
}

void RequestCore::Impl::pump(Moment at, const std::string& name)
{
    PoolState& state = pool(name);
    // A claim that is refused at once frees its slot inside this loop, which then goes on with it.
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
    if (m_guards.deadlineAware && request.giveUpAt < at.now) {
        giveUpQueued(at, request);
        return;
    }
    const PoolUpstream* upstream = state.slots.take(at.now, m_mayDispatch, request.tried, request.idempotent && request.tried.empty());
    if (!upstream) {
        enqueue(request);
        return;
    }
    state.queue.slotTaken(request.team);
    request.upstream = upstream->name;
    request.forwardedTo.clear();
    setGiveUp(request, request.deadline);
    if (needsClaim(request) && !request.claimed)
        beginClaim(at, request);
    else
        dispatch(at, request);
}

std::vector<Messages::PoolLoad> RequestCore::loads(Instant now) const
{
    std::vector<Messages::PoolLoad> loads;
    for (auto& [name, state] : m_impl->m_pools) {
        // Only the owner's queue says how long a pool's callers wait; others tell just the slots that they use.
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
