#pragma once

/// Budget and progress records of one data centre: a cache of the store and the writes that change it.
/// Every write compares the revision of each record it touches, so racing planners can't both spend the same host.

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

/// Settings of a ledger. A ledger lives as long as one configuration revision.
struct LedgerSettings {
    std::string dataCentre;
    std::string holder; ///< Host and incarnation of the planner.
    std::vector<ServiceBudget> budgets; ///< Of this data centre.
    WaveGuards guards;
};

/// A change of one reservation.
struct LedgerChange {
    enum class Kind {
        Reserve,
        Advance, ///< Replaces the entry of the host.
        Release,
    };
    Kind kind = Kind::Reserve;
    Reservation entry;
    std::string pool; ///< Of the host; used by Reserve.
    std::string rack; ///< Of the host; used when `finished` is set.
    bool finished = false; ///< The wave is done with the host; used by Release.
};

/// Holds the records and their revisions. One write is outstanding at a time. After a write that failed or whose
/// answer was lost, the records are read back and nothing else is assumed.
class BudgetLedger {
public:
    static Common::Result<std::unique_ptr<BudgetLedger>, WaveError> create(LedgerSettings);
    ~BudgetLedger();

    /// Starts to read every record afresh; nothing while a call is outstanding.
    std::vector<PlatformAction> load();
    bool isLoaded() const;
    bool isBusy() const;

    /// One entry for each reserved host.
    std::vector<Reservation> reservations() const;
    /// Names of the reserved hosts.
    std::set<std::string> reservedHosts() const;
    /// Hosts that a wave has finished.
    std::set<std::string> finished(const std::string& wave) const;

    /// True when the host may be disrupted now: every budget of its pool and its load floor hold, also after the loss of one more rack.
    bool mayReserve(const FleetView&, const HostView&) const;
    /// True when a pool has fewer hosts available than its budgets ask for.
    bool isBelowBudget(const FleetView&, const std::string& pool) const;
    /// Counts of every pool with the reserved hosts taken off, and what the budgets ask for.
    PoolStandings availabilityByPool(const FleetView&) const;

    /// Writes the changes in one transaction, leaving out reservations that a budget forbids and what exceeds the size
    /// of a transaction. Changes take effect in the cache when the store has answered.
    std::vector<PlatformAction> submit(const FleetView&, const std::vector<LedgerChange>&);
    /// Takes the reply to one of its calls; others are ignored.
    std::vector<PlatformAction> handle(const PlatformReplied&);

private:
    struct Private;
    explicit BudgetLedger(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_private;
};

} // namespace Decision
