#pragma once

/// Records of non-idempotent requests that this host keeps as one of the two holders of their pool
/// (docs/design/at-most-once.md).

#include "Decision/Requests/RequestTypes.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Decision {

/// What a holder knows of a key.
struct LedgerEntry {
    std::uint64_t bodyHash = 0;
    std::uint64_t token = 0;
    HostId claimant;
    bool finished = false;
    bool answerHeld = false;
    Answer answer;
};

/// A holder's verdict with the answer of a finished request.
struct LedgerVerdict {
    Messages::ClaimVerdict verdict = Messages::ClaimVerdict::StaleView;
    Answer answer;
};

/// Holder-side state: claims by key, the agreed view, and since when this host's memory of a pool is whole.
class Ledger {
public:
    Ledger(HostId self, const RequestLimits&, const RequestGuards&);

    /// The two hosts that keep the records of a pool in the present view.
    std::vector<HostId> holdersOf(const std::string& pool) const;
    std::uint64_t epoch() const { return m_view.epoch; }
    const LedgerView& view() const { return m_view; }

    /// Takes a new view; older ones are ignored. Pools whose records this host now keeps are gathered from the other members.
    /// `stayedMember` means that no view in between can have been without this host.
    void setView(WallTime now, LedgerView, const std::vector<std::string>& pools, bool stayedMember);

    /// Questions to members that haven't handed over yet; to be asked again until they have.
    std::vector<SendPeer> openQueries() const;

    /// Hand-over for a member that has become a holder; nothing while the views differ.
    std::vector<SendPeer> answerQuery(const HostId& from, const Messages::LedgerQuery&) const;

    /// Judges and, when granted, records a claim. `from` is the host that will dispatch.
    LedgerVerdict claim(WallTime now, const HostId& from, const Messages::ClaimRequest&);

    /// What this host would say, without recording anything.
    LedgerVerdict look(WallTime now, const Messages::ClaimKey&, std::uint64_t bodyHash) const;

    void finish(const Messages::ClaimKey&, const Answer&);
    void release(const Messages::ClaimKey&, std::uint64_t token);

    /// Takes records of another holder.
    void handover(const HostId& from, const Messages::LedgerHandover&, WallTime now);

    /// True when this host is a holder of the pool and its memory of it is whole.
    bool vouchesFor(const std::string& pool) const;

    /// Since when keys of the pool can be vouched for; nothing while records are being gathered.
    std::optional<WallTime> recordsCompleteSince(const std::string& pool) const;

    /// Drops records past their retention.
    void prune(WallTime now);

    std::size_t records() const { return m_entries.size(); }

private:
    struct PoolMemory {
        std::optional<WallTime> vouchSince; ///< Set while this host keeps the whole record.
        std::optional<WallTime> offered; ///< What it kept when the present view began, for new holders.
        std::set<HostId> awaited; ///< Members that haven't handed over yet.
        std::optional<WallTime> bestOffer; ///< Oldest memory among the hand-overs so far.
    };

    void changeMemory(WallTime now, const std::string& pool, bool continuous, const std::vector<HostId>& oldHolders);
    void settleMemory(WallTime now, PoolMemory&) const;
    bool isHolder(const std::string& pool) const;
    bool sameClaimant(const LedgerEntry&, const HostId& from, std::uint64_t token) const;
    LedgerVerdict verdictOf(const LedgerEntry&, std::uint64_t bodyHash) const;
    bool isTooOld(WallTime now, const Messages::ClaimKey&) const;
    void insert(const Messages::ClaimKey&, LedgerEntry);
    void holdAnswer(const Messages::ClaimKey&, LedgerEntry&, const Answer&);
    void dropOldestAnswers();

    HostId m_self;
    RequestLimits m_limits;
    RequestGuards m_guards;
    LedgerView m_view;
    bool m_hasView = false;
    std::map<Messages::ClaimKey, LedgerEntry> m_entries;
    std::multimap<WallTime, Messages::ClaimKey> m_byIssue;
    std::deque<Messages::ClaimKey> m_answerOrder;
    std::size_t m_answerBytes = 0;
    std::map<std::string, PoolMemory> m_memories;
};

} // namespace Decision
