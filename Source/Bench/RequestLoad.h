#pragma once

/// Standard load of the request experiments: the objects in force, and what callers want when.

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
constexpr double meanLoad = 0.4; ///< Share of the pool's slots that the mean demand keeps busy.
constexpr double peakFactor = 5;
constexpr double troughFactor = 0.05;

/// A team's part of the load.
struct TeamProfile {
    const char* name;
    unsigned weight;
    unsigned slotQuota;
    double share; ///< Of all requests.
};

/// Something a caller wants; it asks once or several times.
struct Want {
    Duration at { 0 }; ///< Of the first ask.
    std::size_t service = 0;
    std::size_t team = 0;
    unsigned rank = 0;
    Duration run { 0 }; ///< On a sound upstream.
    std::chrono::milliseconds timeLeft { 0 }; ///< Allowed for each ask.
    std::string key; ///< Idempotency key of a non-idempotent request; empty for idempotent ones.
    Duration cancelAt { 0 }; ///< When the caller loses interest; zero for never.
};

/// Teams of the load, in the order of Want::team.
const std::vector<TeamProfile>& teamProfiles();

/// Names of the services, in the order of Want::service.
std::string serviceName(std::size_t service);

/// Name of the priority of that rank.
std::string priorityName(unsigned rank);

/// Objects with run times that are declared four times too long or too short.
std::shared_ptr<const Objects::ObjectSet> makeObjects();

/// Civil time at the start of a run.
Common::WallTime wallStart();

/// All wants of a run, by time: the mean, a peak of five times the mean, then a twentieth.
std::vector<Want> makeWants(std::uint64_t seed);

} // namespace RequestBench
