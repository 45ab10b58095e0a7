#include "Record.h"

#include <algorithm>
#include <chrono>

namespace Review {

Record::Record(Adapters::EventLoop& loop, const std::string& path)
    : m_loop(loop)
    , m_file(path)
    , m_startedAt(loop.now())
{
}

void Record::write(const std::string& event)
{
    const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(m_loop.now() - m_startedAt);
    m_file << since.count() << ' ' << event << std::endl;
}

void Record::violate(const std::string& rule, const std::string& event)
{
    m_violations.push_back(rule + ": " + event);
    write("VIOLATION " + rule + ": " + event);
}

void TaskLedger::onStart(const std::string& task, std::uint64_t run, const std::string& executor)
{
    ++m_starts;
    auto& entry = m_tasks[task];
    m_record.write("start " + task + " run " + std::to_string(run) + " on " + executor);
    const auto start = "run " + std::to_string(run) + " of " + task + " starts on " + executor;
    for (const auto& [other, where] : entry.running)
        m_record.violate("TWICE", std::string(start).append(" while run ").append(std::to_string(other)).append(" works on ").append(where));
    if (!entry.doneNoted.empty())
        m_record.violate("TWICE", std::string(start).append(" after the end as done of ").append(entry.doneNoted).append(" was acknowledged"));
    entry.running[run] = executor;
}

void TaskLedger::onEnd(const std::string& task, std::uint64_t run, const std::string& executor, const std::string& how)
{
    auto& entry = m_tasks[task];
    entry.running.erase(run);
    entry.failed += how == "failed" ? 1 : 0;
    entry.isDone = entry.isDone || how == "done";
    m_record.write("end " + task + " run " + std::to_string(run) + " on " + executor + ' ' + how);
}

void TaskLedger::onDoneAcknowledged(const std::string& task, std::uint64_t run, const std::string& executor)
{
    m_tasks[task].doneNoted = "run " + std::to_string(run) + " on " + executor;
    m_record.write("acknowledged done " + task + " run " + std::to_string(run) + " on " + executor);
}

unsigned TaskLedger::done() const
{
    return static_cast<unsigned>(std::ranges::count_if(m_tasks, [](const auto& it) { return it.second.isDone; }));
}

std::size_t TaskLedger::running() const
{
    std::size_t count = 0;
    for (const auto& [task, entry] : m_tasks)
        count += entry.running.size();
    return count;
}

unsigned TaskLedger::failures(const std::string& job) const
{
    unsigned most = 0;
    for (const auto& [task, entry] : m_tasks) {
        if (task.starts_with(job + '.'))
            most = std::max(most, entry.failed);
    }
    return most;
}

} // namespace Review
