#include "Decision/Waves/BudgetArithmetic.h"

#include <algorithm>

namespace Decision {

namespace {

    constexpr unsigned hundredPercent = 100;

    bool isAvailable(const HostView& host, const std::set<std::string>& reserved, const WaveGuards& guards)
    {
        if (reserved.contains(host.name))
            return false;
        if (!guards.excludeDownHosts)
            return true;
        return host.serving && host.health == HostHealth::Up;
    }

} // namespace

unsigned requiredHosts(unsigned publishedHosts, unsigned minimumAvailablePercent)
{
    return (publishedHosts * minimumAvailablePercent + hundredPercent - 1) / hundredPercent;
}

unsigned PoolTally::afterWorstRack() const
{
    if (!m_toleratesRackLoss)
        return m_available;
    unsigned worst = 0;
    for (const auto& [rack, hosts] : m_byRack)
        worst = std::max(worst, hosts);
    return m_available - worst;
}

unsigned PoolTally::afterWorstRackWithout(const std::string& rack) const
{
    const auto it = m_byRack.find(rack);
    if (it == m_byRack.end() || !it->second)
        return afterWorstRack();
    if (!m_toleratesRackLoss)
        return m_available - 1;
    unsigned worst = it->second - 1;
    for (const auto& [name, hosts] : m_byRack) {
        if (name != rack)
            worst = std::max(worst, hosts);
    }
    return m_available - 1 - worst;
}

unsigned PoolTally::availableIn(const std::string& rack) const
{
    const auto it = m_byRack.find(rack);
    return it == m_byRack.end() ? 0 : it->second;
}

std::string PoolTally::fullestRack() const
{
    std::string fullest;
    unsigned most = 0;
    for (const auto& [rack, hosts] : m_byRack) {
        if (hosts <= most)
            continue;
        most = hosts;
        fullest = rack;
    }
    return fullest;
}

void PoolTally::add(const std::string& rack)
{
    ++m_available;
    ++m_byRack[rack];
}

void PoolTally::remove(const std::string& rack)
{
    const auto it = m_byRack.find(rack);
    if (it == m_byRack.end() || !it->second)
        return;
    --it->second;
    --m_available;
}

PoolAvailability PoolAvailability::create(const WaveGuards& guards)
{
    PoolAvailability availability;
    availability.tally.m_toleratesRackLoss = availability.ownServing.m_toleratesRackLoss = availability.ownUp.m_toleratesRackLoss = guards.tolerateRackLoss;
    return availability;
}

AvailabilityByPool PoolAvailability::countAll(
    const FleetView& view, const std::set<std::string>& reserved, const std::vector<ServiceBudget>& budgets, const WaveGuards& guards)
{
    AvailabilityByPool availabilityByPool;
    const auto availabilityOf = [&](const std::string& pool) -> PoolAvailability& {
        const auto it = availabilityByPool.find(pool);
        return it != availabilityByPool.end() ? it->second : availabilityByPool.emplace(pool, create(guards)).first->second;
    };
    for (const auto& host : view.hosts) {
        auto& home = availabilityOf(host.homePool);
        ++home.tally.m_published;
        if (host.health == HostHealth::Up)
            home.ownUp.add(host.rack);
        auto& serves = host.pool == host.homePool ? home : availabilityOf(host.pool);
        if (!isAvailable(host, reserved, guards))
            continue;
        serves.tally.add(host.rack);
        if (&serves == &home)
            serves.ownServing.add(host.rack);
    }
    for (auto& [pool, availability] : availabilityByPool)
        availability.required = requiredOfPool(pool, availability.tally.published(), budgets);
    return availabilityByPool;
}

unsigned requiredOfPool(const std::string& pool, unsigned publishedHosts, const std::vector<ServiceBudget>& budgets)
{
    unsigned required = 0;
    for (const auto& budget : budgets) {
        if (budget.pool == pool)
            required = std::max(required, requiredHosts(publishedHosts, budget.minimumAvailablePercent));
    }
    return required;
}

} // namespace Decision
