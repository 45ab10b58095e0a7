#include "Jobs/Fleet/MovePlanner.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <utility>

namespace Jobs {

namespace {

    constexpr double headroom = 1.15; ///< Ratio of capacity to demand: tasks of many sizes don't fill a machine completely.
    constexpr milliseconds planTimeout { 1500 }; ///< A plan whose machine hasn't become empty within this time is dropped.
    constexpr milliseconds arrivalMargin { 1200 }; ///< Time for a moved machine's worker to register.
    constexpr milliseconds registrationTime { 500 }; ///< Assumed after a move, until moves were measured.
    constexpr milliseconds forecastTail { 1200 }; ///< An expected peak that is overdue by more than this is no longer prepared for.
    constexpr int gapPerUncertainty = 10; ///< Ratio of the gap before an expected peak to its least uncertainty, as few peaks say little about the next one.
    constexpr milliseconds idleBeforeOff { 2500 }; ///< Moving a machine out and back costs as much as keeping it on for this long.
    constexpr milliseconds returnTime { 5000 }; ///< A machine that has been down for less is expected to return to its pool.
    constexpr double shortageThreshold = 0.35; ///< Number of missing machines above which a pool is short.

} // namespace

MovePlanner::MovePlanner(milliseconds moveTime)
    : m_moveTime(moveTime)
    , m_moveTimes(moveTime + registrationTime)
{
}

void MovePlanner::observe(const std::map<std::string, PoolView>& pools, Instant now)
{
    for (const auto& [name, pool] : pools) {
        if (!pool.isStandby && pool.hasReported)
            m_forecast.observe(name, static_cast<double>(pool.load.waitingMilliCores + pool.load.busyMilliCores - std::min(pool.load.busyMilliCores, pool.load.lastingMilliCores)), now);
    }
}

void MovePlanner::plan(const std::map<std::string, PoolView>& pools, const std::map<std::string, MachineView>& machines, const std::set<std::string>& excluded, Instant now)
{
    observe(pools, now);
    m_moveTimes.observe(machines, now);
    removeExpiredPlans(machines, now);
    auto needs = computeNeeds(pools, machines, excluded, now);
    for (const auto tier : demandTiers)
        planTransfers(needs, pools, tier, now);
    planSwitchOffs(needs, pools, now);
}

void MovePlanner::removeExpiredPlans(const std::map<std::string, MachineView>& machines, Instant now)
{
    std::erase_if(m_plans, [&](const auto& it) {
        const auto& plan = it.second;
        if (plan.arrivesAt != Instant()) {
            const auto machine = machines.find(it.first);
            const bool hasArrived = machine != machines.end() && machine->second.machine.pool == plan.pool && machine->second.machine.state == Machine::State::Up && (machine->second.isOff || machine->second.load);
            return hasArrived || now > plan.arrivesAt + arrivalMargin;
        }
        return !plan.isOrdered && now - plan.plannedAt > planTimeout;
    });
}

bool MovePlanner::KindNeed::isServedBy(const Machine& machine) const
{
    const auto has = [&machine](const std::string& label) { return label.empty() || std::ranges::find(machine.labels, label) != machine.labels.end(); };
    return has(demand.label) && has(demand.rack) && demand.need.fitsInto(machine.capacity);
}

bool MovePlanner::Need::canSpare(const Machine& machine, DemandTier tier, double least) const
{
    return shortage(tier) <= -1 && present >= least + 1 && std::ranges::all_of(kinds, [&](const auto& it) { return it.tier > tier || !it.isServedBy(machine) || it.shortage() <= -1; });
}

void MovePlanner::Need::count(const Machine& machine, int change)
{
    present += static_cast<unsigned>(change);
    for (auto& it : kinds)
        it.present += it.isServedBy(machine) ? static_cast<unsigned>(change) : 0;
}

bool MovePlanner::isAvailable(const std::string& name, const MachineView& view, const std::set<std::string>& excluded, Instant now)
{
    const auto state = view.machine.state;
    if (state == Machine::State::Down)
        return now - m_downSince.emplace(name, now).first->second <= returnTime;
    m_downSince.erase(name);
    const bool isVacated = excluded.contains(name) && view.load && view.load->isCordoned;
    return (state == Machine::State::Up || state == Machine::State::Moving) && !isVacated;
}

void MovePlanner::countMachines(std::map<std::string, Need>& needs, const Machines& machines, const std::set<std::string>& excluded, Instant now)
{
    for (const auto& listed : machines) {
        const auto& [name, view] = listed;
        const auto plan = m_plans.find(name);
        auto& need = needs[plan == m_plans.end() ? view.machine.pool : plan->second.pool];
        if (view.machine.state == Machine::State::Up || view.machine.state == Machine::State::Moving)
            ++need.present;
        need.busy += plan == m_plans.end() && view.load && view.load->runs > 0 ? 1 : 0;
        const bool counts = isAvailable(name, view, excluded, now);
        if (counts && need.countsReturning && view.machine.state == Machine::State::Down)
            ++need.returning;
        for (auto& it : need.kinds)
            it.present += counts && it.isServedBy(view.machine) ? 1 : 0;
        const bool isBusy = view.machine.state == Machine::State::Up && plan == m_plans.end() && !excluded.contains(name) && view.load && view.load->runs > 0;
        if (isBusy && need.countsReturning && view.load->lastingRuns == 0)
            need.held.push_back(&listed);
        const bool isIdle = view.machine.state == Machine::State::Up && plan == m_plans.end() && !excluded.contains(name) && (view.isOff || (view.load && view.load->runs == 0));
        if (!isIdle) {
            m_idleSince.erase(name);
            continue;
        }
        m_idleSince.emplace(name, now);
        need.idle.push_back(&listed);
    }
    for (auto& [name, need] : needs)
        std::ranges::sort(need.held, std::greater(), [](const auto* it) { return it->second.load->runs; });
}

double MovePlanner::MachineMeasure::machinesFor(double demandedMilliCores, double demandedMemoryMb) const
{
    return std::max(demandedMilliCores * headroom / milliCores, memoryMb < 1 ? 0 : demandedMemoryMb * headroom / memoryMb);
}

void MovePlanner::addKinds(Need& need, const std::vector<WorkerDemand>& demands, DemandTier tier, const MachineMeasure& measure)
{
    for (const auto& it : demands)
        need.kinds.push_back({ it, std::max(static_cast<double>(it.workers), measure.machinesFor(static_cast<double>(it.milliCores), static_cast<double>(it.memoryMb))), 0, tier });
}

std::map<std::string, MovePlanner::Need> MovePlanner::computeNeeds(const std::map<std::string, PoolView>& pools, const std::map<std::string, MachineView>& machines, const std::set<std::string>& excluded, Instant now)
{
    std::map<std::string, Need> result;
    Resources total;
    for (const auto& [name, view] : machines)
        total += view.machine.capacity;
    const auto count = static_cast<double>(std::max<std::size_t>(1, machines.size()));
    const MachineMeasure measure { std::max(1.0, static_cast<double>(total.milliCores) / count), static_cast<double>(total.memoryMb) / count };
    const auto expected = peakWithin(idleBeforeOff, now);
    const auto due = peakWithin(milliseconds(0), now);
    for (const auto& [name, pool] : pools) {
        if (pool.isStandby)
            continue;
        const auto& load = pool.load;
        const auto needed = [&](std::uint64_t milliCores, std::uint64_t memoryMb) {
            return std::max(1.0, measure.machinesFor(static_cast<double>(milliCores), static_cast<double>(memoryMb)));
        };
        const auto later = load.late.milliCores + load.bounded.milliCores;
        const auto inTime = load.waitingMilliCores - std::min(load.waitingMilliCores, later) + load.busyMilliCores;
        const auto lateMemory = load.demandedMemoryMb + load.late.memoryMb;
        auto& need = result[name];
        need.countsReturning = load.bounded.milliCores > 0;
        need.waitsInTime = load.waitingMilliCores > later;
        const auto accepted = needed(inTime + load.late.milliCores, lateMemory);
        const auto peak = expected && expected->pool == name ? measure.machinesFor(expected->milliCores + static_cast<double>(load.lastingMilliCores), 0) : 0;
        if (pool.hasReported)
            m_trend.observe(name, accepted, now);
        const auto rising = accepted + m_trend.riseWithin(m_moveTimes.usual(), name);
        const auto withPeak = due ? std::max(rising, peak) : rising;
        need.forPeak = std::max(peak, accepted + m_trend.highestRiseWithin(m_moveTimes.usual() + idleBeforeOff, name));
        need.machines = { needed(inTime, load.demandedMemoryMb), accepted, withPeak, std::max(withPeak, needed(inTime + later, lateMemory + load.bounded.memoryMb)) };
        addKinds(need, load.demands, DemandTier::InTime, measure);
        addKinds(need, load.late.workers, DemandTier::Late, measure);
        addKinds(need, load.bounded.workers, DemandTier::Bounded, measure);
    }
    countMachines(result, machines, excluded, now);
    for (auto& [name, need] : result) {
        if (const auto pool = pools.find(name); pool == pools.end() || pool->second.isStandby || !pool->second.hasReported)
            continue;
        m_reserve.observe(name, need.present, need.busy, now);
        need.reserve = m_reserve.of(name, machines.size());
    }
    return result;
}

std::optional<ExpectedPeak> MovePlanner::peakWithin(milliseconds notice, Instant now) const
{
    auto peak = m_forecast.next(now);
    if (!peak)
        return std::nullopt;
    const auto uncertainty = std::max<std::chrono::microseconds>(peak->uncertainty, (peak->startsAt - m_forecast.newestStart()) / gapPerUncertainty);
    if (now < peak->startsAt - uncertainty - m_moveTimes.usual() - notice || now > peak->startsAt + uncertainty + forecastTail)
        return std::nullopt;
    return peak;
}

/// Machines that can't be had for another pool's need may go elsewhere.
bool MovePlanner::isOtherShort(const std::map<std::string, Need>& needs, const std::map<std::string, PoolView>& pools, const std::string& pool)
{
    return std::ranges::any_of(needs, [&](const auto& it) {
        const auto& [name, need] = it;
        const auto view = pools.find(name);
        if (name == pool || view == pools.end() || !view->second.hasReported)
            return false;
        const auto isShort = [](const auto& kind) { return kind.tier != DemandTier::Bounded && !kind.isUnmet && kind.shortage() > shortageThreshold; };
        return (!need.isUnmet && need.lack(DemandTier::Expected) > shortageThreshold) || std::ranges::any_of(need.kinds, isShort);
    });
}

/// The largest shortage, without those that no idle machine can serve.
MovePlanner::Shortage MovePlanner::largestShortage(std::map<std::string, Need>& needs, const std::map<std::string, PoolView>& pools, DemandTier tier)
{
    Shortage largest;
    largest.machines = shortageThreshold;
    for (auto& [name, need] : needs) {
        const auto pool = pools.find(name);
        if (pool == pools.end() || pool->second.isStandby || !pool->second.hasReported)
            continue;
        // Machines that may crash go to no pool while another one waits for them.
        if (tier == DemandTier::Bounded && isOtherShort(needs, pools, name))
            continue;
        if (!need.isUnmet && need.lack(tier) > largest.machines)
            largest = { &need, nullptr, name, need.lack(tier), tier };
        for (auto& it : need.kinds) {
            if (!it.isUnmet && it.tier <= tier && it.shortage() > largest.machines)
                largest = { &need, &it, name, it.shortage(), tier };
        }
    }
    return largest;
}

/// The idle machine that serves the need, of the pool with the largest surplus, then of a standby pool.
MovePlanner::IdleMachine MovePlanner::chooseDonor(std::map<std::string, Need>& needs, const Shortage& shortage, const std::map<std::string, PoolView>& pools)
{
    IdleMachine donor;
    const bool takesReserve = shortage.kind || (shortage.tier == DemandTier::InTime && shortage.need->waitsInTime);
    for (auto& [name, need] : needs) {
        const auto pool = pools.find(name);
        if (pool == pools.end() || name == shortage.pool)
            continue;
        const bool isOff = pool->second.isStandby;
        const bool isBetter = !donor.need || (donor.isOff && !isOff) || (donor.isOff == isOff && need.shortage(shortage.tier) < donor.need->shortage(shortage.tier));
        if (!isBetter)
            continue;
        for (auto index = need.idle.size(); index-- > 0;) {
            const auto& machine = need.idle[index]->second.machine;
            const bool isUseful = !shortage.kind || shortage.kind->isServedBy(machine);
            if (!isUseful || !(isOff || need.canSpare(machine, shortage.tier, takesReserve ? 0 : need.reserve)))
                continue;
            donor = { &need, index, isOff };
            break;
        }
    }
    return donor;
}

BoundedShare::Pools MovePlanner::sharesOf(const std::map<std::string, Need>& needs, const std::map<std::string, PoolView>& pools)
{
    BoundedShare::Pools shares;
    for (const auto& [name, need] : needs) {
        const auto pool = pools.find(name);
        const bool isServing = pool != pools.end() && !pool->second.isStandby;
        shares[name] = { static_cast<double>(need.present + need.returning), isServing ? need.machines.at(static_cast<std::size_t>(DemandTier::Late)) : 0 };
    }
    return shares;
}

bool MovePlanner::planReclaim(std::map<std::string, Need>& needs, const Shortage& shortage, const std::map<std::string, PoolView>& pools, Instant now)
{
    const auto shares = sharesOf(needs, pools);
    for (auto& [name, need] : needs) {
        if (name == shortage.pool || need.held.empty() || need.present + need.returning - 1 < BoundedShare::shareOf(name, shares))
            continue;
        const auto isUseful = [&](const auto* it) { return !shortage.kind || shortage.kind->isServedBy(it->second.machine); };
        const auto chosen = std::find_if(need.held.rbegin(), need.held.rend(), isUseful);
        if (chosen == need.held.rend())
            continue;
        const auto& [machine, view] = **chosen;
        m_plans[machine] = { shortage.pool, now, false, {} };
        need.held.erase(std::next(chosen).base());
        need.count(view.machine, -1);
        shortage.need->count(view.machine, 1);
        return true;
    }
    return false;
}

/// Plans transfers to pools that are short of machines for work up to the tier, the one that lacks most first. Idle machines come from
/// the pools with the largest surplus, then from standby pools.
void MovePlanner::planTransfers(std::map<std::string, Need>& needs, const std::map<std::string, PoolView>& pools, DemandTier tier, Instant now)
{
    for (;;) {
        const auto shortage = largestShortage(needs, pools, tier);
        if (!shortage.need)
            return;
        const auto donor = chooseDonor(needs, shortage, pools);
        if (!donor.need && tier < DemandTier::Expected && planReclaim(needs, shortage, pools, now))
            continue;
        if (!donor.need) {
            (shortage.kind ? shortage.kind->isUnmet : shortage.need->isUnmet) = true;
            continue;
        }
        const auto& [name, view] = *donor.need->idle[donor.index];
        m_plans[name] = { shortage.pool, now, false, {} };
        donor.need->idle.erase(donor.need->idle.begin() + static_cast<std::ptrdiff_t>(donor.index));
        donor.need->count(view.machine, -1);
        shortage.need->count(view.machine, 1);
    }
}

/// Plans to switch off surplus machines that have been idle for a while and aren't needed for a peak, now or soon.
void MovePlanner::planSwitchOffs(std::map<std::string, Need>& needs, const std::map<std::string, PoolView>& pools, Instant now)
{
    const auto standby = std::ranges::find_if(pools, [](const auto& it) { return it.second.isStandby; });
    // The first samples show only a part of a peak; idle machines are kept as a reserve until its size is known.
    if (standby == pools.end() || !m_forecast.next(now) || now - m_forecast.newestDetection() < idleBeforeOff)
        return;
    double kept = 0;
    for (const auto& [name, need] : needs)
        kept += std::max(0.0, need.forPeak - need.machines.back());
    for (auto& [name, need] : needs) {
        const auto pool = pools.find(name);
        if (pool == pools.end() || pool->second.isStandby || !pool->second.hasReported || m_forecast.isPeaking(name))
            continue;
        for (; !need.idle.empty(); need.idle.pop_back()) {
            const auto& [idle, view] = *need.idle.back();
            if (!need.canSpare(view.machine, demandTiers.back(), need.reserve))
                continue;
            const bool isKept = kept > 0;
            kept -= isKept ? 1 : 0;
            if (!isKept && now - m_idleSince[idle] < idleBeforeOff)
                continue;
            need.count(view.machine, -1);
            if (!isKept)
                m_plans[idle] = { standby->first, now, false, {} };
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

void MovePlanner::markOrdered(const std::string& machine, Instant now)
{
    auto& plan = m_plans[machine];
    plan.isOrdered = true;
    m_moveTimes.onOrdered(machine, plan.pool, now);
}

void MovePlanner::cancelUnsent()
{
    std::erase_if(m_plans, [](const auto& it) { return !it.second.isOrdered; });
    m_moveTimes.onPause();
    m_idleSince.clear();
}

void MovePlanner::onOrderAnswer(const std::string& machine, bool isDone, Instant now)
{
    if (!isDone)
        m_moveTimes.onFailed(machine);
    const auto it = m_plans.find(machine);
    if (it == m_plans.end())
        return;
    if (isDone)
        it->second.arrivesAt = now + m_moveTime;
    else
        m_plans.erase(it);
}

} // namespace Jobs
