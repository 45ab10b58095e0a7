#pragma once

/// Load forecast of one pool: a fast and a slow moving average, a decaying peak, and a sliding-window maximum.

#include "Common/Time.h"

#include <chrono>
#include <deque>

namespace Decision {

/// Time constants of a forecast.
struct ForecastSettings {
    std::chrono::milliseconds fastTime { 700 };
    std::chrono::milliseconds slowTime { 60000 };
    std::chrono::milliseconds peakDecayTime { 600000 }; ///< The remembered peak halves after about 0.7 of this time.
    double peakRatio = 2.0; ///< Ratio of the fast to the slow average above which the load is peaking.
};

/// Exponentially weighted averages of the offered load, in slots (slot-seconds per second).
class LoadForecast {
public:
    explicit LoadForecast(ForecastSettings);

    /// Adds a sample; the first one initializes all averages.
    void observe(Common::Instant now, double offeredSlots);

    double fastSlots() const { return m_fast; } ///< Fast average.
    double meanSlots() const { return m_slow; } ///< Slow average.

    /// Highest fast average, decaying over time.
    double peakSlots() const { return m_peak; }

    /// True while the fast average exceeds the slow one by the peak ratio.
    bool isPeaking() const;

private:
    ForecastSettings m_settings;
    bool m_started = false;
    Common::Instant m_last {};
    double m_fast = 0;
    double m_slow = 0;
    double m_peak = 0;
};

/// Maximum of a value over a sliding time window.
class RecentMaximum {
public:
    /// Adds a sample and drops those older than `window`.
    void observe(Common::Instant now, unsigned value, std::chrono::milliseconds window);

    /// Maximum within the window of the last observe(); zero before the first sample.
    unsigned value() const;

private:
    struct Sample {
        Common::Instant at {};
        unsigned value = 0;
    };
    std::deque<Sample> m_samples; ///< Values decrease from front to back.
};

} // namespace Decision
