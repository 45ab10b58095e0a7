#include "Decision/Waves/WaveSelection.h"

#include <algorithm>
#include <iterator>
#include <tuple>

namespace Decision {

namespace {

    constexpr std::size_t maximumLoans = 3;

    bool allows(const PoolTally& tally, const std::string& rack, unsigned required)
    {
        return tally.afterWorstRackWithout(rack) >= required;
    }

    unsigned floorOf(const FleetView& view, const std::string& pool)
    {
        const auto it = view.loadFloors.find(pool);
        return it == view.loadFloors.end() ? 0 : it->second;
    }

    bool allows(const PoolStanding& standing, unsigned floor, const HostView& host)
    {
        return standing.tally.available() > floor && allows(standing.tally, host.rack, standing.required);
    }

    bool allowsAny(const PoolTally& tally, const std::vector<const HostView*>& hosts, unsigned required)
    {
        return std::any_of(hosts.begin(), hosts.end(), [&](const HostView* it) { return allows(tally, it->rack, required); });
    }

    /// The offer after which a host may go, else the one in the rack with the fewest hosts of the pool.
    std::size_t bestOffer(const PoolTally& tally, const std::vector<const HostView*>& offers, const std::vector<const HostView*>& waiting, unsigned required)
    {
        std::size_t best = 0;
        for (std::size_t i = 0; i < offers.size(); ++i) {
            PoolTally after = tally;
            after.add(offers[i]->rack);
            if (allowsAny(after, waiting, required))
                return i;
            if (tally.availableIn(offers[i]->rack) < tally.availableIn(offers[best]->rack))
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
            const auto& standing = availabilityByPool.at(host->pool);
            if (!allows(standing, floorOf(view, host->pool), *host))
                continue;
            const auto rackHosts = -static_cast<int>(standing.tally.availableIn(host->rack));
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
        // Taking from the fullest rack keeps the worst rack smallest.
        const auto rack = tally.fullestRack();
        if (rack.empty() || !allows(tally, rack, required))
            return atOnce;
        tally.remove(rack);
        ++atOnce;
    }
}

HostsByPool guestsByPool(const FleetView& view)
{
    HostsByPool guests;
    for (const auto& host : view.hosts) {
        if (host.homePool != host.pool)
            guests[host.pool].push_back(&host);
    }
    return guests;
}

std::vector<const HostView*> hostsOf(const HostsByPool& hosts, const std::string& pool)
{
    const auto it = hosts.find(pool);
    return it == hosts.end() ? std::vector<const HostView*> {} : it->second;
}

bool suffices(const PoolStanding& standing)
{
    return safeConcurrency(standing.atHome, standing.required) > 0;
}

std::vector<MoveHost> findLoans(const std::string& pool, const PoolStanding& standing, const std::vector<const HostView*>& waiting,
    const std::vector<const HostView*>& guests, const std::vector<const HostView*>& free)
{
    const auto required = standing.required;
    auto tally = standing.own;
    auto offers = guests;
    std::vector<const HostView*> lent;
    while (!allowsAny(tally, waiting, required) && lent.size() < maximumLoans) {
        if (lent.size() == guests.size())
            std::copy_if(free.begin(), free.end(), std::back_inserter(offers), [&](const HostView* it) { return it->pool != pool; });
        if (offers.empty())
            return {};
        const auto best = bestOffer(tally, offers, waiting, required);
        tally.add(offers[best]->rack);
        lent.push_back(offers[best]);
        offers.erase(offers.begin() + static_cast<std::ptrdiff_t>(best));
    }
    if (!allowsAny(tally, waiting, required))
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
    const auto tally = PoolStanding::countAll(view, {}, {}, {})["pool"].tally;
    FleetForecast forecast;
    forecast.atOnce = safeConcurrency(tally, requiredHosts(shape.hosts, shape.minimumAvailablePercent));
    if (forecast.atOnce)
        forecast.length = shape.cycle * ((shape.hosts + forecast.atOnce - 1) / forecast.atOnce);
    return forecast;
}

} // namespace Decision
