#include "Jobs/Fleet/MovePlanner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Jobs {

namespace {

    constexpr double headroom = 1.15; ///< Ratio of capacity to demand: tasks of many sizes don't fill a machine completely.
    constexpr milliseconds planTimeout { 1500 }; ///< A plan whose machine hasn't become empty within this time is dropped.
    constexpr milliseconds arrivalMargin { 1200 }; ///< Time for a moved machine's worker to register.
    constexpr milliseconds forecastLead { 500 }; ///< Moves for an expected peak start earlier by the time of a move and this.
    constexpr milliseconds forecastTail { 1200 }; ///< An expected peak that is overdue by more than this is no longer prepared for.
    constexpr milliseconds idleBeforeOff { 2500 }; ///< Moving a machine out and back costs as much as keeping it on for this long.
    constexpr double shortageThreshold = 0.35; ///< Number of missing machines above which a pool is short.

} // namespace

MovePlanner::MovePlanner(milliseconds moveTime)
    : m_moveTime(moveTime)
{
}

void MovePlanner::plan(const std::map<std::string, PoolView>& pools, const std::map<std::string, MachineView>& machines, const std::set<std::string>& excluded, Instant now)
{
    for (const auto& [name, pool] : pools) {
        if (!pool.isStandby && pool.hasReported)
            m_forecast.observe(name, static_cast<double>(pool.load.waitingMilliCores + pool.load.busyMilliCores - std::min(pool.load.busyMilliCores, pool.load.lastingMilliCores)), now);
    }
    removeExpiredPlans(machines, now);
    auto needs = computeNeeds(pools, machines, excluded, now);
    planTransfers(needs, pools, now);
    planSwitchOffs(needs, pools, now);
}

void MovePlanner::removeExpiredPlans(const std::map<std::string, MachineView>& machines, Instant now)
{
    std::erase_if(m_plans, [&](const auto& it) {
        const auto& plan = it.second;
        if (plan.arrivesAt != Instant()) {
            const auto machine = machines.find(it.first);
            const bool hasArrived = machine != machines.end() && machine->second.machine.pool == plan.pool && machine->second.load;
            return hasArrived || now > plan.arrivesAt + arrivalMargin;
        }
        return !plan.isOrdered && now - plan.plannedAt > planTimeout;
    });
}

std::map<std::string, MovePlanner::Need> MovePlanner::computeNeeds(const std::map<std::string, PoolView>& pools, const std::map<std::string, MachineView>& machines, const std::set<std::string>& excluded, Instant now)
{
    std::map<std::string, Need> result;
    double coresEach = 0;
    unsigned counted = 0;
    for (const auto& [name, view] : machines) {
        coresEach += static_cast<double>(view.machine.capacity.milliCores);
        ++counted;
        const auto plan = m_plans.find(name);
        auto& need = result[plan == m_plans.end() ? view.machine.pool : plan->second.pool];
        if (view.machine.state == Machine::State::Up || view.machine.state == Machine::State::Moving)
            ++need.present;
        const bool isIdle = view.machine.state == Machine::State::Up && plan == m_plans.end() && !excluded.contains(name) && (view.isOff || (view.load && view.load->runs == 0));
        if (!isIdle) {
            m_idleSince.erase(name);
            continue;
        }
        m_idleSince.emplace(name, now);
        need.idle.push_back(name);
    }
    coresEach = counted > 0 ? std::max(1.0, coresEach / counted) : 1.0;
    const auto expected = m_forecast.next(now);
    for (const auto& [name, pool] : pools) {
        if (pool.isStandby)
            continue;
        const auto& load = pool.load;
        auto cores = static_cast<double>(load.waitingMilliCores - std::min(load.waitingMilliCores, load.lateMilliCores) + load.busyMilliCores);
        const bool isExpected = expected && expected->pool == name && now >= expected->startsAt - m_moveTime - forecastLead && now <= expected->startsAt + forecastTail;
        if (isExpected)
            cores = std::max(cores, expected->milliCores + static_cast<double>(load.lastingMilliCores));
        result[name].machines = std::max(1.0, cores * headroom / coresEach);
    }
    return result;
}

/// Plans transfers to pools that are short of machines, the one that lacks most first. Idle machines come from the pools with the
/// largest surplus, then from standby pools.
void MovePlanner::planTransfers(std::map<std::string, Need>& needs, const std::map<std::string, PoolView>& pools, Instant now)
{
    const auto shortageOf = [](const Need& it) { return it.machines - it.present; };
    for (;;) {
        Need* neediest = nullptr;
        std::string target;
        Need* donor = nullptr;
        bool isDonorOff = false;
        for (auto& [name, need] : needs) {
            const auto pool = pools.find(name);
            if (pool == pools.end())
                continue;
            if (!pool->second.isStandby && pool->second.hasReported && shortageOf(need) > shortageThreshold && (!neediest || shortageOf(need) > shortageOf(*neediest))) {
                neediest = &need;
                target = name;
            }
        }
        if (!neediest)
            return;
        for (auto& [name, need] : needs) {
            const auto pool = pools.find(name);
            if (pool == pools.end() || need.idle.empty() || name == target)
                continue;
            const bool isOff = pool->second.isStandby;
            const bool canSpareMachine = isOff || shortageOf(need) <= -1;
            const bool isBetter = !donor || (isDonorOff && !isOff) || (isDonorOff == isOff && shortageOf(need) < shortageOf(*donor));
            if (canSpareMachine && isBetter) {
                donor = &need;
                isDonorOff = isOff;
            }
        }
        if (!donor)
            return;
        m_plans[donor->idle.back()] = { target, now, false, {} };
        donor->idle.pop_back();
        --donor->present;
        ++neediest->present;
    }
}

/// Plans to switch off surplus machines that have been idle for a while and aren't needed for a peak.
void MovePlanner::planSwitchOffs(std::map<std::string, Need>& needs, const std::map<std::string, PoolView>& pools, Instant now)
{
    const auto standby = std::ranges::find_if(pools, [](const auto& it) { return it.second.isStandby; });
    // The first samples show only a part of a peak; idle machines are kept as a reserve until its size is known.
    if (standby == pools.end() || !m_forecast.next(now) || now - m_forecast.newestStart() < idleBeforeOff)
        return;
    for (auto& [name, need] : needs) {
        const auto pool = pools.find(name);
        if (pool == pools.end() || pool->second.isStandby || !pool->second.hasReported || m_forecast.isPeaking(name))
            continue;
        while (!need.idle.empty() && need.present - need.machines >= 1) {
            const auto machine = need.idle.back();
            need.idle.pop_back();
            if (now - m_idleSince[machine] < idleBeforeOff)
                continue;
            m_plans[machine] = { standby->first, now, false, {} };
            --need.present;
        }
    }
}

std::set<std::string> MovePlanner::cordon() const
{
    std::set<std::string> machines;
    for (const auto& [machine, plan] : m_plans) {
        if (plan.arrivesAt == Instant())
            machines.insert(machine);
    }
    return machines;
}

std::vector<MachineMove> MovePlanner::readyMoves(const std::map<std::string, MachineView>& machines) const
{
    std::vector<MachineMove> ready;
    for (const auto& [machine, plan] : m_plans) {
        const auto it = machines.find(machine);
        if (plan.isOrdered || it == machines.end() || it->second.machine.state != Machine::State::Up)
            continue;
        const auto& load = it->second.load;
        if (it->second.isOff || (load && load->isCordoned && load->runs == 0))
            ready.push_back({ machine, plan.pool });
    }
    return ready;
}

void MovePlanner::markOrdered(const std::string& machine, Instant)
{
    m_plans[machine].isOrdered = true;
}

void MovePlanner::cancelUnsent()
{
    std::erase_if(m_plans, [](const auto& it) { return !it.second.isOrdered; });
}

void MovePlanner::onOrderAnswer(const std::string& machine, bool isDone, Instant now)
{
    const auto it = m_plans.find(machine);
    if (it == m_plans.end())
        return;
    if (isDone)
        it->second.arrivesAt = now + m_moveTime;
    else
        m_plans.erase(it);
}

} // namespace Jobs
