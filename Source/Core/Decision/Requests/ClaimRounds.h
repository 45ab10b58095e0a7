#pragma once

/// Claims that this host has sent to the record holders and that are still awaiting verdicts.

#include "Decision/Requests/RequestTypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Decision {

/// One claim in progress.
struct ClaimRound {
    RequestNumber request = 0;
    Messages::ClaimKey key;
    std::set<HostId> awaited; ///< Recipients that haven't returned a verdict yet.
    std::vector<HostId> recipients; ///< Hosts the claim was sent to, including this one.
    bool allMembers = false; ///< Sent to every member of the view; members that hold no records only confirm the view.
    Instant deadline {};
    std::optional<Messages::ClaimVerdict> refusal; ///< Received from a holder while another may still have the answer.
    std::string upstream; ///< Upstream on which a slot is reserved during the claim; empty if none.
    std::string team; ///< Team that the reserved slot counts against.
};

/// Table of claim rounds by token. Used by RequestCore.
class ClaimRounds {
public:
    /// The upper 32 bits of every token hold the incarnation, so claims of an earlier process can be told apart.
    ClaimRounds(std::uint64_t incarnation)
        : m_next((incarnation << 32) + 1)
    {
    }

    /// Adds a round and returns its token.
    std::uint64_t open(ClaimRound);

    /// Returns null when the round is closed or never existed. The pointer is valid until close().
    ClaimRound* find(std::uint64_t token);

    /// Removes and returns the round; nullopt when it is already closed.
    std::optional<ClaimRound> close(std::uint64_t token);

    /// Tokens of the rounds that still await a verdict from the host.
    std::vector<std::uint64_t> waitingFor(const HostId&) const;

    /// Tokens of the rounds whose deadline has passed, oldest first.
    std::vector<std::uint64_t> expired(Instant now) const;

    /// Earliest deadline of all rounds; nullopt when there are none.
    std::optional<Instant> nextDeadline() const;

private:
    std::uint64_t m_next;
    std::map<std::uint64_t, ClaimRound> m_rounds;
};

} // namespace Decision
