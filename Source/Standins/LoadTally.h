#pragma once

/// What came of the load: counts, latencies, and the comparison with what the executors ran.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Standins {

/// How a request ended for its caller.
enum class LoadEnd {
    Answered, ///< Whole, with its own body.
    NotRun,
    Unknown, ///< Said by the system, or the connection broke on every try.
    Lost, ///< None of the three answers came, though the connection stood.
    Stranger, ///< An answer that isn't this request's, or isn't whole.
};

/// One finished request.
struct LoadResult {
    LoadEnd end = LoadEnd::Lost;
    bool idempotent = false;
    bool neverSure = false; ///< A try of it broke off or ended as unknown.
    std::string bodyHash;
    std::chrono::microseconds latency { 0 }; ///< From the first try to the answer.
};

/// How often each body ran, over all executors that could be read.
struct ExecutorRuns {
    std::map<std::string, std::uint64_t> byBodyHash;
    std::size_t executorsRead = 0;
    std::size_t executorsUnread = 0;
};

/// The figures of the closing table.
struct LoadSummary {
    std::uint64_t asked = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::uint64_t doubled = 0; ///< Non-idempotent requests that ran more than once.
    std::uint64_t lost = 0; ///< Unanswered, or answered as done though no executor ran them (if all could be read).
    std::uint64_t strangers = 0;
    std::uint64_t ranAfterNotRun = 0; ///< Ended as not run on each try, and ran.
    std::chrono::microseconds p50 { 0 };
    std::chrono::microseconds p99 { 0 };
    std::size_t executorsRead = 0;
    std::size_t executorsUnread = 0;

    /// True when no promise was seen broken.
    bool clean() const { return !doubled && !lost && !strangers && !ranAfterNotRun; }
};

/// Collects results.
class LoadTally {
public:
    void add(LoadResult result) { m_results.push_back(std::move(result)); }
    LoadSummary summary(const ExecutorRuns&) const;

private:
    std::vector<LoadResult> m_results;
};

/// The closing table.
std::string tableOf(const LoadSummary&);

} // namespace Standins
