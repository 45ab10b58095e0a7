#pragma once

/// Budget and progress records of one data centre: a cache of the records in the store, and the writes that change them.
/// Every write compares the revision of each record that it changes, so that concurrent planners can't exceed a budget together.

#include "Common/Result.h"
#include "Decision/Membership/PlatformActions.h"
#include "Decision/Waves/BudgetArithmetic.h"
#include "Decision/Waves/BudgetRecord.h"
#include "Decision/Waves/WaveError.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Decision {

/// Settings of a ledger. A new ledger is created for each configuration revision.
struct LedgerSettings {
    std::string dataCentre;
    std::string holder; ///< Host and incarnation of the planner.
    std::vector<ServiceBudget> budgets; ///< Budgets of this data centre.
    WaveGuards guards;
};

/// A change to the reservation of one host.
struct LedgerChange {
    enum class Kind {
        Reserve,
        Advance, ///< Replaces the host's entry, for its next phase.
        Release,
    };
    Kind kind = Kind::Reserve;
    Reservation entry;
    std::string pool; ///< The host's pool; used by Reserve.
    std::string rack; ///< The host's rack; used if `finished` is set.
    bool finished = false; ///< Records the host as done in its wave; used by Release.
};

/// Caches the records with their revisions. At most one write is outstanding. After a write that failed or whose reply
/// was lost, all records are read again before any further write, because the write may or may not have taken effect.
class BudgetLedger {
public:
    /// Fails if the data centre or the holder is empty, or if a budget is above 100 percent.
    static Common::Result<std::unique_ptr<BudgetLedger>, WaveError> create(LedgerSettings);
    ~BudgetLedger();

    /// Returns the reads that refresh every record; nothing while a call is outstanding.
    std::vector<PlatformAction> load();
    /// True if the cache reflects the store: a read has succeeded, and no write has failed since.
    bool isLoaded() const;
    /// True while a write or a read is outstanding.
    bool isBusy() const;

    /// One entry for each reserved host.
    std::vector<Reservation> reservations() const;
    /// Names of the reserved hosts.
    std::set<std::string> reservedHosts() const;
    /// Names of the hosts that a wave has finished.
    std::set<std::string> finishedHosts(const std::string& wave) const;

    /// True if the host may be taken out of service now: every budget of its pool would still hold after the loss of one
    /// more rack, and the pool would keep the hosts that its load needs (FleetView::loadFloors).
    bool mayReserve(const FleetView&, const HostView&) const;
    /// True if a pool has fewer available hosts than its budgets require.
    bool isBelowBudget(const FleetView&, const std::string& pool) const;
    /// Available and required hosts of every pool. Reserved hosts count as unavailable.
    AvailabilityByPool availabilityByPool(const FleetView&) const;

    /// Returns one transaction with the changes, without reservations that a budget forbids and without changes beyond the
    /// size limit of a transaction. Returns nothing while the ledger is busy or not loaded. The cache follows when the
    /// store has confirmed the write.
    std::vector<PlatformAction> submit(const FleetView&, const std::vector<LedgerChange>&);
    /// Handles the reply to a call of this ledger and returns follow-up calls. Replies to other calls are ignored.
    std::vector<PlatformAction> handle(const PlatformReplied&);

private:
    struct Private;
    explicit BudgetLedger(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_private;
};

} // namespace Decision
