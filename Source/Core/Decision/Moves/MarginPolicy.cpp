#include "Decision/Moves/MarginPolicy.h"

#include "Decision/Moves/MovePlan.h"

#include <algorithm>
#include <cmath>

namespace Decision {

using Common::Instant;

namespace {

    double seconds(std::chrono::milliseconds time)
    {
        return std::chrono::duration<double>(time).count();
    }

    /// State kept for one pool.
    struct PoolState {
        LoadForecast forecast;
        RecentMaximum recentNeed;
        PoolMargin margin;
    };

} // namespace

struct MarginPolicy::Private {
    MarginSettings settings;
    std::map<std::string, PoolState> pools;

    PoolState& stateOf(const std::string& pool);
    unsigned neededHosts(const PoolDemand&, const PoolState&, unsigned present) const;
    void observe(Instant, const PoolDemand&, unsigned present);
    std::chrono::milliseconds keepTime() const;
    std::vector<PoolTarget> targets(const MoveInput&) const;
};

PoolState& MarginPolicy::Private::stateOf(const std::string& pool)
{
    return pools.try_emplace(pool, PoolState { LoadForecast(settings.forecast), {}, {} }).first->second;
}

/// Hosts that keep the queue within the tolerable wait by the time a move would complete.
unsigned MarginPolicy::Private::neededHosts(const PoolDemand& demand, const PoolState& poolState, unsigned present) const
{
    const double slots = demand.slotsPerHost;
    const double load = std::max(poolState.forecast.fastSlots(), demand.offeredSlots);
    const double steadyLoad = load * (poolState.forecast.isPeaking() ? settings.peakShare : settings.headroom);
    const double capacity = present * slots;
    const double backlog = demand.queuedSlotSeconds + std::max(0.0, load - capacity) * seconds(settings.moveTime);
    const bool worthMoving = backlog > capacity * seconds(settings.tolerableWait);
    const auto steady = static_cast<unsigned>(std::ceil(steadyLoad / slots));
    if (steady > present && !worthMoving)
        return std::max(present, demand.minimumHosts);
    const double excess = std::max(0.0, backlog - capacity * seconds(settings.tolerableWait));
    const double requiredSlots = steadyLoad + excess / seconds(settings.clearTime);
    return std::max(demand.minimumHosts, static_cast<unsigned>(std::ceil(requiredSlots / slots)));
}

void MarginPolicy::Private::observe(Instant now, const PoolDemand& demand, unsigned present)
{
    auto& poolState = stateOf(demand.pool);
    poolState.forecast.observe(now, demand.offeredSlots);
    poolState.margin.needed = neededHosts(demand, poolState, present);
    poolState.recentNeed.observe(now, poolState.margin.needed, keepTime());
    poolState.margin.held = poolState.recentNeed.value();
}

std::chrono::milliseconds MarginPolicy::Private::keepTime() const
{
    const double factor = settings.keepFactor * settings.moveCostWeight / settings.bufferCostWeight;
    return std::chrono::duration_cast<std::chrono::milliseconds>(settings.moveTime * factor);
}

std::vector<PoolTarget> MarginPolicy::Private::targets(const MoveInput& input) const
{
    std::vector<PoolTarget> targets;
    for (const auto& demand : input.demands) {
        const auto& margin = pools.at(demand.pool).margin;
        targets.push_back({ demand.pool, demand.spare, margin.needed, margin.held });
    }
    return targets;
}

Common::Result<std::unique_ptr<MarginPolicy>, MoveError> MarginPolicy::create(MarginSettings settings)
{
    const bool positive = settings.bufferCostWeight > 0 && settings.rollOutTimeWeight > 0 && settings.moveCostWeight > 0;
    if (!positive)
        return MoveError("bufferCostWeight, rollOutTimeWeight and moveCostWeight must be greater than zero");
    if (settings.moveTime <= settings.moveTime.zero())
        return MoveError("moveTime must be greater than zero");
    auto state = std::make_unique<Private>();
    state->settings = settings;
    return std::unique_ptr<MarginPolicy>(new MarginPolicy(std::move(state)));
}

MarginPolicy::MarginPolicy(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

MarginPolicy::~MarginPolicy() = default;

std::vector<MoveHost> MarginPolicy::decide(Instant now, const MoveInput& input)
{
    auto plan = MovePlan::create(input);
    for (const auto& demand : input.demands)
        m_private->observe(now, demand, plan.presentHosts(demand.pool));
    return plan.build(m_private->targets(input));
}

std::map<std::string, unsigned> MarginPolicy::loadFloors() const
{
    const auto& settings = m_private->settings;
    const bool rollOutFirst = settings.rollOutTimeWeight > settings.bufferCostWeight;
    std::map<std::string, unsigned> floors;
    for (const auto& [pool, poolState] : m_private->pools)
        floors[pool] = rollOutFirst ? poolState.margin.needed : poolState.margin.held;
    return floors;
}

std::map<std::string, PoolMargin> MarginPolicy::margins() const
{
    std::map<std::string, PoolMargin> margins;
    for (const auto& [pool, poolState] : m_private->pools)
        margins[pool] = poolState.margin;
    return margins;
}

std::chrono::milliseconds MarginPolicy::keepTime() const
{
    return m_private->keepTime();
}

} // namespace Decision
