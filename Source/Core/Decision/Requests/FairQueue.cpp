#include "Decision/Requests/FairQueue.h"

#include <algorithm>

namespace Decision {

FairQueue::FairQueue(bool priorityOrdered)
    : m_priorityOrdered(priorityOrdered)
{
}

void FairQueue::push(RequestNumber number, const std::string& team, unsigned rank, Cost cost, TeamShare share)
{
    // Without priorities every request stands in one line of one rank.
    const unsigned line = m_priorityOrdered ? rank : 0;
    Rank& at = m_ranks[line];
    auto& waitingTeam = *at.teams.try_emplace(m_priorityOrdered ? team : std::string()).first;
    TeamLine& teamLine = waitingTeam.second;
    if (teamLine.waiting.empty()) {
        teamLine.served = std::max(teamLine.served, at.virtualTime);
        teamLine.share = m_priorityOrdered ? share : TeamShare {};
        enterOrder(at, waitingTeam);
    }
    teamLine.waiting.emplace(number, cost);
    teamLine.queued += cost;
    at.queued += cost;
    ++at.waiting;
    m_entries.emplace(number, Entry { &at, &waitingTeam });
}

void FairQueue::enterOrder(Rank& rank, TeamLines::value_type& team)
{
    rank.order.insert(&team);
    rank.waitingWeight += team.second.share.weight;
}

void FairQueue::leaveOrder(Rank& rank, TeamLines::value_type& team)
{
    rank.order.erase(&team);
    rank.waitingWeight -= team.second.share.weight;
}

void FairQueue::forget(RequestNumber number, Rank& rank, TeamLines::value_type& team)
{
    TeamLine& line = team.second;
    const auto waiting = line.waiting.find(number);
    line.queued -= waiting->second;
    rank.queued -= waiting->second;
    line.waiting.erase(waiting);
    --rank.waiting;
    if (line.waiting.empty())
        leaveOrder(rank, team);
    m_entries.erase(number);
    // What teams were served is forgotten once nobody waits: an idle team keeps neither credit nor debt.
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
    forget(number, *entry.rank, *entry.team);
    return true;
}

bool FairQueue::mayStart(const std::string& team, const TeamShare& share) const
{
    return share.slotQuota == 0 || slotsOf(team) < share.slotQuota;
}

std::optional<RequestNumber> FairQueue::popFrom(Rank& rank)
{
    const auto next = std::find_if(rank.order.begin(), rank.order.end(), [&](const auto* team) { return mayStart(team->first, team->second.share); });
    if (next == rank.order.end())
        return std::nullopt;
    TeamLines::value_type& team = **next;
    TeamLine& line = team.second;
    const auto [number, cost] = *line.waiting.begin();
    leaveOrder(rank, team);
    rank.virtualTime = std::max(rank.virtualTime, line.served);
    line.served += static_cast<double>(cost.count()) / std::max(1u, line.share.weight);
    enterOrder(rank, team);
    forget(number, rank, team);
    return number;
}

std::optional<RequestNumber> FairQueue::pop()
{
    for (auto& [rank, line] : m_ranks) {
        if (line.waiting == 0)
            continue;
        if (const auto number = popFrom(line))
            return number;
    }
    return std::nullopt;
}

std::optional<RequestNumber> FairQueue::victimFor(unsigned rank) const
{
    for (auto it = m_ranks.rbegin(); it != m_ranks.rend() && it->first > rank; ++it) {
        std::optional<RequestNumber> newest;
        for (const auto& [team, line] : it->second.teams) {
            if (!line.waiting.empty())
                newest = std::max(newest.value_or(0), line.waiting.rbegin()->first);
        }
        if (newest)
            return newest;
    }
    return std::nullopt;
}

void FairQueue::slotTaken(const std::string& team)
{
    ++m_slots[team];
}

void FairQueue::slotFreed(const std::string& team)
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
    for (const auto& [at, line] : m_ranks) {
        if (at < rank || !m_priorityOrdered) {
            ahead += line.queued;
            continue;
        }
        if (at > rank)
            break;
        // The team's own backlog is served at its share of the rank, but never later than the whole rank's backlog.
        const auto it = line.teams.find(team);
        const bool waits = it != line.teams.end() && !it->second.waiting.empty();
        const Cost own = waits ? it->second.queued : Cost(0);
        const unsigned weights = line.waitingWeight + (waits ? 0 : share.weight);
        ahead += std::min(line.queued, own * weights / std::max(1u, share.weight));
    }
    return ahead;
}

FairQueue::Cost FairQueue::costOf(const std::string& team) const
{
    Cost queued { 0 };
    for (const auto& [rank, line] : m_ranks) {
        const auto it = line.teams.find(team);
        if (it != line.teams.end())
            queued += it->second.queued;
    }
    return queued;
}

} // namespace Decision
