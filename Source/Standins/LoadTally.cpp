#include "Standins/LoadTally.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace Standins {

namespace {

    std::chrono::microseconds quantile(const std::vector<std::chrono::microseconds>& sorted, double share)
    {
        if (sorted.empty())
            return std::chrono::microseconds(0);
        const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size()));
        return sorted[std::min(index, sorted.size() - 1)];
    }

    void countEnd(const LoadResult& result, LoadSummary& summary)
    {
        static constexpr std::uint64_t LoadSummary::*s_counters[] = {
            &LoadSummary::answered,
            &LoadSummary::notRun,
            &LoadSummary::unknown,
            &LoadSummary::lost,
            &LoadSummary::mismatched,
        };
        ++(summary.*s_counters[static_cast<std::size_t>(result.end)]);
    }

    void compareWithRuns(const LoadResult& result, const ExecutorRuns& runs, LoadSummary& summary)
    {
        const auto it = runs.byBodyHash.find(result.bodyHash);
        const std::uint64_t count = it == runs.byBodyHash.end() ? 0 : it->second;
        if (!result.idempotent && count > 1)
            ++summary.doubled;
        if (result.end == LoadEnd::NotRun && !result.mayHaveRun && count)
            ++summary.ranAfterNotRun;
        const bool allRead = runs.executorsRead && !runs.executorsUnread;
        if (result.end == LoadEnd::Answered && allRead && !count)
            ++summary.lost;
    }

    std::string countLine(const char* name, std::uint64_t count)
    {
        std::array<char, 64> line {};
        std::snprintf(line.data(), line.size(), "%-22s %12llu\n", name, static_cast<unsigned long long>(count));
        return line.data();
    }

    std::string timeLine(const char* name, std::chrono::microseconds time)
    {
        std::array<char, 64> line {};
        std::snprintf(line.data(), line.size(), "%-22s %9.1f ms\n", name, static_cast<double>(time.count()) / 1000);
        return line.data();
    }

} // namespace

LoadSummary LoadTally::summary(const ExecutorRuns& runs) const
{
    LoadSummary summary;
    std::vector<std::chrono::microseconds> latencies;
    for (const auto& it : m_results) {
        ++summary.requests;
        countEnd(it, summary);
        compareWithRuns(it, runs, summary);
        if (it.end == LoadEnd::Answered)
            latencies.push_back(it.latency);
    }
    std::sort(latencies.begin(), latencies.end());
    summary.p50 = quantile(latencies, 0.5);
    summary.p99 = quantile(latencies, 0.99);
    summary.executorsRead = runs.executorsRead;
    summary.executorsUnread = runs.executorsUnread;
    return summary;
}

std::string tableOf(const LoadSummary& summary)
{
    return countLine("asked", summary.requests) + countLine("answered", summary.answered) + countLine("not run", summary.notRun)
        + countLine("unknown", summary.unknown) + countLine("doubled", summary.doubled) + countLine("lost", summary.lost)
        + countLine("strangers", summary.mismatched) + countLine("ran after \"not run\"", summary.ranAfterNotRun)
        + timeLine("p50", summary.p50) + timeLine("p99", summary.p99) + countLine("executors read", summary.executorsRead)
        + countLine("executors not read", summary.executorsUnread);
}

} // namespace Standins
