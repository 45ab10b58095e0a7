#pragma once

/// Forecast of the load of one pool: a fast and a slow moving mean, a memory of peaks, and the highest need of late.

#include "Common/Time.h"

#include <chrono>
#include <deque>

namespace Decision {

/// Time constants of a forecast.
struct ForecastSettings {
    std::chrono::milliseconds fastTime { 700 };
    std::chrono::milliseconds slowTime { 60000 };
    std::chrono::milliseconds peakMemoryTime { 600000 }; ///< A peak counts half after about 0.7 of it.
    double peakRatio = 2.0; ///< Fast over slow mean from which on a peak is under way.
};

/// Learns from samples of offered work, in slots (slot-seconds a second).
class LoadForecast {
public:
    explicit LoadForecast(ForecastSettings);

    void observe(Common::Instant now, double offeredSlots);

    double fastSlots() const { return m_fast; }
    double meanSlots() const { return m_slow; }
    /// Height that peaks have reached, fading with time.
    double peakSlots() const { return m_peak; }
    bool isPeaking() const;

private:
    ForecastSettings m_settings;
    bool m_started = false;
    Common::Instant m_last {};
    double m_fast = 0;
    double m_slow = 0;
    double m_peak = 0;
};

/// Maximum of a value over a sliding time.
class RecentMaximum {
public:
    void observe(Common::Instant now, unsigned value, std::chrono::milliseconds window);
    unsigned value() const;

private:
    struct Sample {
        Common::Instant at {};
        unsigned value = 0;
    };
    std::deque<Sample> m_samples; ///< Values fall from front to back.
};

} // namespace Decision
