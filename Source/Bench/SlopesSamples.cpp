#include "SlopesSamples.h"

#include <algorithm>
#include <chrono>
#include <cstdio>

namespace Slopes {

using namespace std::chrono_literals;

namespace {

    constexpr unsigned upstreamPort = 18100;
    constexpr unsigned addressesPerOctet = 256;
    constexpr unsigned budgetPercent = 40;

    std::string numberedName(const char* format, unsigned n)
    {
        char buf[64];
        std::snprintf(buf, sizeof buf, format, n);
        return buf;
    }

    std::string dataCentreName(unsigned n) { return numberedName("centre-%02u", n); }
    std::string rackName(unsigned n) { return numberedName("rack-%04u", n); }
    std::string serviceName(unsigned n) { return numberedName("service-%03u", n); }

    std::string addressOf(unsigned n)
    {
        return "127." + std::to_string(1 + n / (addressesPerOctet * addressesPerOctet)) + "." + std::to_string(n / addressesPerOctet % addressesPerOctet) + "." + std::to_string(n % addressesPerOctet) + ":" + std::to_string(upstreamPort);
    }

    void addDomains(Objects::ObjectSet& set, const SetCounts& counts)
    {
        set.domains["region-1"] = { "region-1", Objects::DomainLevel::Region, "" };
        for (unsigned n = 0; n < counts.dataCentres; ++n)
            set.domains[dataCentreName(n)] = { dataCentreName(n), Objects::DomainLevel::DataCentre, "region-1" };
        for (unsigned n = 0; n < counts.racks; ++n)
            set.domains[rackName(n)] = { rackName(n), Objects::DomainLevel::Rack, dataCentreName(n % counts.dataCentres) };
    }

    void addTeams(Objects::ObjectSet& set, const SetCounts& counts)
    {
        set.priorities["urgent"] = { "urgent", 1 };
        set.priorities["normal"] = { "normal", 2 };
        for (unsigned n = 0; n < counts.teams; ++n) {
            const auto name = numberedName("team-%03u", n);
            set.teams[name] = { name, { "normal", "urgent" }, 8, 1 };
        }
    }

    void addWaves(Objects::ObjectSet& set, const SetCounts& counts)
    {
        for (unsigned n = 0; n < counts.waves; ++n) {
            Objects::Wave wave;
            wave.name = numberedName("wave-%03u", n);
            wave.pools = { poolName(n % counts.pools) };
            wave.windowStart = Common::WallTime(std::chrono::hours(500000 + 24 * 21 * n));
            wave.windowLength = std::chrono::hours(24 * 21);
            set.waves[wave.name] = wave;
        }
    }

} // namespace

std::string poolName(unsigned n)
{
    return numberedName("pool-%02u", n);
}

std::string upstreamName(unsigned n)
{
    return numberedName("upstream-%05u", n);
}

Objects::ObjectSet makeSet(const SetCounts& counts)
{
    Objects::ObjectSet set;
    addDomains(set, counts);
    addTeams(set, counts);
    for (unsigned n = 0; n < counts.pools; ++n)
        set.pools[poolName(n)] = { poolName(n), false, 0, 0 };
    for (unsigned n = 0; n < counts.services; ++n)
        set.services[serviceName(n)] = { serviceName(n), poolName(n % counts.pools), {}, 65536, 100ms, 60s };
    for (unsigned n = 0; n < counts.budgets; ++n) {
        const auto name = numberedName("budget-%04u", n);
        set.budgets[name] = { name, serviceName(n % counts.services), dataCentreName(n / counts.services % counts.dataCentres), budgetPercent };
    }
    for (unsigned n = 0; n < counts.upstreams; ++n) {
        // A pool's upstreams are spread over racks, so that budgets hold when one is lost.
        const auto rack = rackName((n + n / counts.pools) % counts.racks);
        set.upstreams[upstreamName(n)] = { upstreamName(n), addressOf(n), poolName(n % counts.pools), rack, 8, 64 };
    }
    addWaves(set, counts);
    return set;
}

Decision::AssignmentRecord makeAssignments(unsigned upstreams, unsigned pools)
{
    Decision::AssignmentRecord record;
    record.version = 12345;
    for (unsigned n = 0; n < upstreams; ++n) {
        Decision::UpstreamAssignment assignment;
        assignment.pool = poolName(n % pools);
        assignment.since = 12345;
        record.upstreams[upstreamName(n)] = assignment;
    }
    return record;
}

Messages::Heartbeat makeHeartbeat(unsigned pools, unsigned upstreamsPerPool)
{
    Messages::Heartbeat beat;
    beat.incarnation = 0x123456789abcdef1;
    beat.dataCentre = dataCentreName(0);
    beat.viewEpoch = 1000;
    beat.configurationRevision = 39000;
    beat.assignmentVersion = 12345;
    beat.ready = true;
    for (unsigned n = 0; n < pools; ++n) {
        Messages::PoolLoad load { poolName(n), 40, 80, 80, 500ms, {} };
        for (unsigned it = 0; it < upstreamsPerPool; ++it)
            load.uses.push_back({ upstreamName(n * upstreamsPerPool + it), 8 });
        beat.loads.push_back(std::move(load));
    }
    return beat;
}

std::string makeKey(Common::WallTime at, unsigned number)
{
    const auto stamp = static_cast<unsigned long long>(at.time_since_epoch().count());
    char buf[48];
    std::snprintf(buf, sizeof buf, "%08llx-%04llx-7000-8000-%012x", stamp >> 16, stamp & 0xffff, number);
    return buf;
}

Messages::LedgerHandover makeHandover(unsigned records, std::size_t answerBytes)
{
    Messages::LedgerHandover handover;
    handover.pool = poolName(0);
    handover.viewEpoch = 1000;
    handover.recordsCompleteSince = Common::WallTime(1800000000000ms);
    for (unsigned n = 0; n < records; ++n) {
        Messages::LedgerRecord record;
        record.key = { poolName(0), "team-001", makeKey(handover.recordsCompleteSince, n) };
        record.bodyHash = 0x123456789abcdef1;
        record.token = 0x123456789abcdef1;
        record.claimant = "centre-00-entry-1";
        record.finished = true;
        record.answer = { Ports::Outcome::Done, Ports::Reason::None, 0ms, 200, "application/json", std::make_shared<const std::string>(answerBytes, 'a') };
        handover.records.push_back(std::move(record));
    }
    return handover;
}

} // namespace Slopes
