#pragma once

/// Orders for machines whose latest attempt got no answer, so that they may have been carried out. Does no I/O and reads no clock.

#include "Jobs/Fleet/WaveRun.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Jobs {

/// An order for a machine: a move to a pool, or the maintenance of a wave.
struct UnansweredOrder {
    std::string machine;
    std::string pool; ///< Target of a move; empty for maintenance.
    std::uint64_t wave = 0; ///< Of a maintenance.
};

/// What becomes of an unanswered order.
enum class OrderOutcome {
    Waits, ///< Runs may be on the machine, and the order may still take effect.
    Repeat, ///< Nothing runs there. An order that was carried out before gets the same answer.
    CarriedOut,
    GivenUp, ///< Isn't in effect and can no longer take effect.
};

/// Decides when unanswered orders are repeated. While one was unanswered the pool's owner may have been replaced, and its successor may
/// have placed runs before it was told of the cordon.
class UnansweredOrders {
public:
    /// What is known of the fleet.
    struct Fleet {
        const std::map<std::string, MachineView>& machines;
        const std::map<std::string, PoolLoad>& loads; ///< By pool; from owners that were told to cordon the orders' machines.
        Instant listRequestedAt {}; ///< When the machine list was requested.
    };
    struct Resolved {
        UnansweredOrder order;
        OrderOutcome outcome = OrderOutcome::Repeat;
    };

    /// Adds an order whose latest attempt ended now.
    void add(UnansweredOrder, Instant now);
    bool isEmpty() const { return m_entries.empty(); }
    /// Removes and returns the orders that don't have to wait.
    std::vector<Resolved> resolve(const Fleet&, Instant now);

private:
    struct Entry {
        UnansweredOrder order;
        Instant endedAt {};
    };

    static OrderOutcome outcomeOf(const Entry&, const Fleet&, Instant now);

    std::vector<Entry> m_entries;
};

} // namespace Jobs
