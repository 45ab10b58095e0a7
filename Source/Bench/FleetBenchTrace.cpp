#include "FleetBenchModel.h"

#include <algorithm>
#include <random>

namespace FleetBench {

namespace {

    constexpr unsigned peakSeconds = 8;
    constexpr unsigned troughSeconds = 34;
    constexpr unsigned peakSpacing = 20;
    constexpr double peakFactor = 5;
    constexpr double troughFactor = 0.05;
    constexpr double noise = 0.1;

} // namespace

RunFigures& RunFigures::operator+=(const RunFigures& other)
{
    bufferHostSeconds += other.bufferHostSeconds;
    forcedHostSeconds += other.forcedHostSeconds;
    transitHostSeconds += other.transitHostSeconds;
    spareHostSeconds += other.spareHostSeconds;
    offered += other.offered;
    served += other.served;
    lostToMoves += other.lostToMoves;
    moves += other.moves;
    poolChanges += other.poolChanges;
    budgetViolations += other.budgetViolations;
    hostsInTwoPools += other.hostsInTwoPools;
    waveFinished = waveFinished && other.waveFinished;
    rollOut = std::max(rollOut, other.rollOut);
    return *this;
}

std::vector<double> makeTrace(const RunSettings& settings, std::size_t poolIndex)
{
    const auto pools = settings.pools.size() - 1;
    const auto period = peakSpacing * pools;
    const auto& size = settings.pools[poolIndex];
    std::mt19937_64 random(settings.seed * 31 + poolIndex);
    std::uniform_real_distribution<double> spread(1 - noise, 1 + noise);
    std::vector<double> trace;
    for (std::int64_t second = 0; second < settings.length.count(); ++second) {
        const auto phase = (static_cast<std::size_t>(second) + period - peakSpacing * (poolIndex % pools) + settings.seed * 7) % period;
        const double factor = phase < peakSeconds ? peakFactor : phase < peakSeconds + troughSeconds ? troughFactor
                                                                                                     : 1;
        trace.push_back(size.spare ? 0 : factor * meanLoad * size.hosts * slotsPerHost * spread(random));
    }
    return trace;
}

} // namespace FleetBench
