#pragma once

/// Claim records of non-idempotent requests. Each pool has two holders, chosen by rendezvous hash among the members of the
/// view; this host keeps the records of the pools that it is a holder of (docs/design/at-most-once.md).

#include "Decision/Requests/RequestTypes.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Decision {

/// Claim record of a key.
struct LedgerEntry {
    std::uint64_t bodyHash = 0;
    std::uint64_t token = 0; ///< Of the latest claim; the upper 32 bits hold the claimant's incarnation.
    HostId claimant; ///< Host that was granted the claim.
    bool finished = false;
    bool answerStored = false; ///< False until the request finishes, and once its answer was dropped to free memory.
    Answer answer;
};

/// Verdict of a holder.
struct LedgerVerdict {
    Messages::ClaimVerdict verdict = Messages::ClaimVerdict::StaleView;
    Answer answer; ///< Set for Finished.
};

/// Holder-side state: the claim records by key, the current view, and for each pool the time since which the records are
/// complete. Used by RequestCore; not thread-safe.
class Ledger {
public:
    Ledger(HostId self, const RequestLimits&, const RequestGuards&);

    /// The two holders of a pool in the current view; fewer when the view has fewer members.
    std::vector<HostId> holdersOf(const std::string& pool) const;
    std::uint64_t epoch() const { return m_view.epoch; }
    const LedgerView& view() const { return m_view; }

    /// Installs a view; views older than the current one are ignored. For each of `pools` that this host newly holds, the
    /// records are requested from all other members (see openQueries()). `stayedMember` means that this host was a member of
    /// every view between the previous one and this one.
    void setView(WallTime now, LedgerView, const std::vector<std::string>& pools, bool stayedMember);

    /// Queries to the members whose hand-over is outstanding. The caller sends them periodically until there are none.
    std::vector<SendPeer> openQueries() const;

    /// Hand-over messages for a member that has become a holder; empty while the views differ.
    std::vector<SendPeer> answerQuery(const HostId& from, const Messages::LedgerQuery&) const;

    /// Evaluates a claim and records it if it is granted. `from` is the host that will dispatch the request; a repeated claim
    /// of the same incarnation of that host is granted again.
    LedgerVerdict claim(WallTime now, const HostId& from, const Messages::ClaimRequest&);

    /// Evaluates a claim without recording it.
    LedgerVerdict peek(WallTime now, const Messages::ClaimKey&, std::uint64_t bodyHash) const;

    /// Marks the record as finished and stores the answer; ignored when there is no record or it is finished.
    void finish(const Messages::ClaimKey&, const Answer&);

    /// Deletes an unfinished record if it still belongs to the claim of that token.
    void release(const Messages::ClaimKey&, std::uint64_t token);

    /// Merges one part of a hand-over from another member. Parts that weren't requested, or belong to another view, are
    /// ignored.
    void handover(const HostId& from, const Messages::LedgerHandover&, WallTime now);

    /// True when this host is a holder of the pool and its records are complete.
    bool hasCompleteRecords(const std::string& pool) const;

    /// Time since which every claim of the pool has been recorded here; nullopt if this host isn't a holder or still awaits
    /// hand-overs.
    std::optional<WallTime> recordsCompleteSince(const std::string& pool) const;

    /// Drops records whose retention has passed.
    void prune(WallTime now);

    std::size_t records() const { return m_entries.size(); }

private:
    struct PoolCoverage {
        std::optional<WallTime> completeSince; ///< Set while this host is a holder and its records are complete.
        std::optional<WallTime> offeredSince; ///< Value of completeSince when the current view was installed; sent to new holders.
        std::set<HostId> awaited; ///< Members whose hand-over is outstanding.
        std::optional<WallTime> earliestOffer; ///< Earliest completeSince among the hand-overs received so far.
    };

    void updateCoverage(WallTime now, const std::string& pool, bool continuous, const std::vector<HostId>& oldHolders);
    void settleCoverage(WallTime now, PoolCoverage&) const;
    bool isHolder(const std::string& pool) const;
    bool sameClaimant(const LedgerEntry&, const HostId& from, std::uint64_t token) const;
    LedgerVerdict verdictOf(const LedgerEntry&, std::uint64_t bodyHash) const;
    bool isTooOld(WallTime now, const Messages::ClaimKey&) const;
    void insert(const Messages::ClaimKey&, LedgerEntry);
    void storeAnswer(const Messages::ClaimKey&, LedgerEntry&, const Answer&);
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
    std::map<std::string, PoolCoverage> m_coverages;
};

} // namespace Decision
