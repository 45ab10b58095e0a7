#include "Jobs/Runtime/FleetReport.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace Jobs {

namespace {

    constexpr std::size_t maxPoolsPerLine = 12; ///< Limits the length of a log line; a separate field has the count of all.

    std::uint64_t shortfallOf(const PoolLoad& load)
    {
        const auto demand = load.waitingMilliCores + load.busyMilliCores;
        return load.waitingMilliCores == 0 || demand <= load.capacityMilliCores ? 0 : demand - load.capacityMilliCores;
    }

    std::string joinFirst(const std::vector<std::string>& names)
    {
        std::string text;
        for (std::size_t n = 0; n < names.size() && n < maxPoolsPerLine; ++n)
            text += (n == 0 ? "" : " ") + names[n];
        return text;
    }

    /// "pool:shortfall/late" in thousandths of a core, the largest shortfall first.
    std::vector<std::string> shortPools(const FleetStatus& status)
    {
        std::vector<std::pair<std::uint64_t, std::string>> found;
        for (const auto& [name, pool] : status.pools) {
            const auto shortfall = pool.isStandby || !pool.hasReported ? 0 : shortfallOf(pool.load);
            if (shortfall > 0)
                found.emplace_back(shortfall, name + ':' + std::to_string(shortfall) + '/' + std::to_string(pool.load.lateMilliCores));
        }
        std::ranges::sort(found, std::greater<>());
        std::vector<std::string> texts;
        texts.reserve(found.size());
        for (auto& it : found)
            texts.push_back(std::move(it.second));
        return texts;
    }

    std::vector<std::string> unreportedPools(const FleetStatus& status)
    {
        std::vector<std::string> names;
        for (const auto& name : status.usedPools) {
            const auto pool = status.pools.find(name);
            if (pool == status.pools.end() || (!pool->second.hasReported && !pool->second.isStandby))
                names.push_back(name);
        }
        return names;
    }

    /// "number:done/machines/down" for each wave.
    std::string waveText(const FleetStatus& status, Instant now)
    {
        std::string text;
        for (const auto& [number, run] : status.waves)
            text += (text.empty() ? "" : " ") + std::to_string(number) + ':' + std::to_string(run.done().size()) + '/' + std::to_string(run.wave().machines.size()) + '/' + std::to_string(run.downCount(now));
        return text;
    }

    struct MachineCounts {
        std::size_t idle = 0; ///< Without runs, in pools that have enough cores.
        std::size_t off = 0; ///< In standby pools.
        std::size_t unavailable = 0; ///< Moving, in maintenance or down.
    };

    MachineCounts countMachines(const FleetStatus& status)
    {
        MachineCounts counts;
        for (const auto& [name, view] : status.machines) {
            const auto pool = status.pools.find(view.machine.pool);
            const bool isShort = pool != status.pools.end() && shortfallOf(pool->second.load) > 0;
            if (view.machine.state != Machine::State::Up)
                ++counts.unavailable;
            else if (view.isOff)
                ++counts.off;
            else if (view.load && view.load->runs == 0 && !isShort)
                ++counts.idle;
        }
        return counts;
    }

    std::string millisecondsText(std::chrono::microseconds time) { return std::to_string(std::chrono::duration_cast<milliseconds>(time).count()); }

    std::string millisecondsText(const std::optional<milliseconds>& time) { return time ? std::to_string(time->count()) : "none"; }

} // namespace

std::optional<LogEvent> describeFleet(const FleetStatus& status, Instant now)
{
    const auto shortPoolTexts = shortPools(status);
    const auto unreported = unreportedPools(status);
    if (shortPoolTexts.empty() && unreported.empty() && status.waves.empty())
        return std::nullopt;
    const auto counts = countMachines(status);
    LogEvent event { "fleet-load", {}, {} };
    event.fields = {
        { "short", joinFirst(shortPoolTexts) },
        { "shortPools", std::to_string(shortPoolTexts.size()) },
        { "unreported", joinFirst(unreported) },
        { "unreportedPools", std::to_string(unreported.size()) },
        { "machines", std::to_string(status.machines.size()) },
        { "idle", std::to_string(counts.idle) },
        { "off", std::to_string(counts.off) },
        { "unavailable", std::to_string(counts.unavailable) },
        { "plannedMoves", std::to_string(status.plannedMoves) },
        { "moves", status.movesMachines ? "allowed" : "disabled" },
        { "lease", status.isLeaseValid ? "valid" : "uncertain" },
        { "cooldownLeftMs", std::to_string(status.cooldownLeft.count()) },
        { "machinesInCooldown", std::to_string(status.machinesInCooldown) },
        { "waves", waveText(status, now) },
        { "listAgeMs", status.listAge ? std::to_string(status.listAge->count()) : "none" },
    };
    return event;
}

LogEvent describePeak(const PeakEvent& event, Instant now)
{
    const auto milliCores = std::to_string(std::llround(event.milliCores));
    switch (event.kind) {
    case PeakEvent::Kind::Started:
        return { "peak-started", event.pool, { { "startedMsAgo", millisecondsText(now - event.startsAt) }, { "gapMs", millisecondsText(event.gap) }, { "milliCores", milliCores }, { "expectedPool", event.expectedPool }, { "errorMs", millisecondsText(event.error) } } };
    case PeakEvent::Kind::Expected:
        return { "peak-expected", event.pool, { { "inMs", millisecondsText(event.startsAt - now) }, { "milliCores", milliCores }, { "uncertaintyMs", std::to_string(event.uncertainty.count()) } } };
    case PeakEvent::Kind::Withdrawn:
        break;
    }
    return { "peak-withdrawn", event.pool, { { "overdueMs", millisecondsText(now - event.startsAt) }, { "milliCores", milliCores } } };
}

} // namespace Jobs
