#pragma once

/// Run time estimates of services, learned from finished runs and seeded with the declared run time.

#include <chrono>
#include <string>
#include <unordered_map>

namespace Decision {

/// Mean and mean absolute deviation of each service's run times, as exponentially weighted moving averages.
class RunTimes {
public:
    using Duration = std::chrono::microseconds;

    /// Adds a finished run. `declared` seeds the mean on the first run.
    void record(const std::string& service, Duration declared, Duration measured);

    /// Mean run time; `declared` before the first run.
    Duration expected(const std::string& service, Duration declared) const;

    /// Run time that most runs stay below: the mean plus twice the mean deviation; `declared` before the first run.
    Duration upperEstimate(const std::string& service, Duration declared) const;

private:
    struct Estimate {
        double mean = 0; ///< Microseconds.
        double deviation = 0; ///< Mean absolute deviation, microseconds.
        unsigned runs = 0;
    };

    std::unordered_map<std::string, Estimate> m_estimates;
};

} // namespace Decision
