#include "Decision/Requests/RunTimes.h"

#include <algorithm>
#include <cmath>

namespace Decision {

namespace {

    constexpr double smoothing = 1.0 / 32; ///< Weight of a run from the 31st on.
    constexpr double deviationFactor = 2;

} // namespace

void RunTimes::record(const std::string& service, Duration declared, Duration measured)
{
    Estimate& it = m_estimates[service];
    if (it.runs == 0)
        it.mean = static_cast<double>(declared.count());
    ++it.runs;
    // Early runs weigh more, so that a wrong declared run time is corrected within a few runs.
    const double weight = std::max(smoothing, 1.0 / (it.runs + 1));
    const double error = static_cast<double>(measured.count()) - it.mean;
    it.mean += weight * error;
    it.deviation += weight * (std::abs(error) - it.deviation);
}

RunTimes::Duration RunTimes::expected(const std::string& service, Duration declared) const
{
    const auto it = m_estimates.find(service);
    if (it == m_estimates.end())
        return declared;
    return Duration(static_cast<Duration::rep>(it->second.mean));
}

RunTimes::Duration RunTimes::upperEstimate(const std::string& service, Duration declared) const
{
    const auto it = m_estimates.find(service);
    if (it == m_estimates.end())
        return declared;
    return Duration(static_cast<Duration::rep>(it->second.mean + deviationFactor * it->second.deviation));
}

} // namespace Decision
