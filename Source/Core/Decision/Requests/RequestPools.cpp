#include "Decision/Requests/IdempotencyKey.h"
#include "Decision/Requests/RequestCoreImpl.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace Decision {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds joinRetry { 1000 }; ///< When to ask again for a request that still runs.
    constexpr milliseconds noUpstreamRetry { 2000 };
    constexpr microseconds defaultRunTime { 100000 };
    constexpr unsigned spreadDivisor = 2; ///< Returning callers are spread over half as long again as the wait.

} // namespace

RequestCore::Impl::PoolState& RequestCore::Impl::pool(const std::string& name)
{
    const auto it = m_pools.find(name);
    if (it != m_pools.end())
        return it->second;
    return m_pools.emplace(std::piecewise_construct, std::forward_as_tuple(name), std::forward_as_tuple(name, m_limits, m_guards)).first->second;
}

microseconds RequestCore::Impl::declaredRunTime(const std::string& service) const
{
    const auto it = m_objects->services.find(service);
    return it == m_objects->services.end() ? defaultRunTime : microseconds(it->second.expectedRunTime);
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
    // Uniform over half as long again as the wait, so that callers refused together come back apart.
    const auto base = std::max<milliseconds>(m_limits.retryBase, std::chrono::duration_cast<milliseconds>(wait));
    std::uniform_int_distribution<milliseconds::rep> spread(0, base.count() / spreadDivisor);
    return std::min(m_limits.retryMaximum, base + milliseconds(spread(m_random)));
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
    const auto known = m_ledger.look(claimKeyOf(request), request.bodyHash, IdempotencyKey::parse(request.key)->issued);
    switch (known.verdict) {
    case Messages::ClaimVerdict::Finished:
        conclude(at, request.number, known.answer);
        return true;
    case Messages::ClaimVerdict::Running:
        conclude(at, request.number, unknown(Reason::OwnerLost, joinRetry));
        return true;
    case Messages::ClaimVerdict::OtherBody:
        conclude(at, request.number, notRun(Reason::KeyReusedWithOtherBody));
        return true;
    case Messages::ClaimVerdict::NotVouched:
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
        if (joinEarlier(at, request) || answeredByLedger(at, request))
            return;
        m_byKey[claimKeyOf(request)] = request.number;
    }
    admit(at, request);
}

RequestCore::Impl::WaitEstimate RequestCore::Impl::waitOf(Instant now, const Request& request, PoolState& state) const
{
    const unsigned slots = std::max(1u, state.slots.usableSlots(now, m_mayDispatch));
    const TeamShare share = shareOf(request.team);
    WaitEstimate estimate;
    if (state.slots.busy() >= slots || state.queue.size() > 0)
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

void RequestCore::Impl::admit(Moment at, Request& request)
{
    PoolState& state = pool(request.pool);
    const unsigned slots = state.slots.usableSlots(at.now, m_mayDispatch);
    if (slots == 0) {
        refuse(at, request, Reason::NoUpstream, noUpstreamRetry);
        return;
    }
    const auto estimate = waitOf(at.now, request, state);
    const auto run = m_runTimes.expected(request.service, declaredRunTime(request.service));
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
    enqueue(request);
    pump(at, request.pool);
}

void RequestCore::Impl::enqueue(Request& request)
{
    const auto run = m_runTimes.expected(request.service, declaredRunTime(request.service));
    request.state = RequestState::Queued;
    // From then on it couldn't end in time, so it is answered then and not at its deadline.
    setGiveUp(request, m_guards.deadlineAware ? std::max(request.arrived, request.deadline - run) : request.deadline);
    pool(request.pool).queue.push(request.number, request.team, request.rank, run, shareOf(request.team));
}

void RequestCore::Impl::pump(Moment at, const std::string& name)
{
    PoolState& state = pool(name);
    while (state.queue.size() > 0 && state.slots.hasFreeSlot(at.now, m_mayDispatch)) {
        const auto number = state.queue.pop();
        if (!number)
            return;
        if (Request* request = find(*number))
            startNext(at, state, *request);
    }
}

void RequestCore::Impl::startNext(Moment at, PoolState& state, Request& request)
{
    if (m_guards.deadlineAware && request.giveUpAt < at.now) {
        conclude(at, request.number, notRun(Reason::DeadlineCannotBeMet, m_limits.retryBase));
        return;
    }
    const PoolUpstream* upstream = state.slots.take(at.now, m_mayDispatch, request.tried);
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
