#pragma once

/// Simulation of the request cores of one data centre in virtual time, with their callers, upstreams and a network of
/// fixed latency.

#include "Decision/Requests/RequestCore.h"
#include "RequestTally.h"

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

namespace RequestBench {

/// Death of the host that owns the pool, and how long the other hosts take to detect it.
struct OwnerDeath {
    Duration at { 0 };
    Duration detectedAfter { 0 }; ///< Counted from the death.
};

/// Settings of one run of the standard load.
struct Scenario {
    std::uint64_t seed = 1;
    Decision::RequestGuards guards;
    bool staticSplit = false; ///< Each host has a fixed share of every upstream's slots and forwards nothing.
    std::vector<double> hostWeights = std::vector<double>(6, 1); ///< Relative share of the submissions for each entry host.
    bool faultyUpstreams = true; ///< One upstream fails every task at once during the peak, another takes four times as long.
    std::optional<OwnerDeath> ownerDeath;
};

/// Simulates the scenario to its end. Equal scenarios have equal results.
Figures run(const Scenario&);

} // namespace RequestBench
