#include "Jobs/Decision/AdviceCache.h"

namespace Jobs {

namespace {

    /// Tickets that expire sooner aren't used, since the start order has to reach the worker before.
    constexpr milliseconds ticketMargin { 150 };

} // namespace

TaskKey AdviceCache::keyOf(TaskKey step)
{
    step.index = 0;
    return step;
}

void AdviceCache::add(const TaskKey& step, const std::vector<std::string>& requested, const std::vector<AdvisedWorker>& allowed, Common::Instant validUntil)
{
    auto& entry = m_steps[keyOf(step)];
    entry.isRequested = false;
    for (const auto& it : requested)
        entry.workers[it] = {};
    for (const auto& it : allowed)
        entry.workers[it.worker] = { true, it.ticket, validUntil };
}

std::optional<std::string> AdviceCache::ticketOf(const TaskKey& step, const std::string& worker, Common::Instant now) const
{
    const auto* entry = find(step, worker);
    if (!entry || !entry->isAllowed || entry->validUntil < now + ticketMargin)
        return std::nullopt;
    return entry->ticket;
}

bool AdviceCache::needsRequest(const TaskKey& step, const std::string& worker, Common::Instant now) const
{
    const auto* entry = find(step, worker);
    return !entry || (entry->isAllowed && entry->validUntil < now + ticketMargin);
}

bool AdviceCache::isRequested(const TaskKey& step) const
{
    const auto it = m_steps.find(keyOf(step));
    return it != m_steps.end() && it->second.isRequested;
}

void AdviceCache::markRequested(const TaskKey& step)
{
    m_steps[keyOf(step)].isRequested = true;
}

void AdviceCache::voidTickets(const std::string& worker)
{
    for (auto& [key, step] : m_steps) {
        const auto it = step.workers.find(worker);
        if (it != step.workers.end())
            it->second.validUntil = {};
    }
}

void AdviceCache::removeJob(const JobId& job)
{
    std::erase_if(m_steps, [&job](const auto& it) { return it.first.job == job; });
}

const AdviceCache::Entry* AdviceCache::find(const TaskKey& step, const std::string& worker) const
{
    const auto it = m_steps.find(keyOf(step));
    if (it == m_steps.end())
        return nullptr;
    const auto entry = it->second.workers.find(worker);
    return entry == it->second.workers.end() ? nullptr : &entry->second;
}

} // namespace Jobs
