#include "Objects/Checks.h"
#include "Objects/FieldCodec.h"
#include "Objects/Fleet.h"

#include <algorithm>
#include <optional>
#include <string>

namespace Objects {

namespace {

    constexpr std::uint64_t percentOfWhole = 100;

    std::string describeHosts(const PoolPart& part)
    {
        return "pool " + part.pool + " has " + std::to_string(part.hosts) + (part.hosts == 1 ? " host in " : " hosts in ") + part.dataCentre;
    }

    bool mayCall(const Team& team, const Service& service)
    {
        return service.teams.empty() || std::find(service.teams.begin(), service.teams.end(), team.name) != service.teams.end();
    }

    bool covers(const Wave& wave, const std::string& dataCentre)
    {
        return wave.dataCentres.empty() || std::find(wave.dataCentres.begin(), wave.dataCentres.end(), dataCentre) != wave.dataCentres.end();
    }

    /// Parts that the wave covers. A pool that is listed twice counts once.
    std::vector<PoolPart> coveredParts(const Wave& wave, const Fleet& fleet)
    {
        std::vector<PoolPart> covered;
        for (auto it = wave.pools.begin(); it != wave.pools.end(); ++it) {
            if (std::find(wave.pools.begin(), it, *it) != it)
                continue;
            for (auto& part : fleet.partsOf(*it)) {
                if (covers(wave, part.dataCentre))
                    covered.push_back(std::move(part));
            }
        }
        return covered;
    }

    void checkHostCount(const PoolPart& part, std::string_view field, unsigned required, ErrorCollector& errors)
    {
        if (required > part.hosts)
            errors.addError(ObjectKind::Pool, part.pool, field, "exceeds the number of hosts: " + describeHosts(part), "at most " + std::to_string(part.hosts));
    }

    void checkPools(const ObjectSet& set, const Fleet& fleet, ErrorCollector& errors)
    {
        for (const auto& [name, pool] : set.pools) {
            for (const auto& part : fleet.partsOf(name)) {
                checkHostCount(part, "minimumHosts", pool.minimumHosts, errors);
                checkHostCount(part, "pinnedHosts", pool.pinnedHosts, errors);
            }
        }
    }

    void checkServices(const ObjectSet& set, const Fleet& fleet, ErrorCollector& errors)
    {
        for (const auto& [name, service] : set.services) {
            if (set.pools.contains(service.pool) && fleet.partsOf(service.pool).empty())
                errors.addError(ObjectKind::Service, name, "pool", "pool " + service.pool + " has no upstream", "a pool with upstreams");
        }
    }

    std::optional<PoolPart> smallestPartFor(const Team& team, const ObjectSet& set, const Fleet& fleet)
    {
        std::optional<PoolPart> smallest;
        for (const auto& [name, service] : set.services) {
            if (!mayCall(team, service))
                continue;
            for (const auto& part : fleet.partsOf(service.pool)) {
                if (!smallest || part.slots < smallest->slots)
                    smallest = part;
            }
        }
        return smallest;
    }

    void checkTeams(const ObjectSet& set, const Fleet& fleet, ErrorCollector& errors)
    {
        for (const auto& [name, team] : set.teams) {
            const auto smallest = smallestPartFor(team, set, fleet);
            if (!smallest || team.slotQuota <= smallest->slots)
                continue;
            const auto slots = std::to_string(smallest->slots);
            errors.addError(ObjectKind::Team, name, "slotQuota", "above the capacity of a pool it may call: pool " + smallest->pool + " has " + slots + " slots in " + smallest->dataCentre, "at most " + slots);
        }
    }

    /// Name of a wave that covers the part, if any.
    std::optional<std::string> waveCovering(const PoolPart& part, const ObjectSet& set)
    {
        for (const auto& [name, wave] : set.waves) {
            if (covers(wave, part.dataCentre) && std::find(wave.pools.begin(), wave.pools.end(), part.pool) != wave.pools.end())
                return name;
        }
        return std::nullopt;
    }

    void checkBudget(const Budget& budget, const PoolPart& part, const ObjectSet& set, ErrorCollector& errors)
    {
        constexpr std::string_view field = "minimumAvailablePercent";
        const auto needed = minimumAvailableHosts(part.hosts, budget.minimumAvailablePercent);
        if (!part.hosts && budget.minimumAvailablePercent) {
            errors.addError(ObjectKind::Budget, budget.name, field, "can't be met: " + describeHosts(part), "0, or a data centre with hosts of the pool");
            return;
        }
        const auto wave = waveCovering(part, set);
        if (!part.hosts || !wave || needed < part.hosts)
            return;
        const auto highest = (part.hosts - 1) * percentOfWhole / part.hosts;
        errors.addError(ObjectKind::Budget, budget.name, field, "leaves wave " + *wave + " no host to drain: " + describeHosts(part) + " and needs " + std::to_string(needed), "at most " + std::to_string(highest));
    }

    void checkBudgets(const ObjectSet& set, const Fleet& fleet, ErrorCollector& errors)
    {
        for (const auto& [name, budget] : set.budgets) {
            const auto service = set.services.find(budget.service);
            const auto domain = set.domains.find(budget.dataCentre);
            if (service == set.services.end() || !set.pools.contains(service->second.pool))
                continue;
            if (domain == set.domains.end() || domain->second.level != DomainLevel::DataCentre)
                continue;
            checkBudget(budget, fleet.part(service->second.pool, budget.dataCentre), set, errors);
        }
    }

    /// Time to reboot every host of the part if as many are down at once as the budgets permit.
    std::chrono::seconds rebootDuration(const Wave& wave, const PoolPart& part, std::uint64_t permitted)
    {
        const auto rounds = (part.hosts + permitted - 1) / permitted;
        return static_cast<std::int64_t>(rounds) * (wave.drainLimit + wave.rebootTime);
    }

    void checkWave(const Wave& wave, const ObjectSet& set, const Fleet& fleet, ErrorCollector& errors)
    {
        const auto parts = coveredParts(wave, fleet);
        if (parts.empty() && !wave.pools.empty())
            errors.addError(ObjectKind::Wave, wave.name, "pools", "covers no host", "a pool with hosts in a data centre of the wave");
        std::optional<PoolPart> slowest;
        std::chrono::seconds longest { 0 };
        for (const auto& part : parts) {
            const auto permitted = maximumUnavailable(set, part);
            if (!permitted || rebootDuration(wave, part, permitted) <= longest)
                continue;
            longest = rebootDuration(wave, part, permitted);
            slowest = part;
        }
        if (!slowest || longest <= wave.windowLength)
            return;
        const auto unavailable = std::to_string(maximumUnavailable(set, *slowest));
        errors.addError(ObjectKind::Wave, wave.name, "windowLength", "can't finish in its window: " + describeHosts(*slowest) + ", of which " + unavailable + " may be unavailable at once", "at least " + formatDuration(longest));
    }

} // namespace

void checkCapacity(const ObjectSet& set, ErrorCollector& errors)
{
    const Fleet fleet(set);
    checkPools(set, fleet, errors);
    checkServices(set, fleet, errors);
    checkTeams(set, fleet, errors);
    checkBudgets(set, fleet, errors);
    for (const auto& [name, wave] : set.waves)
        checkWave(wave, set, fleet, errors);
}

} // namespace Objects
