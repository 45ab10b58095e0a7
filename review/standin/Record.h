#pragma once

/// What a trial has seen: a log of events, and for each task what its runs have done so far.

#include "Adapters/Platform/EventLoop.h"

#include <cstdint>
#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace Review {

/// Writes one line for each event, with the milliseconds since the start of the trial. Keeps the violations of rules. Used on the
/// loop's thread only.
class Record {
public:
    Record(Adapters::EventLoop&, const std::string& path);

    void write(const std::string& event);
    /// Writes the event as a violation of the rule.
    void violate(const std::string& rule, const std::string& event);
    const std::vector<std::string>& violations() const { return m_violations; }

private:
    Adapters::EventLoop& m_loop;
    std::ofstream m_file;
    Common::Instant m_startedAt;
    std::vector<std::string> m_violations;
};

/// The runs of all tasks on all executors, as the executors see them. Checks the rule TWICE.
class TaskLedger {
public:
    explicit TaskLedger(Record& record)
        : m_record(record)
    {
    }

    void onStart(const std::string& task, std::uint64_t run, const std::string& executor);
    /// A run has ended, in whatever way.
    void onEnd(const std::string& task, std::uint64_t run, const std::string& executor, const std::string& how);
    /// `ackedThrough` has reached the end of a run that was done.
    void onDoneAcknowledged(const std::string& task, std::uint64_t run, const std::string& executor);
    unsigned starts() const { return m_starts; }
    /// Tasks of which a run has ended as done.
    unsigned done() const;
    /// Runs at work.
    std::size_t running() const;
    unsigned failures(const std::string& job) const;

private:
    struct Task {
        std::map<std::uint64_t, std::string> running; ///< Executor by run.
        std::string doneNoted; ///< Where and as which run its end as done was acknowledged; empty before.
        bool isDone = false; ///< A run has ended as done.
        unsigned failed = 0; ///< Runs that ended as failed.
    };

    Record& m_record;
    std::map<std::string, Task> m_tasks;
    unsigned m_starts = 0;
};

} // namespace Review
