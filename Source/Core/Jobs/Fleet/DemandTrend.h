#pragma once

/// How fast each pool's need of machines rises. Does no I/O and reads no clock.

#include "Common/Time.h"

#include <chrono>
#include <deque>
#include <map>
#include <string>

namespace Jobs {

using Common::Instant;

/// Rates of rise over the latest samples.
class DemandTrend {
public:
    /// Adds a sample of the machines that a pool needs. Samples of a pool must come in order of time.
    void observe(const std::string& pool, double machines, Instant now);
    /// Machines that the pool needs more after the time, if its need goes on to rise as it does; zero if it doesn't rise steadily.
    double riseWithin(std::chrono::milliseconds, const std::string& pool) const;
    /// The same at the highest rate of the last second or so, for decisions that a pause in a rise mustn't reverse.
    double highestRiseWithin(std::chrono::milliseconds, const std::string& pool) const;

private:
    struct Sample {
        double machines = 0;
        Instant at {};
    };

    struct Pool {
        std::deque<Sample> samples; ///< Newest last.
        double rate = 0; ///< Machines a second; zero if the need doesn't rise steadily.
        double highestRate = 0;
        Instant highestAt {};
    };

    static double steadyRate(const std::deque<Sample>&);

    std::map<std::string, Pool> m_pools;
};

} // namespace Jobs
