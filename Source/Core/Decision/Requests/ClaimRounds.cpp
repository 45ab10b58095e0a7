#include "Decision/Requests/ClaimRounds.h"

#include <utility>

namespace Decision {

std::uint64_t ClaimRounds::open(ClaimRound round)
{
    const std::uint64_t token = m_next++;
    m_rounds.emplace(token, std::move(round));
    return token;
}

ClaimRound* ClaimRounds::find(std::uint64_t token)
{
    const auto it = m_rounds.find(token);
    return it == m_rounds.end() ? nullptr : &it->second;
}

std::optional<ClaimRound> ClaimRounds::close(std::uint64_t token)
{
    const auto it = m_rounds.find(token);
    if (it == m_rounds.end())
        return std::nullopt;
    ClaimRound round = std::move(it->second);
    m_rounds.erase(it);
    return round;
}

std::vector<std::uint64_t> ClaimRounds::waitingFor(const HostId& host) const
{
    std::vector<std::uint64_t> tokens;
    for (const auto& [token, round] : m_rounds) {
        if (round.awaited.count(host))
            tokens.push_back(token);
    }
    return tokens;
}

std::vector<std::uint64_t> ClaimRounds::expired(Instant now) const
{
    std::vector<std::uint64_t> tokens;
    for (const auto& [token, round] : m_rounds) {
        // Tokens increase with time and every round has the same timeout, so the first unexpired round ends the search.
        if (now < round.deadline)
            break;
        tokens.push_back(token);
    }
    return tokens;
}

std::optional<Instant> ClaimRounds::nextDeadline() const
{
    if (m_rounds.empty())
        return std::nullopt;
    return m_rounds.begin()->second.deadline;
}

} // namespace Decision
