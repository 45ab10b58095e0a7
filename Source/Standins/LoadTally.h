#pragma once

/// Results of a load: counts, latencies, and the comparison with the executors' run counts.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Standins {

/// How a request ended from its caller's point of view.
enum class LoadEnd {
    Answered, ///< Complete answer that matches the request's body.
    NotRun, ///< Answered as not run on every attempt, or never sent before the deadline.
    Unknown, ///< Answered as unknown, or no final answer after an attempt that may have run.
    Lost, ///< No answer, or one without a valid outcome, although the connection didn't break.
    Mismatched, ///< An incomplete answer, or that of another request.
};

struct LoadResult {
    LoadEnd end = LoadEnd::Lost;
    bool idempotent = false;
    bool mayHaveRun = false; ///< Some attempt's connection broke, or it was answered as unknown.
    std::string bodyHash;
    std::chrono::microseconds latency { 0 }; ///< From the first attempt to the end.
};

/// Run counts summed over all executors that could be read.
struct ExecutorRuns {
    std::map<std::string, std::uint64_t> byBodyHash;
    std::size_t executorsRead = 0;
    std::size_t executorsUnread = 0;
};

/// Totals of a load.
struct LoadSummary {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t doubled = 0; ///< Non-idempotent requests that ran more than once.
    std::uint64_t lost = 0; ///< Without a valid answer, or answered as done but not run (checked only if all executors could be read).
    std::uint64_t mismatched = 0; ///< Incomplete answers and those of other requests.
    std::uint64_t ranAfterNotRun = 0; ///< Answered as not run on every attempt, but ran.
    std::chrono::microseconds p50 { 0 };
    std::chrono::microseconds p99 { 0 };
    std::size_t executorsRead = 0;
    std::size_t executorsUnread = 0;

    /// True when no guarantee was violated.
    bool hasNoViolations() const { return !doubled && !lost && !mismatched && !ranAfterNotRun; }
};

/// Collects the results of requests.
class LoadTally {
public:
    void add(LoadResult result) { m_results.push_back(std::move(result)); }
    LoadSummary summary(const ExecutorRuns&) const;

private:
    std::vector<LoadResult> m_results;
};

/// The summary as a table for people, one figure a line.
std::string tableOf(const LoadSummary&);

} // namespace Standins
