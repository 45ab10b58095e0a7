/// fleet_bench [--out FILE]: compares buffer cost, roll-out time and moves of the wave planner and the margin policy
/// with baselines, in virtual time. Prints one JSON line per figure; exit code 1 if any figure is out of bounds.

#include "Decision/Waves/WaveSelection.h"
#include "FleetBenchModel.h"
#include "FleetBenchOffline.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

using namespace FleetBench;
using namespace std::chrono_literals;

namespace {

constexpr auto runLength = 9000s;
constexpr auto offlineLength = 1600s;
constexpr auto designCycle = 420s; // Drain, reboot and settling of one host at the design size.
constexpr auto designWindow = 21 * 24h;
constexpr unsigned designHosts = 15000;
constexpr double bufferBound = 0.5;
constexpr double rollOutBound = 3;
constexpr double movesBound = 2;

/// An upper bound on a figure, or a lower one with atLeast.
struct Bound {
    double value = 0;
    bool atLeast = false;

    bool holds(double figure) const { return atLeast ? figure >= value : figure <= value; }
};

/// Writes figures to standard output and, with a path, to a file; records whether all are within their bounds.
class Report {
public:
    explicit Report(const std::string& path)
    {
        if (!path.empty())
            m_file.open(path);
    }

    void add(const std::string& name, double value, const std::string& unit, std::optional<Bound> bound = {})
    {
        std::ostringstream line;
        line << R"({"name":")" << name << R"(","value":)" << value << R"(,"unit":")" << unit << '"';
        if (bound) {
            const bool ok = bound->holds(value);
            line << R"(,"bound":)" << bound->value << R"(,"ok":)" << (ok ? "true" : "false");
            m_allWithinBounds = m_allWithinBounds && ok;
        } else
            line << R"(,"bound":null,"ok":true)";
        line << "}\n";
        std::cout << line.str();
        m_file << line.str();
    }

    bool allWithinBounds() const { return m_allWithinBounds; }

private:
    std::ofstream m_file;
    bool m_allWithinBounds = true;
};

/// A fleet: pool sizes of each of its data centres, and the weights of its margin policy.
struct Fleet {
    std::string name;
    std::vector<std::vector<PoolSize>> dataCentres;
    Decision::MarginSettings margin;
};

/// Divides the hosts of each pool among the data centres; the first ones get the remainder.
std::vector<std::vector<PoolSize>> spread(const std::vector<PoolSize>& total, unsigned dataCentres)
{
    std::vector<std::vector<PoolSize>> result(dataCentres);
    for (const auto& pool : total) {
        for (unsigned i = 0; i < dataCentres; ++i)
            result[i].push_back({ pool.pool, pool.hosts / dataCentres + (i < pool.hosts % dataCentres ? 1 : 0), pool.spare });
    }
    return result;
}

std::vector<Fleet> makeFleets()
{
    const std::vector<PoolSize> benjelloun { { "desk", 8, false }, { "hotels", 9, false }, { "juniors", 11, false }, { "camps", 12, false }, { "backoffice", 8, true } };
    const std::vector<PoolSize> norrvik { { "skyttel", 9, false }, { "forarpool", 9, false }, { "hallplats", 11, false }, { "linjeval", 12, false }, { "ovrigt", 8, true } };
    Decision::MarginSettings bufferFirst;
    bufferFirst.bufferCostWeight = 3;
    Decision::MarginSettings rollOutFirst;
    rollOutFirst.rollOutTimeWeight = 3;
    return {
        { "benjelloun.each", std::vector(4, benjelloun), bufferFirst },
        { "norrvik.each", std::vector(3, norrvik), rollOutFirst },
        { "benjelloun.spread", spread(benjelloun, 4), bufferFirst },
        { "norrvik.spread", spread(norrvik, 3), rollOutFirst },
    };
}

RunSettings settingsOf(const Fleet& fleet, std::size_t dataCentre)
{
    RunSettings settings;
    settings.dataCentre = "dc-" + std::to_string(dataCentre);
    settings.pools = fleet.dataCentres[dataCentre];
    settings.margin = fleet.margin;
    settings.length = runLength;
    settings.seed = dataCentre + 1;
    return settings;
}

RunFigures runFleet(const Fleet& fleet, MovePolicy policy, unsigned maximumAtOnce)
{
    RunFigures total;
    total.waveFinished = true;
    for (std::size_t i = 0; i < fleet.dataCentres.size(); ++i) {
        auto settings = settingsOf(fleet, i);
        settings.policy = policy;
        settings.maximumAtOnce = maximumAtOnce;
        total += run(settings);
    }
    return total;
}

void addFigures(Report& report, const std::string& name, const RunFigures& figures)
{
    report.add(name + ".bufferCost", figures.bufferHostSeconds, "host-seconds");
    report.add(name + ".spareUse", figures.spareHostSeconds, "host-seconds");
    report.add(name + ".goodput", figures.goodput(), "ratio");
    report.add(name + ".goodputLostToMoves", figures.lostToMoves / std::max(1.0, figures.offered), "ratio");
    report.add(name + ".moves", figures.moves, "moves");
    report.add(name + ".budgetViolations", figures.budgetViolations, "pool-seconds", Bound { 0 });
    report.add(name + ".hostsInTwoPools", figures.hostsInTwoPools, "host-seconds", Bound { 0 });
    report.add(name + ".waveFinished", figures.waveFinished, "boolean");
    report.add(name + ".rollOutTime", static_cast<double>(figures.rollOut.count()), "seconds");
}

/// Compares the policy with the offline optimum on the same trace, without waves and failures.
void compareOffline(Report& report, const Fleet& fleet)
{
    RunFigures online;
    OfflineFigures offline;
    for (std::size_t i = 0; i < fleet.dataCentres.size(); ++i) {
        auto settings = settingsOf(fleet, i);
        settings.length = offlineLength;
        settings.withWave = settings.withFailures = false;
        online += run(settings);
        unsigned total = 0;
        for (const auto& pool : settings.pools)
            total += pool.hosts;
        const auto racks = (total + hostsPerRack - 1) / hostsPerRack;
        for (std::size_t n = 0; n + 1 < settings.pools.size(); ++n) {
            const auto hosts = settings.pools[n].hosts;
            const auto best = solveOffline(makeTrace(settings, n), minimumHostsAfterMoves(hosts, racks), std::min(total, hosts * 3), hosts, settings.margin);
            offline.poolChanges += best.poolChanges;
            offline.bufferHostSeconds += best.bufferHostSeconds;
            offline.lateHostSeconds += best.lateHostSeconds;
        }
    }
    report.add(fleet.name + ".offline.poolChanges", offline.poolChanges, "host changes");
    report.add(fleet.name + ".offline.bufferCost", offline.bufferHostSeconds, "host-seconds");
    report.add(fleet.name + ".offline.late", offline.lateHostSeconds, "host-seconds");
    report.add(fleet.name + ".sameTrace.poolChanges", online.poolChanges, "host changes");
    report.add(fleet.name + ".sameTrace.bufferCost", online.bufferHostSeconds, "host-seconds");
    report.add(fleet.name + ".sameTrace.goodput", online.goodput(), "ratio");
    report.add(fleet.name + ".movesOverOffline", online.poolChanges / std::max(1.0, static_cast<double>(offline.poolChanges)), "ratio", Bound { movesBound });
}

void benchFleet(Report& report, const Fleet& fleet)
{
    const auto margin = runFleet(fleet, MovePolicy::Margin, 0);
    const auto none = runFleet(fleet, MovePolicy::None, 0);
    const auto fixed = runFleet(fleet, MovePolicy::FixedMargin, 0);
    const auto oneAtATime = runFleet(fleet, MovePolicy::Margin, 1);
    addFigures(report, fleet.name + ".margin", margin);
    addFigures(report, fleet.name + ".noMoves", none);
    addFigures(report, fleet.name + ".fixed20", fixed);
    addFigures(report, fleet.name + ".oneAtATime", oneAtATime);
    report.add(fleet.name + ".bufferOverFixed", margin.bufferHostSeconds / fixed.bufferHostSeconds, "ratio", Bound { bufferBound });
    report.add(fleet.name + ".forcedOverFixed", margin.forcedHostSeconds / fixed.bufferHostSeconds, "ratio");
    report.add(fleet.name + ".transitOverFixed", margin.transitHostSeconds / fixed.bufferHostSeconds, "ratio");
    report.add(fleet.name + ".goodputOverFixed", margin.goodput() / fixed.goodput(), "ratio", Bound { 1, true });
    // An unfinished wave has no roll-out time. For the one-at-a-time baseline the time left in the run is a lower bound.
    const auto oneAtATimeRollOut = oneAtATime.waveFinished ? oneAtATime.rollOut : runLength - 600s;
    const double speedup = margin.waveFinished ? static_cast<double>(oneAtATimeRollOut.count()) / static_cast<double>(margin.rollOut.count()) : 0;
    report.add(fleet.name + ".rollOutSpeedup", speedup, "ratio", Bound { rollOutBound, true });
    compareOffline(report, fleet);
}

/// Forecasts a wave over all hosts at the design size (four data centres of five pools), which has to fit in three weeks.
void benchDesignSize(Report& report)
{
    constexpr unsigned dataCentres = 4;
    constexpr unsigned pools = 5;
    const unsigned hosts = designHosts / dataCentres / pools;
    for (const unsigned percent : { 50U, 80U, 90U, 99U }) {
        const auto forecast = Decision::forecastFleet({ hosts, hosts, percent, std::chrono::duration_cast<std::chrono::seconds>(designCycle) });
        const auto name = "design15000.budget" + std::to_string(percent);
        report.add(name + ".atOnce", forecast.atOnce * pools * dataCentres, "hosts");
        const double forecastHours = forecast.atOnce ? std::chrono::duration<double, std::ratio<3600>>(forecast.length).count() : -1;
        const double limitHours = std::chrono::duration<double, std::ratio<3600>>(designWindow).count();
        report.add(name + ".length", forecastHours, "hours", Bound { limitHours });
    }
}

} // namespace

int main(int argc, char** argv)
{
    std::string path;
    for (int i = 1; i < argc; ++i) {
        if (!std::strncmp(argv[i], "--out=", 6))
            path = argv[i] + 6;
        else if (!std::strcmp(argv[i], "--out") && i + 1 < argc)
            path = argv[++i];
    }
    Report report(path);
    for (const auto& fleet : makeFleets())
        benchFleet(report, fleet);
    benchDesignSize(report);
    return report.allWithinBounds() ? 0 : 1;
}
