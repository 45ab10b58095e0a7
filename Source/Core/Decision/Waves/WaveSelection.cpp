#include "Decision/Waves/WaveSelection.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace Decision {

namespace {

    constexpr std::size_t maximumLoans = 3; // per pool

    bool allowsDisruption(const PoolTally& tally, const std::string& rack, unsigned required)
    {
        return tally.afterWorstRackWithout(rack) >= required;
    }

    unsigned floorOf(const FleetView& view, const std::string& pool)
    {
        const auto it = view.loadFloors.find(pool);
        return it == view.loadFloors.end() ? 0 : it->second;
    }

    bool allowsDisruption(const PoolAvailability& availability, unsigned floor, const HostView& host)
    {
        return availability.tally.available() > floor && allowsDisruption(availability.tally, host.rack, availability.required);
    }

    bool allowsAnyDisruption(const PoolTally& tally, const std::vector<const HostView*>& hosts, unsigned required)
    {
        return std::any_of(hosts.begin(), hosts.end(), [&](const HostView* it) { return allowsDisruption(tally, it->rack, required); });
    }

    /// Index of the first host whose loan lets the pool spare one of `waiting`, else of the one in the rack with the fewest
    /// available hosts of the pool.
    std::size_t bestToLend(const PoolTally& tally, const std::vector<const HostView*>& lendable, const std::vector<const HostView*>& waiting, unsigned required)
    {
        std::size_t best = 0;
        for (std::size_t i = 0; i < lendable.size(); ++i) {
            PoolTally after = tally;
            after.add(lendable[i]->rack);
            if (allowsAnyDisruption(after, waiting, required))
                return i;
            if (tally.availableIn(lendable[i]->rack) < tally.availableIn(lendable[best]->rack))
                best = i;
        }
        return best;
    }

} // namespace

std::vector<const HostView*> selectHosts(const FleetView& view, const BudgetLedger& ledger, std::vector<const HostView*> candidates, std::size_t limit)
{
    std::erase_if(candidates, [](const HostView* it) { return !it->serving || it->health != HostHealth::Up; });
    auto availabilityByPool = ledger.availabilityByPool(view);
    std::vector<const HostView*> selected;
    while (selected.size() < limit) {
        const HostView* best = nullptr;
        auto bestRank = std::make_tuple(0, true, 0U);
        for (const auto* host : candidates) {
            const auto& availability = availabilityByPool.at(host->pool);
            if (!allowsDisruption(availability, floorOf(view, host->pool), *host))
                continue;
            const auto rackHosts = -static_cast<int>(availability.tally.availableIn(host->rack));
            const auto rank = std::make_tuple(rackHosts, !host->knownIdle, host->busySlots);
            if (best && rank >= bestRank)
                continue;
            best = host;
            bestRank = rank;
        }
        if (!best)
            break;
        selected.push_back(best);
        availabilityByPool.at(best->pool).tally.remove(best->rack);
        std::erase(candidates, best);
    }
    return selected;
}

unsigned safeConcurrency(PoolTally tally, unsigned required)
{
    unsigned atOnce = 0;
    while (true) {
        // Removing hosts from the fullest rack minimizes the loss of hosts with the worst rack.
        const auto rack = tally.fullestRack();
        if (rack.empty() || !allowsDisruption(tally, rack, required))
            return atOnce;
        tally.remove(rack);
        ++atOnce;
    }
}

HostsByPool borrowedByPool(const FleetView& view)
{
    HostsByPool borrowed;
    for (const auto& host : view.hosts) {
        if (host.homePool != host.pool)
            borrowed[host.pool].push_back(&host);
    }
    return borrowed;
}

std::vector<const HostView*> hostsOf(const HostsByPool& hosts, const std::string& pool)
{
    const auto it = hosts.find(pool);
    return it == hosts.end() ? std::vector<const HostView*> {} : it->second;
}

bool canSpareOwnHost(const PoolAvailability& availability)
{
    return safeConcurrency(availability.ownUp, availability.required) > 0;
}

std::vector<MoveHost> findLoans(const std::string& pool, const PoolAvailability& availability, const std::vector<const HostView*>& waiting,
    const std::vector<const HostView*>& borrowed, const std::vector<const HostView*>& free)
{
    const auto required = availability.required;
    auto tally = availability.ownServing;
    auto lendable = borrowed;
    std::vector<const HostView*> lent;
    while (!allowsAnyDisruption(tally, waiting, required) && lent.size() < maximumLoans) {
        if (lent.size() == borrowed.size())
            std::copy_if(free.begin(), free.end(), std::back_inserter(lendable), [&](const HostView* it) { return it->pool != pool; });
        if (lendable.empty())
            return {};
        const auto best = bestToLend(tally, lendable, waiting, required);
        tally.add(lendable[best]->rack);
        lent.push_back(lendable[best]);
        lendable.erase(lendable.begin() + static_cast<std::ptrdiff_t>(best));
    }
    if (!allowsAnyDisruption(tally, waiting, required))
        return {};
    std::vector<MoveHost> loans;
    loans.reserve(lent.size());
    for (const auto* host : lent)
        loans.push_back({ host->name, host->pool, pool });
    return loans;
}

FleetForecast forecastFleet(const FleetShape& shape)
{
    FleetView view;
    for (unsigned i = 0; i < shape.hosts; ++i) {
        HostView host;
        host.homePool = host.pool = "pool";
        host.rack = "rack-" + std::to_string(i % std::max(1U, shape.racks));
        host.health = HostHealth::Up;
        host.serving = true;
        view.hosts.push_back(std::move(host));
    }
    const auto tally = PoolAvailability::countAll(view, {}, {}, {})["pool"].tally;
    FleetForecast forecast;
    forecast.atOnce = safeConcurrency(tally, requiredHosts(shape.hosts, shape.minimumAvailablePercent));
    if (forecast.atOnce)
        forecast.length = shape.cycle * ((shape.hosts + forecast.atOnce - 1) / forecast.atOnce);
    return forecast;
}

} // namespace Decision
