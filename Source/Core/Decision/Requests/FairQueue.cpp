#include "Decision/Requests/FairQueue.h"

#include <algorithm>

namespace Decision {

FairQueue::FairQueue(bool priorityOrdered)
    : m_priorityOrdered(priorityOrdered)
{
}

void FairQueue::push(RequestNumber number, const std::string& team, unsigned rank, Cost cost, TeamShare share)
{
    // Without priorities there is a single queue in a single rank.
    const unsigned level = m_priorityOrdered ? rank : 0;
    RankQueue& at = m_ranks[level];
    auto& waitingTeam = *at.teams.try_emplace(m_priorityOrdered ? team : std::string()).first;
    TeamQueue& teamQueue = waitingTeam.second;
    if (teamQueue.waiting.empty()) {
        teamQueue.servedTime = std::max(teamQueue.servedTime, at.virtualTime);
        teamQueue.share = m_priorityOrdered ? share : TeamShare {};
        addToOrder(at, waitingTeam);
    }
    teamQueue.waiting.emplace(number, cost);
    teamQueue.queued += cost;
    at.queued += cost;
    ++at.waiting;
    m_entries.emplace(number, Entry { &at, &waitingTeam });
}

void FairQueue::addToOrder(RankQueue& rank, TeamQueues::value_type& team)
{
    rank.order.insert(&team);
    rank.waitingWeight += team.second.share.weight;
}

void FairQueue::removeFromOrder(RankQueue& rank, TeamQueues::value_type& team)
{
    rank.order.erase(&team);
    rank.waitingWeight -= team.second.share.weight;
}

void FairQueue::removeEntry(RequestNumber number, RankQueue& rank, TeamQueues::value_type& team)
{
    TeamQueue& queue = team.second;
    const auto waiting = queue.waiting.find(number);
    queue.queued -= waiting->second;
    rank.queued -= waiting->second;
    queue.waiting.erase(waiting);
    --rank.waiting;
    if (queue.waiting.empty())
        removeFromOrder(rank, team);
    m_entries.erase(number);
    // Served times are reset once the rank is empty, so an idle team keeps neither credit nor debt.
    if (rank.waiting > 0)
        return;
    rank.teams.clear();
    rank.virtualTime = 0;
}

bool FairQueue::remove(RequestNumber number)
{
    const auto it = m_entries.find(number);
    if (it == m_entries.end())
        return false;
    const Entry entry = it->second;
    removeEntry(number, *entry.rank, *entry.team);
    return true;
}

bool FairQueue::mayStart(const std::string& team, const TeamShare& share) const
{
    return share.slotQuota == 0 || slotsOf(team) < share.slotQuota;
}

std::optional<RequestNumber> FairQueue::popFrom(RankQueue& rank)
{
    const auto next = std::find_if(rank.order.begin(), rank.order.end(), [&](const auto* team) { return mayStart(team->first, team->second.share); });
    if (next == rank.order.end())
        return std::nullopt;
    TeamQueues::value_type& team = **next;
    TeamQueue& queue = team.second;
    const auto [number, cost] = *queue.waiting.begin();
    removeFromOrder(rank, team);
    rank.virtualTime = std::max(rank.virtualTime, queue.servedTime);
    queue.servedTime += static_cast<double>(cost.count()) / std::max(1u, queue.share.weight);
    addToOrder(rank, team);
    removeEntry(number, rank, team);
    return number;
}

std::optional<RequestNumber> FairQueue::pop()
{
    for (auto& [rank, queue] : m_ranks) {
        if (queue.waiting == 0)
            continue;
        if (const auto number = popFrom(queue))
            return number;
    }
    return std::nullopt;
}

std::optional<RequestNumber> FairQueue::evictionCandidate(unsigned rank) const
{
    for (auto it = m_ranks.rbegin(); it != m_ranks.rend() && it->first > rank; ++it) {
        std::optional<RequestNumber> newest;
        for (const auto& [team, queue] : it->second.teams) {
            if (!queue.waiting.empty())
                newest = std::max(newest.value_or(0), queue.waiting.rbegin()->first);
        }
        if (newest)
            return newest;
    }
    return std::nullopt;
}

void FairQueue::onSlotAcquired(const std::string& team)
{
    ++m_slots[team];
}

void FairQueue::onSlotFreed(const std::string& team)
{
    const auto it = m_slots.find(team);
    if (it != m_slots.end() && --it->second == 0)
        m_slots.erase(it);
}

unsigned FairQueue::slotsOf(const std::string& team) const
{
    const auto it = m_slots.find(team);
    return it == m_slots.end() ? 0 : it->second;
}

FairQueue::Cost FairQueue::costAhead(const std::string& team, unsigned rank, TeamShare share) const
{
    Cost ahead { 0 };
    for (const auto& [at, queue] : m_ranks) {
        if (at < rank || !m_priorityOrdered) {
            ahead += queue.queued;
            continue;
        }
        if (at > rank)
            break;
        // The team's own backlog is served at its share of the rank, but takes at most as long as the backlog of the whole rank.
        const auto it = queue.teams.find(team);
        const bool waits = it != queue.teams.end() && !it->second.waiting.empty();
        const Cost teamQueued = waits ? it->second.queued : Cost(0);
        const unsigned weights = queue.waitingWeight + (waits ? 0 : share.weight);
        ahead += std::min(queue.queued, teamQueued * weights / std::max(1u, share.weight));
    }
    return ahead;
}

FairQueue::Cost FairQueue::costOf(const std::string& team) const
{
    Cost queued { 0 };
    for (const auto& [rank, queue] : m_ranks) {
        const auto it = queue.teams.find(team);
        if (it != queue.teams.end())
            queued += it->second.queued;
    }
    return queued;
}

} // namespace Decision
