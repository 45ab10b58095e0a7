#include "Jobs/Decision/AdviceCache.h"

namespace Jobs {

namespace {

    /// A ticket that runs out sooner isn't used: the start must reach the worker before.
    constexpr milliseconds ticketMargin { 150 };

} // namespace

TaskKey AdviceCache::keyOf(TaskKey step)
{
    step.index = 0;
    return step;
}

void AdviceCache::add(const TaskKey& step, const std::vector<std::string>& asked, const std::vector<AdvisedWorker>& good, Common::Instant validUntil)
{
    auto& entry = m_steps[keyOf(step)];
    entry.isAsking = false;
    for (const auto& it : asked)
        entry.workers[it] = {};
    for (const auto& it : good)
        entry.workers[it.worker] = { true, it.ticket, validUntil };
}

std::optional<std::string> AdviceCache::ticketOf(const TaskKey& step, const std::string& worker, Common::Instant now) const
{
    const auto* entry = find(step, worker);
    if (!entry || !entry->isAllowed || entry->validUntil < now + ticketMargin)
        return std::nullopt;
    return entry->ticket;
}

bool AdviceCache::isWorthAsking(const TaskKey& step, const std::string& worker, Common::Instant now) const
{
    const auto* entry = find(step, worker);
    return !entry || (entry->isAllowed && entry->validUntil < now + ticketMargin);
}

bool AdviceCache::isAsking(const TaskKey& step) const
{
    const auto it = m_steps.find(keyOf(step));
    return it != m_steps.end() && it->second.isAsking;
}

void AdviceCache::asking(const TaskKey& step)
{
    m_steps[keyOf(step)].isAsking = true;
}

void AdviceCache::dropWorker(const std::string& worker)
{
    for (auto& [key, step] : m_steps) {
        const auto it = step.workers.find(worker);
        if (it != step.workers.end())
            it->second.validUntil = {};
    }
}

void AdviceCache::dropJob(const JobId& job)
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
