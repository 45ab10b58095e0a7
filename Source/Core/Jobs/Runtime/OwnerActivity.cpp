#include "Jobs/Runtime/OwnerActivity.h"

#include <algorithm>

namespace Jobs {

namespace {

    std::string millisecondsText(std::chrono::microseconds duration)
    {
        return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
    }

} // namespace

void OwnerActivity::DurationStat::add(std::chrono::microseconds duration)
{
    last = duration;
    longest = std::max(longest, duration);
}

void OwnerActivity::addDecision(Instant dueAt, Instant beganAt, Instant endedAt)
{
    ++m_decisions;
    m_decision.add(endedAt - beganAt);
    m_decisionDelay.add(std::max(std::chrono::microseconds(0), beganAt - dueAt));
}

void OwnerActivity::addRecords(const std::vector<JobRecord>& records)
{
    for (const auto& it : records) {
        m_accepted += std::holds_alternative<JobAccepted>(it) ? 1 : 0;
        m_placed += std::holds_alternative<RunStarted>(it) ? 1 : 0;
        m_ended += std::holds_alternative<RunEnded>(it) ? 1 : 0;
    }
}

void OwnerActivity::addCommit(Instant now, milliseconds duration)
{
    m_commit.add(duration);
    m_committedAt = now;
}

void OwnerActivity::reset()
{
    m_decisions = m_accepted = m_placed = m_ended = 0;
    m_decision.longest = m_decisionDelay.longest = m_commit.longest = {};
}

LogEvent OwnerActivity::loadEvent(const std::string& pool, const PoolPressure& pressure, milliseconds stalledFor, Instant now) const
{
    const auto& load = pressure.load;
    LogEvent event { "pool-load", pool, {} };
    const auto add = [&event](const char* name, std::uint64_t value) { event.fields.emplace_back(name, std::to_string(value)); };
    add("activeJobs", pressure.activeJobs);
    add("overdueJobs", pressure.overdueJobs);
    add("waitingTasks", pressure.waitingTasks);
    add("oldestWaitingMs", static_cast<std::uint64_t>(pressure.oldestWaiting.count()));
    add("waitingMilliCores", load.waitingMilliCores);
    add("lateMilliCores", load.lateMilliCores);
    add("boundedMilliCores", load.bounded.milliCores);
    add("waitingCoreMs", load.waitingWork);
    add("runs", pressure.runs);
    add("busyMilliCores", load.busyMilliCores);
    add("freeMilliCores", pressure.freeMilliCores);
    add("workers", load.workers.size());
    add("candidates", pressure.candidates);
    add("silent", pressure.silent);
    add("cordoned", pressure.cordoned);
    add("avoided", pressure.avoided);
    add("leaving", pressure.leaving);
    add("testing", pressure.testing);
    add("setAside", pressure.setAside);
    add("setAsideFreeMilliCores", pressure.setAsideFreeMilliCores);
    add("waitingSuspects", pressure.waitingSuspects);
    add("waitingLastingSuspects", pressure.waitingLastingSuspects);
    add("oldestSuspectMs", static_cast<std::uint64_t>(pressure.oldestSuspect.count()));
    add("accepted", m_accepted);
    add("placed", m_placed);
    add("ended", m_ended);
    add("decisions", m_decisions);
    event.fields.emplace_back("decisionUs", std::to_string(m_decision.last.count()));
    event.fields.emplace_back("longestDecisionUs", std::to_string(m_decision.longest.count()));
    event.fields.emplace_back("longestDelayMs", millisecondsText(m_decisionDelay.longest));
    event.fields.emplace_back("commitMs", millisecondsText(m_commit.last));
    event.fields.emplace_back("longestCommitMs", millisecondsText(m_commit.longest));
    event.fields.emplace_back("commitAgeMs", m_committedAt == Instant() ? "none" : millisecondsText(now - m_committedAt));
    event.fields.emplace_back("stalledMs", std::to_string(stalledFor.count()));
    return event;
}

} // namespace Jobs
