#include "Decision/Moves/MovePlan.h"

#include <algorithm>
#include <tuple>

namespace Decision {

namespace {

    bool countsAsPresent(const HostView& host)
    {
        return host.serving && host.health != HostHealth::Down;
    }

    const PoolTarget* findTarget(const std::vector<PoolTarget>& targets, const std::string& pool)
    {
        const auto it = std::find_if(targets.begin(), targets.end(), [&](const PoolTarget& target) { return target.pool == pool; });
        return it == targets.end() ? nullptr : &*it;
    }

} // namespace

MovePlan MovePlan::create(const MoveInput& input)
{
    return MovePlan(input);
}

MovePlan::MovePlan(const MoveInput& input)
    : m_input(input)
    , m_reserved(input.ledger.reservedHosts())
{
    for (const auto& it : input.inFlight) {
        m_moving.insert(it.upstream);
        ++m_present[it.to];
    }
    for (const auto& it : input.loans)
        m_loaned.insert(it.upstream);
    for (const auto& host : input.view.hosts) {
        if (countsAsPresent(host) && !m_moving.contains(host.name))
            ++m_present[host.pool];
    }
    for (const auto& [pool, availability] : input.ledger.availabilityByPool(input.view)) {
        m_tallies.emplace(pool, availability.tally);
        m_required[pool] = availability.required;
    }
}

unsigned MovePlan::presentHosts(const std::string& pool) const
{
    const auto it = m_present.find(pool);
    return it == m_present.end() ? 0 : it->second;
}

bool MovePlan::isMovable(const HostView& host) const
{
    const bool free = !m_reserved.contains(host.name) && !m_moving.contains(host.name);
    return free && !host.pinned && host.serving && host.health == HostHealth::Up;
}

bool MovePlan::mayLeave(const HostView& host) const
{
    return m_tallies.at(host.pool).afterWorstRackWithout(host.rack) >= m_required.at(host.pool);
}

void MovePlan::move(const HostView& host, const std::string& to)
{
    m_moves.push_back({ host.name, host.pool, to });
    m_moving.insert(host.name);
    m_tallies.at(host.pool).remove(host.rack);
    --m_present[host.pool];
    ++m_present[to];
}

void MovePlan::applyLoans()
{
    for (const auto& loan : m_input.loans) {
        const auto* host = m_input.view.find(loan.upstream);
        if (host && host->pool != loan.to && isMovable(*host) && mayLeave(*host))
            move(*host, loan.to);
    }
}

/// Prefers hosts of pools with a surplus to hosts of spare pools, then the least busy ones; hosts that a wave has yet to reboot
/// come last.
const HostView* MovePlan::bestDonor(const std::string& to, const std::vector<PoolTarget>& targets) const
{
    const HostView* best = nullptr;
    auto bestRank = std::make_tuple(true, true, 0U);
    for (const auto& host : m_input.view.hosts) {
        const auto* target = findTarget(targets, host.pool);
        if (!target || host.pool == to || m_loaned.contains(host.name) || !isMovable(host) || !mayLeave(host))
            continue;
        if (presentHosts(host.pool) <= target->needed)
            continue;
        const auto rank = std::make_tuple(m_input.rebootDue.contains(host.name), target->spare, host.busySlots);
        if (best && rank >= bestRank)
            continue;
        best = &host;
        bestRank = rank;
    }
    return best;
}

void MovePlan::fillShortage(const PoolTarget& target, const std::vector<PoolTarget>& targets)
{
    while (presentHosts(target.pool) < target.needed) {
        const auto* host = bestDonor(target.pool, targets);
        if (!host)
            return;
        move(*host, target.pool);
    }
}

/// Prefers hosts from other pools to the pool's own hosts, then hosts without a pending reboot: a host that a wave is about to
/// reboot stays idle for it.
const HostView* MovePlan::bestHostToReturn(const PoolTarget& target) const
{
    const HostView* best = nullptr;
    auto bestRank = std::make_tuple(true, true, 0U);
    for (const auto& host : m_input.view.hosts) {
        if (host.pool != target.pool || m_loaned.contains(host.name) || !isMovable(host) || !mayLeave(host))
            continue;
        const auto rank = std::make_tuple(host.homePool == host.pool, m_input.rebootDue.contains(host.name), host.busySlots);
        if (best && rank >= bestRank)
            continue;
        best = &host;
        bestRank = rank;
    }
    return best;
}

/// A host from another pool returns to its home pool, unless that pool already has enough hosts. Then, like any other surplus
/// host, it moves to a spare pool. Empty if there is none.
std::string MovePlan::returnPool(const HostView& host, const std::vector<PoolTarget>& targets) const
{
    const auto* home = findTarget(targets, host.homePool);
    if (home && host.homePool != host.pool && (home->spare || presentHosts(home->pool) < home->held))
        return host.homePool;
    for (const auto& target : targets) {
        if (target.spare && target.pool != host.pool)
            return target.pool;
    }
    return {};
}

void MovePlan::returnSurplus(const PoolTarget& target, const std::vector<PoolTarget>& targets)
{
    while (presentHosts(target.pool) > target.held) {
        const auto* host = bestHostToReturn(target);
        if (!host)
            return;
        const auto to = returnPool(*host, targets);
        if (to.empty())
            return;
        move(*host, to);
    }
}

std::vector<MoveHost> MovePlan::build(const std::vector<PoolTarget>& targets)
{
    applyLoans();
    auto byShortage = targets;
    const auto shortage = [&](const PoolTarget& it) { return static_cast<int>(it.needed) - static_cast<int>(presentHosts(it.pool)); };
    std::stable_sort(byShortage.begin(), byShortage.end(), [&](const auto& a, const auto& b) { return shortage(a) > shortage(b); });
    for (const auto& target : byShortage) {
        if (!target.spare)
            fillShortage(target, targets);
    }
    for (const auto& target : targets) {
        if (!target.spare)
            returnSurplus(target, targets);
    }
    return std::move(m_moves);
}

} // namespace Decision
