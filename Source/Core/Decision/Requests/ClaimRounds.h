#pragma once

/// Claims that this host has asked the holders for and that aren't settled yet.

#include "Decision/Requests/RequestTypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Decision {

/// One claim under way.
struct ClaimRound {
    RequestNumber request = 0;
    Messages::ClaimKey key;
    std::set<HostId> awaited; ///< Holders without a verdict.
    std::vector<HostId> asked; ///< All holders, this host included.
    bool allMembers = false; ///< Members that hold no records confirm the view.
    Instant deadline {};
    std::optional<Messages::ClaimVerdict> refusal; ///< Of a holder, while another may still know the answer.
    std::string upstream; ///< Where a slot is held meanwhile; empty for none.
    std::string team; ///< Whose slot it is.
};

/// Table of rounds by token.
class ClaimRounds {
public:
    /// A token whose upper half names this start of the host.
    ClaimRounds(std::uint64_t incarnation)
        : m_next((incarnation << 32) + 1)
    {
    }

    std::uint64_t open(ClaimRound);
    ClaimRound* find(std::uint64_t token);
    std::optional<ClaimRound> close(std::uint64_t token);

    /// Tokens that wait for the host.
    std::vector<std::uint64_t> waitingFor(const HostId&) const;

    /// Tokens whose deadline has passed.
    std::vector<std::uint64_t> expired(Instant now) const;
    std::optional<Instant> nextDeadline() const;

private:
    std::uint64_t m_next;
    std::map<std::uint64_t, ClaimRound> m_rounds;
};

} // namespace Decision
