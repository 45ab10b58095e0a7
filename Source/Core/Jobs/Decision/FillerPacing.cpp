#include "Jobs/Decision/FillerPacing.h"

#include <algorithm>

namespace Jobs {

namespace {

    constexpr unsigned fullShare = 100;
    constexpr unsigned cutDivisor = 3; ///< Two cuts take the full share to a tenth, within two looks.
    constexpr unsigned leastShare = 12; ///< Percent; a filler below it is paused.
    constexpr unsigned growth = 15; ///< Percentage points at a time.
    constexpr unsigned highPermille = 900; ///< Of the target: throttle from here on.
    constexpr unsigned lowPermille = 650; ///< Of the target: let go below.

} // namespace

unsigned pacedShare(unsigned presentPercent, const LatencyPressure& pressure)
{
    constexpr int permille = 1000;
    if (pressure.target.count() == 0)
        return fullShare;
    if (pressure.latency * permille > pressure.target * highPermille) {
        const unsigned cut = presentPercent / cutDivisor;
        return cut < leastShare ? 0 : cut;
    }
    if (pressure.latency * permille < pressure.target * lowPermille)
        return std::min(fullShare, presentPercent + growth);
    return presentPercent;
}

} // namespace Jobs
