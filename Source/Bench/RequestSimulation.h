#pragma once

/// Request cores of one data centre in virtual time, joined by a link of fixed latency, with their callers and upstreams.

#include "Decision/Requests/RequestCore.h"
#include "RequestTally.h"

#include <chrono>
#include <memory>
#include <optional>
#include <vector>

namespace RequestBench {

/// How long the others take to notice that a host has died.
struct OwnerDeath {
    Duration at { 0 };
    Duration noticedAfter { 0 };
};

/// One run of the standard load.
struct Scenario {
    std::uint64_t seed = 1;
    Decision::RequestGuards guards;
    bool staticSplit = false; ///< Each host uses its own share of every upstream's slots and forwards nothing.
    std::vector<double> hostWeights = std::vector<double>(6, 1); ///< Share of the callers that each entry host gets.
    bool badUpstreams = true; ///< One upstream fails every task fast during the peak, one runs four times as long.
    std::optional<OwnerDeath> ownerDeath;
};

/// Runs the scenario to its end.
Figures run(const Scenario&);

} // namespace RequestBench
