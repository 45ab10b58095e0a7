#pragma once

/// What the load generator asks for and when; the same for the same seed.

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace Standins {

/// Settings of the load generator.
struct LoadSettings {
    std::vector<std::string> targets; ///< "ip:port" where entry hosts listen for callers.
    std::vector<std::string> executors; ///< "ip:port" of the executors' stand-ins, to read what ran.
    std::vector<std::string> services;
    std::vector<std::string> teams;
    std::vector<std::string> priorities;
    double rate = 50; ///< Mean requests per second over a whole cycle.
    double peakFactor = 5;
    std::chrono::milliseconds peakLength { 3000 };
    std::chrono::milliseconds length { 20000 };
    std::chrono::milliseconds timeout { 5000 }; ///< Deadline of a request, from its first try.
    double idempotentShare = 0.5;
    std::size_t bodyBytes = 200; ///< At least; bodies are padded to it.
    std::uint64_t seed = 1;
};

/// One request to make.
struct PlannedRequest {
    std::chrono::microseconds at { 0 }; ///< From the start of the load.
    std::string service;
    std::string team;
    std::string priority;
    bool idempotent = false;
    std::string body; ///< Distinct from all others, also of other runs.
};

/// Draws requests one by one. Cycles of a steady phase at the mean rate, a peak, and a trough at a twentieth of the
/// mean, which is long enough for the mean to hold.
class LoadPlan {
public:
    /// The tag tells the bodies of this run from those of others.
    LoadPlan(const LoadSettings&, const std::string& runTag);

    PlannedRequest next();
    /// Requests per second at a time from the start.
    double rateAt(std::chrono::microseconds) const;

private:
    std::chrono::microseconds phaseEnd(std::chrono::microseconds) const;
    std::string pick(const std::vector<std::string>&);

    const LoadSettings m_settings;
    const std::string m_runTag;
    std::mt19937_64 m_random;
    std::chrono::microseconds m_now { 0 };
    std::uint64_t m_count = 0;
};

/// A UUIDv7 (RFC 9562) of that time.
std::string uuidV7(std::chrono::milliseconds sinceEpoch, std::mt19937_64&);

} // namespace Standins
