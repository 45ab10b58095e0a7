#pragma once

/// What a case has sent, received and seen run: written to a file, and kept for the verdict.

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace Review {

using std::chrono::milliseconds;

/// One run of a task on an executor, as the executor saw it.
struct RunSeen {
    std::string task;
    std::uint64_t run = 0;
    std::string executor;
    milliseconds start { 0 };
    milliseconds end { -1 }; ///< Negative while it goes on.
    std::string how; ///< How it ended.

    bool overlaps(const RunSeen& it, milliseconds now) const
    {
        const auto endOf = [now](const RunSeen& seen) { return seen.end.count() < 0 ? now : seen.end; };
        return start < endOf(it) && it.start < endOf(*this);
    }
};

/// Thread-safe.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(path)
    {
    }

    /// Time since the record was begun.
    milliseconds now() const { return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_begin); }

    void note(const std::string& text)
    {
        const std::lock_guard lock(m_lock);
        write(text);
    }

    void started(const std::string& task, std::uint64_t run, const std::string& executor)
    {
        const std::lock_guard lock(m_lock);
        m_runs.push_back({ task, run, executor, now(), milliseconds(-1), {} });
        write("run " + std::to_string(run) + " of " + task + " starts on " + executor);
    }

    void ended(const std::string& task, std::uint64_t run, const std::string& executor, const std::string& how)
    {
        const std::lock_guard lock(m_lock);
        for (auto& it : m_runs) {
            if (it.task != task || it.run != run || it.executor != executor || it.end.count() >= 0)
                continue;
            it.end = now();
            it.how = how;
        }
        write("run " + std::to_string(run) + " of " + task + " on " + executor + ": " + how);
    }

    /// All runs so far, in the order of their starts.
    std::vector<RunSeen> runs() const
    {
        const std::lock_guard lock(m_lock);
        return m_runs;
    }

    /// Runs of tasks of one job.
    std::vector<RunSeen> runsOf(const std::string& job) const
    {
        std::vector<RunSeen> result;
        for (const auto& it : runs()) {
            if (it.task.starts_with(job + "."))
                result.push_back(it);
        }
        return result;
    }

private:
    void write(const std::string& text)
    {
        constexpr double second = 1000;
        m_file << static_cast<double>(now().count()) / second << " s  " << text << '\n'
               << std::flush;
    }

    const std::chrono::steady_clock::time_point m_begin = std::chrono::steady_clock::now();
    mutable std::mutex m_lock; ///< Guards the file and the runs.
    std::ofstream m_file;
    std::vector<RunSeen> m_runs;
};

} // namespace Review
