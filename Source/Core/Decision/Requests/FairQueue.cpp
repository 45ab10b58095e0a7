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
    const std::string lineTeam = m_priorityOrdered ? team : std::string();
    Rank& at = m_ranks[line];
    TeamLine& teamLine = at.teams[lineTeam];
    if (teamLine.waiting.empty())
        teamLine.served = std::max(teamLine.served, at.virtualTime);
    teamLine.share = m_priorityOrdered ? share : TeamShare {};
    teamLine.waiting.emplace(number, cost);
    teamLine.queued += cost;
    at.queued += cost;
    ++at.waiting;
    m_entries.emplace(number, Entry { lineTeam, line, cost });
}

void FairQueue::forget(RequestNumber number, Rank& rank, std::map<std::string, TeamLine>::iterator it)
{
    TeamLine& line = it->second;
    const auto waiting = line.waiting.find(number);
    line.queued -= waiting->second;
    rank.queued -= waiting->second;
    line.waiting.erase(waiting);
    --rank.waiting;
    // An idle team keeps no credit: its line starts at the rank's virtual time when it comes back.
    if (line.waiting.empty() && line.served <= rank.virtualTime)
        rank.teams.erase(it);
    m_entries.erase(number);
}

bool FairQueue::remove(RequestNumber number)
{
    const auto it = m_entries.find(number);
    if (it == m_entries.end())
        return false;
    Rank& rank = m_ranks[it->second.rank];
    forget(number, rank, rank.teams.find(it->second.team));
    return true;
}

bool FairQueue::mayStart(const std::string& team, const TeamShare& share) const
{
    return share.slotQuota == 0 || slotsOf(team) < share.slotQuota;
}

std::optional<RequestNumber> FairQueue::popFrom(Rank& rank)
{
    auto best = rank.teams.end();
    for (auto it = rank.teams.begin(); it != rank.teams.end(); ++it) {
        if (it->second.waiting.empty() || !mayStart(it->first, it->second.share))
            continue;
        if (best == rank.teams.end() || it->second.served < best->second.served)
            best = it;
    }
    if (best == rank.teams.end())
        return std::nullopt;
    TeamLine& line = best->second;
    const auto [number, cost] = *line.waiting.begin();
    rank.virtualTime = std::max(rank.virtualTime, line.served);
    line.served += static_cast<double>(cost.count()) / std::max(1u, line.share.weight);
    forget(number, rank, best);
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
        if (at < rank) {
            ahead += line.queued;
            continue;
        }
        if (at > rank)
            break;
        // The team's own backlog is served at its share of the rank, but never later than the whole rank's backlog.
        unsigned weights = share.weight;
        Cost own { 0 };
        for (const auto& [name, other] : line.teams) {
            if (name == team)
                own = other.queued;
            else if (!other.waiting.empty())
                weights += other.share.weight;
        }
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
