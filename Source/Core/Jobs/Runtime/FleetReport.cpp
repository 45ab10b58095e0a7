#include "Jobs/Runtime/FleetReport.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Jobs {

namespace {

    constexpr std::size_t poolsPerLine = 12; ///< Bounds a line; the count of all stands beside them.

    std::uint64_t lackOf(const PoolLoad& load)
    {
        const auto demand = load.waitingMilliCores + load.busyMilliCores;
        return load.waitingMilliCores == 0 || demand <= load.capacityMilliCores ? 0 : demand - load.capacityMilliCores;
    }

    std::string joined(const std::vector<std::string>& names)
    {
        std::string text;
        for (std::size_t n = 0; n < names.size() && n < poolsPerLine; ++n)
            text += (n == 0 ? "" : " ") + names[n];
        return text;
    }

    /// "pool:lacking/late" in thousandths of cores, the shortest pool first.
    std::vector<std::string> shortPools(const FleetPicture& picture)
    {
        std::vector<std::pair<std::uint64_t, std::string>> found;
        for (const auto& [name, pool] : picture.pools) {
            const auto lack = pool.isStandby || !pool.hasReported ? 0 : lackOf(pool.load);
            if (lack > 0)
                found.emplace_back(lack, name + ':' + std::to_string(lack) + '/' + std::to_string(pool.load.lateMilliCores));
        }
        std::ranges::sort(found, std::greater<>());
        std::vector<std::string> texts;
        texts.reserve(found.size());
        for (auto& it : found)
            texts.push_back(std::move(it.second));
        return texts;
    }

    std::vector<std::string> unheardPools(const FleetPicture& picture)
    {
        std::vector<std::string> names;
        for (const auto& name : picture.usedPools) {
            const auto pool = picture.pools.find(name);
            if (pool == picture.pools.end() || (!pool->second.hasReported && !pool->second.isStandby))
                names.push_back(name);
        }
        return names;
    }

    /// "number:done/machines/down" of each wave.
    std::string waveText(const FleetPicture& picture, Instant now)
    {
        std::string text;
        for (const auto& [number, run] : picture.waves)
            text += (text.empty() ? "" : " ") + std::to_string(number) + ':' + std::to_string(run.done().size()) + '/' + std::to_string(run.wave().machines.size()) + '/' + std::to_string(run.downCount(now));
        return text;
    }

    struct MachineCounts {
        std::size_t idle = 0; ///< In pools that lack nothing.
        std::size_t off = 0;
        std::size_t away = 0; ///< Moving, in maintenance or down.
    };

    MachineCounts countMachines(const FleetPicture& picture)
    {
        MachineCounts counts;
        for (const auto& [name, view] : picture.machines) {
            const auto pool = picture.pools.find(view.machine.pool);
            const bool isShort = pool != picture.pools.end() && lackOf(pool->second.load) > 0;
            if (view.machine.state != Machine::State::Up)
                ++counts.away;
            else if (view.isOff)
                ++counts.off;
            else if (view.load && view.load->runs == 0 && !isShort)
                ++counts.idle;
        }
        return counts;
    }

} // namespace

std::optional<LogEvent> describeFleet(const FleetPicture& picture, Instant now)
{
    const auto shorts = shortPools(picture);
    const auto unheard = unheardPools(picture);
    if (shorts.empty() && unheard.empty() && picture.waves.empty())
        return std::nullopt;
    const auto counts = countMachines(picture);
    LogEvent event { "fleet-load", {}, {} };
    event.fields = {
        { "short", joined(shorts) },
        { "shortPools", std::to_string(shorts.size()) },
        { "unheard", joined(unheard) },
        { "unheardPools", std::to_string(unheard.size()) },
        { "machines", std::to_string(picture.machines.size()) },
        { "idle", std::to_string(counts.idle) },
        { "off", std::to_string(counts.off) },
        { "away", std::to_string(counts.away) },
        { "plannedMoves", std::to_string(picture.plannedMoves) },
        { "moves", picture.movesMachines ? "allowed" : "disabled" },
        { "lease", picture.isLeaseSure ? "sure" : "unsure" },
        { "silenceLeftMs", std::to_string(picture.silenceLeft.count()) },
        { "silentMachines", std::to_string(picture.silentMachines) },
        { "waves", waveText(picture, now) },
        { "listAgeMs", picture.listAge ? std::to_string(picture.listAge->count()) : "none" },
    };
    return event;
}

} // namespace Jobs
