#pragma once

/// Standard load of the request experiments: the configured objects and the seeded operations of the callers.

#include "Objects/Types.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace RequestBench {

using Duration = std::chrono::microseconds;

constexpr const char* poolName = "desk";
constexpr const char* dataCentreName = "imlil";
constexpr unsigned upstreamCount = 11;
constexpr unsigned slotsPerUpstream = 8;
constexpr Duration peakBegin = std::chrono::seconds(15);
constexpr Duration peakEnd = std::chrono::seconds(23);
constexpr Duration loadBegin = std::chrono::seconds(5);
constexpr Duration loadEnd = std::chrono::seconds(45);
constexpr double meanLoad = 0.4; ///< Share of the pool's slots that the mean load keeps busy.
constexpr double peakFactor = 5;
constexpr double troughFactor = 0.05;

/// A team and its part of the load.
struct TeamProfile {
    const char* name;
    unsigned weight;
    unsigned slotQuota;
    double share; ///< Of all requests.
};

/// Work that a caller submits as a request, and resubmits after a refusal or an unknown outcome.
struct Operation {
    Duration at { 0 }; ///< Time of the first submission.
    std::size_t service = 0;
    std::size_t team = 0;
    unsigned rank = 0; ///< Of its priority; 0 is the most urgent.
    Duration runTime { 0 }; ///< Run time on a healthy upstream.
    std::chrono::milliseconds timeLeft { 0 }; ///< Time to the deadline, counted from each submission.
    std::string key; ///< Idempotency key of a request that is not idempotent; empty for idempotent ones.
    Duration cancelAt { 0 }; ///< When the caller cancels; zero for never.
};

/// Teams of the load; Operation::team is an index into them.
const std::vector<TeamProfile>& teamProfiles();

/// Name of the service that Operation::service stands for. Throws std::out_of_range for an unknown one, as priorityName() does.
std::string serviceName(std::size_t service);

/// Name of the priority with that rank.
std::string priorityName(unsigned rank);

/// Objects in force during a run. The services' declared run times are four times too long or too short.
std::shared_ptr<const Objects::ObjectSet> makeObjects();

/// Wall-clock time at the start of a run.
Common::WallTime wallStart();

/// All operations of a run, by time: first the mean load, then a peak of five times the mean, then a twentieth of it.
std::vector<Operation> makeOperations(std::uint64_t seed);

} // namespace RequestBench
