#pragma once

/// Requests of the load generator and their times; deterministic for a seed.

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace Standins {

struct LoadSettings {
    std::vector<std::string> targets; ///< Addresses ("ip:port") where entry hosts listen for callers.
    std::vector<std::string> executors; ///< Addresses ("ip:port") of the executor stand-ins, for reading their run counts.
    std::vector<std::string> services;
    std::vector<std::string> teams;
    std::vector<std::string> priorities;
    double rate = 50; ///< Mean requests per second over a whole cycle.
    double peakFactor = 5; ///< Rate of a peak, as a multiple of the mean rate.
    std::chrono::milliseconds peakLength { 3000 }; ///< Zero for a constant rate.
    std::chrono::milliseconds length { 20000 }; ///< Of the whole load.
    std::chrono::milliseconds timeout { 5000 }; ///< Deadline of a request, from its first attempt.
    double idempotentShare = 0.5; ///< Fraction of requests marked idempotent.
    std::size_t bodyBytes = 200; ///< Minimum; shorter bodies are padded.
    std::uint64_t seed = 1;
};

struct PlannedRequest {
    std::chrono::microseconds at { 0 }; ///< From the start of the load.
    std::string service;
    std::string team;
    std::string priority;
    bool idempotent = false;
    std::string body; ///< Unique, also across runs.
};

/// Generates requests one by one, in cycles of a steady phase at the mean rate, a peak, and a trough at a twentieth of the mean
/// rate. The trough is long enough for the rate over a whole cycle to equal the mean.
class LoadPlan {
public:
    /// The tag makes the bodies of this run distinct from those of other runs.
    LoadPlan(const LoadSettings&, const std::string& runTag);

    PlannedRequest next();
    /// Requests per second at this time after the start.
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

/// A random UUIDv7 (RFC 9562) with this timestamp.
std::string uuidV7(std::chrono::milliseconds sinceEpoch, std::mt19937_64&);

} // namespace Standins
