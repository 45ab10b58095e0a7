#include "Jobs/Decision/FillerPacing.h"

#include <algorithm>

namespace Jobs {

namespace {

    constexpr unsigned fullShare = 100;
    constexpr unsigned reductionDivisor = 3; ///< Two reductions bring full speed down to about a tenth, within two polls.
    constexpr unsigned minimumShare = 12; ///< Percent; a filler that would fall below it is paused.
    constexpr unsigned growthStep = 15; ///< Percentage points per call.
    constexpr unsigned highPermille = 900; ///< Of the latency target; above it the share is cut.
    constexpr unsigned lowPermille = 650; ///< Of the latency target; below it the share grows.

} // namespace

unsigned pacedShare(unsigned currentPercent, const LatencyPressure& pressure)
{
    constexpr int permille = 1000;
    if (pressure.target.count() == 0)
        return fullShare;
    if (pressure.latency * permille > pressure.target * highPermille) {
        const unsigned reduced = currentPercent / reductionDivisor;
        return reduced < minimumShare ? 0 : reduced;
    }
    if (pressure.latency * permille < pressure.target * lowPermille)
        return std::min(fullShare, currentPercent + growthStep);
    return currentPercent;
}

} // namespace Jobs
