#pragma once

/// Learned run times of services. Declared ones only serve until enough runs were seen.

#include <chrono>
#include <string>
#include <unordered_map>

namespace Decision {

/// Mean and spread of a service's run times, as exponentially weighted moving averages.
class RunTimes {
public:
    using Duration = std::chrono::microseconds;

    /// Adds a finished run.
    void record(const std::string& service, Duration declared, Duration seen);

    /// Expected run time.
    Duration expected(const std::string& service, Duration declared) const;

    /// Run time that most runs stay under: the mean and twice its mean deviation.
    Duration cautious(const std::string& service, Duration declared) const;

private:
    struct Estimate {
        double mean = 0; ///< Microseconds.
        double deviation = 0; ///< Mean absolute deviation, microseconds.
        unsigned runs = 0;
    };

    std::unordered_map<std::string, Estimate> m_estimates;
};

} // namespace Decision
