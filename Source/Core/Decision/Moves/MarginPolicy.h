#pragma once

/// Moves hosts between the pools of one data centre: to a pool that is short of hosts during a peak, and back once keeping
/// them idle costs more than returning them.

#include "Common/Result.h"
#include "Common/Time.h"
#include "Decision/Moves/LoadForecast.h"
#include "Decision/Moves/MoveError.h"
#include "Decision/Waves/BudgetLedger.h"
#include "Decision/Waves/HostDecisions.h"

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Decision {

/// Settings of the policy. The weights are relative to each other.
struct MarginSettings {
    double bufferCostWeight = 1; ///< Cost of an idle host-second.
    double rollOutTimeWeight = 1; ///< Cost of a second of roll-out.
    double moveCostWeight = 1; ///< Cost of a host-second lost to a move.
    std::chrono::milliseconds moveTime { 3000 }; ///< Duration of a move: drain wait and two compare-and-swap rounds.
    std::chrono::milliseconds tolerableWait { 1000 }; ///< Queueing delay that deadlines allow; a shorter delay triggers no move.
    double keepFactor = 2; ///< Factor on the idle time that costs as much as one move; 2 for a move there and back.
    double headroom = 1.0; ///< Factor on the load outside peaks.
    double peakShare = 0.75; ///< Share of the load during a peak that is served without queueing; the rest queues within its deadlines.
    std::chrono::milliseconds clearTime { 16000 }; ///< Time within which a queue beyond the tolerable wait is cleared.
    ForecastSettings forecast;
};

/// Load of one pool, as reported by its owner.
struct PoolDemand {
    std::string pool;
    bool spare = false; ///< The pool only provides hosts for others and is never short itself.
    double offeredSlots = 0; ///< Arriving work, in slot-seconds per second.
    double queuedSlotSeconds = 0; ///< Expected run time of the queued work.
    unsigned slotsPerHost = 8;
    unsigned minimumHosts = 0;
};

/// Input of one step of the policy.
struct MoveInput {
    const FleetView& view;
    const BudgetLedger& ledger;
    std::vector<PoolDemand> demands;
    std::vector<MoveHost> inFlight; ///< Moves started and not yet complete.
    std::vector<MoveHost> loans; ///< Moves requested by the waves; loaned hosts aren't moved again by the policy.
    std::set<std::string> rebootDue; ///< Hosts that a wave has yet to reboot.
};

/// Number of hosts that a pool needs and keeps.
struct PoolMargin {
    unsigned needed = 0; ///< For the current load and queue.
    unsigned held = 0; ///< Highest value of `needed` within the keep time.
};

/// Returns a host once it has been idle for as long as a move there and back costs (the ski-rental rule). This costs at most
/// twice as much as the optimal policy with knowledge of the future.
class MarginPolicy {
public:
    /// Fails when a weight or the move time isn't greater than zero.
    static Common::Result<std::unique_ptr<MarginPolicy>, MoveError> create(MarginSettings);
    ~MarginPolicy();

    /// Returns the moves to start now. Called about once a second.
    std::vector<MoveHost> decide(Common::Instant now, const MoveInput&);

    /// Minimum number of hosts by pool that waves must leave in service. When roll-out time weighs more than buffer cost, this
    /// is only what the current load needs; otherwise all held hosts.
    std::map<std::string, unsigned> loadFloors() const;

    /// Margins by pool as of the last decide().
    std::map<std::string, PoolMargin> margins() const;

    /// How long an idle host is kept in its pool.
    std::chrono::milliseconds keepTime() const;

private:
    struct Private;
    explicit MarginPolicy(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_private;
};

} // namespace Decision
