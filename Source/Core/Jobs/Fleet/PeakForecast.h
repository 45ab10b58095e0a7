#pragma once

/// Forecast of which pool peaks next. Answers the load pattern in which pools ask for several times their mean by turns:
/// a move takes a good part of a peak, so machines have to be there as it begins. No I/O, no clock.

#include "Common/Time.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace Jobs {

using Common::Instant;

/// A peak that is expected.
struct ExpectedPeak {
    std::string pool;
    Instant startsAt {};
    double milliCores = 0; ///< Highest demand of the pool's peaks so far, fading.
};

/// Learns from samples of each pool's demand (cores that are busy or asked for).
class PeakForecast {
public:
    void observe(const std::string& pool, double milliCores, Instant now);
    /// The next peak of a pool that isn't peaking, if the pools' turns are regular enough to tell.
    std::optional<ExpectedPeak> next(Instant now) const;
    bool isPeaking(const std::string& pool) const;
    /// Start of the newest peak of any pool; the epoch before the first.
    Instant newestStart() const { return m_lastStart; }

private:
    struct Pool {
        double fast = 0;
        double slow = 0;
        double highest = 0; ///< Of peaks.
        bool isPeaking = false;
        bool hasPeaked = false;
        Instant sampledAt {};
        Instant peakedAt {}; ///< Start of the newest peak.
    };

    double highestPeak() const;
    void peakBegan(const std::string& pool, Instant now);

    std::map<std::string, Pool> m_pools;
    std::deque<std::chrono::microseconds> m_gaps; ///< Between starts of peaks of different pools, newest last.
    std::string m_lastPool;
    Instant m_lastStart {};
};

} // namespace Jobs
