#include "RequestLoad.h"

#include <array>
#include <cstdio>
#include <random>

namespace RequestBench {

using namespace std::chrono_literals;

namespace {

    /// A service with its true and its declared run time.
    struct ServiceProfile {
        const char* name;
        Duration runTime;
        std::chrono::milliseconds declared;
        double share; ///< Of all requests.
    };

    constexpr std::array<ServiceProfile, 4> services { {
        { "roster-reading", 50ms, 200ms, 0.4 },
        { "lesson-booking", 100ms, 25ms, 0.3 },
        { "group-matching", 200ms, 800ms, 0.2 },
        { "season-planning", 400ms, 100ms, 0.1 },
    } };
    constexpr std::array<const char*, 3> priorities { "urgent", "normal", "batch" };
    constexpr std::array<double, 3> priorityShares { 0.2, 0.5, 0.3 };
    constexpr std::size_t cappedTeam = 5; ///< Its load far exceeds its slot quota; it never sends urgent requests.
    constexpr double keyedShare = 0.2; ///< Of all operations: not idempotent, sent with an idempotency key.
    constexpr Duration cancelBurst = 19s; ///< Many callers cancel at the same time.
    constexpr Duration cancelMaximumAge = 2s; ///< Only operations begun this shortly before are cancelled.
    constexpr double cancelShare = 0.3;
    constexpr std::int64_t wallStartMilliseconds = 1'800'000'000'000;

    double meanRunMicroseconds()
    {
        double micros = 0;
        for (const auto& it : services)
            micros += it.share * static_cast<double>(it.runTime.count());
        return micros;
    }

    double loadFactorAt(Duration at)
    {
        if (at < peakBegin)
            return 1;
        return at < peakEnd ? peakFactor : troughFactor;
    }

    template<typename Shares>
    std::size_t choose(std::mt19937_64& random, const Shares& shares)
    {
        std::discrete_distribution<std::size_t> pick(shares.begin(), shares.end());
        return pick(random);
    }

    std::string makeKey(std::mt19937_64& random, Duration at)
    {
        const auto issued = wallStartMilliseconds + std::chrono::duration_cast<std::chrono::milliseconds>(at).count();
        const std::uint64_t tail = random();
        std::array<char, 40> buf {};
        std::snprintf(buf.data(), buf.size(), "%08llx-%04llx-7%03llx-8%03llx-%012llx", static_cast<unsigned long long>(issued >> 16),
            static_cast<unsigned long long>(issued & 0xffff), static_cast<unsigned long long>(tail & 0xfff),
            static_cast<unsigned long long>((tail >> 12) & 0xfff), static_cast<unsigned long long>((tail >> 16) & 0xffffffffffff));
        return buf.data();
    }

    Operation makeOperation(std::mt19937_64& random, Duration at)
    {
        std::vector<double> serviceShares;
        std::vector<double> teamShares;
        serviceShares.reserve(services.size());
        teamShares.reserve(teamProfiles().size());
        for (const auto& it : services)
            serviceShares.push_back(it.share);
        for (const auto& it : teamProfiles())
            teamShares.push_back(it.share);
        Operation operation;
        operation.at = at;
        operation.service = choose(random, serviceShares);
        operation.team = choose(random, teamShares);
        operation.rank = static_cast<unsigned>(choose(random, priorityShares));
        if (operation.team == cappedTeam && operation.rank == 0)
            operation.rank = 1;
        std::uniform_real_distribution<double> spread(0.5, 1.5);
        operation.runTime = Duration(static_cast<Duration::rep>(static_cast<double>(services[operation.service].runTime.count()) * spread(random)));
        std::uniform_int_distribution<int> timeLeft(1000, 5000);
        operation.timeLeft = std::chrono::milliseconds(timeLeft(random));
        std::bernoulli_distribution keyed(keyedShare);
        if (keyed(random))
            operation.key = makeKey(random, at);
        std::bernoulli_distribution cancelled(cancelShare);
        if (cancelled(random) && at < cancelBurst && at > cancelBurst - cancelMaximumAge)
            operation.cancelAt = cancelBurst;
        return operation;
    }

} // namespace

const std::vector<TeamProfile>& teamProfiles()
{
    static const std::vector<TeamProfile> s_teams {
        { "desk-clerks", 1, 60, 0.15 },
        { "instructors", 1, 60, 0.15 },
        { "hotels", 2, 60, 0.15 },
        { "parents", 2, 60, 0.15 },
        { "partners", 4, 60, 0.15 },
        { "planners", 4, 12, 0.25 },
    };
    return s_teams;
}

std::string serviceName(std::size_t service) { return services.at(service).name; }

std::string priorityName(unsigned rank) { return priorities.at(rank); }

Common::WallTime wallStart() { return Common::WallTime(std::chrono::milliseconds(wallStartMilliseconds)); }

std::shared_ptr<const Objects::ObjectSet> makeObjects()
{
    auto objects = std::make_shared<Objects::ObjectSet>();
    objects->domains[dataCentreName] = { dataCentreName, Objects::DomainLevel::DataCentre, "atlas" };
    objects->pools[poolName].name = poolName;
    for (const auto& it : services) {
        auto& service = objects->services[it.name];
        service.name = it.name;
        service.pool = poolName;
        service.expectedRunTime = it.declared;
    }
    for (unsigned rank = 0; rank < priorities.size(); ++rank)
        objects->priorities[priorities[rank]] = { priorities[rank], rank };
    for (const auto& it : teamProfiles())
        objects->teams[it.name] = { it.name, { priorities.begin(), priorities.end() }, it.slotQuota, it.weight };
    return objects;
}

std::vector<Operation> makeOperations(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const double meanRate = meanLoad * upstreamCount * slotsPerUpstream / meanRunMicroseconds(); // Requests per microsecond.
    std::vector<Operation> operations;
    Duration at = loadBegin;
    while (true) {
        std::exponential_distribution<double> gap(meanRate * loadFactorAt(at));
        at += Duration(static_cast<Duration::rep>(gap(random)));
        if (at >= loadEnd)
            return operations;
        operations.push_back(makeOperation(random, at));
    }
}

} // namespace RequestBench
