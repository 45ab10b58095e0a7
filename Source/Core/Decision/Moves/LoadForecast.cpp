#include "Decision/Moves/LoadForecast.h"

#include <algorithm>
#include <cmath>

namespace Decision {

namespace {

    /// Weight of a new sample after `elapsed` in an exponential average with the given time constant.
    double weightOf(std::chrono::duration<double> elapsed, std::chrono::duration<double> timeConstant)
    {
        return 1 - std::exp(-elapsed / timeConstant);
    }

} // namespace

LoadForecast::LoadForecast(ForecastSettings settings)
    : m_settings(settings)
{
}

void LoadForecast::observe(Common::Instant now, double offeredSlots)
{
    if (!m_started) {
        m_started = true;
        m_fast = m_slow = m_peak = offeredSlots;
        m_last = now;
        return;
    }
    const std::chrono::duration<double> elapsed = now - m_last;
    m_last = now;
    m_fast += (offeredSlots - m_fast) * weightOf(elapsed, m_settings.fastTime);
    m_slow += (offeredSlots - m_slow) * weightOf(elapsed, m_settings.slowTime);
    m_peak *= 1 - weightOf(elapsed, m_settings.peakDecayTime);
    m_peak = std::max(m_peak, m_fast);
}

bool LoadForecast::isPeaking() const
{
    return m_fast > m_slow * m_settings.peakRatio;
}

void RecentMaximum::observe(Common::Instant now, unsigned value, std::chrono::milliseconds window)
{
    while (!m_samples.empty() && m_samples.back().value <= value)
        m_samples.pop_back();
    m_samples.push_back({ now, value });
    while (now - m_samples.front().at > window)
        m_samples.pop_front();
}

unsigned RecentMaximum::value() const
{
    return m_samples.empty() ? 0 : m_samples.front().value;
}

} // namespace Decision
