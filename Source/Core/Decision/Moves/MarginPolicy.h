#pragma once

/// Decides which hosts change pools: towards a pool that is short for a peak, and back when they are no longer worth
/// their cost. Works on one data centre.

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

/// Settings of the policy. The weights are relative: an idle host-second, a second of roll-out, a host-second lost to a move.
struct MarginSettings {
    double bufferCostWeight = 1;
    double rollOutTimeWeight = 1;
    double moveCostWeight = 1;
    std::chrono::milliseconds moveTime { 3000 }; ///< Drain wait and two compare-and-swap rounds.
    std::chrono::milliseconds tolerableWait { 1000 }; ///< Queueing that deadlines allow; a shorter one is no reason to move.
    double keepFactor = 2; ///< Idle time that a host is kept, in moves weighed against idle time.
    double headroom = 1.0; ///< Hosts are asked for as if the load were this much higher.
    double peakShare = 0.75; ///< Of a peak's load that is served as it comes; the rest waits its turn within the deadlines.
    std::chrono::milliseconds clearTime { 16000 }; ///< In which a queue beyond the tolerable wait is to be worked off.
    ForecastSettings forecast;
};

/// Load of one pool as its queue owner reports it.
struct PoolDemand {
    std::string pool;
    bool spare = false; ///< Gives hosts, and is never short.
    double offeredSlots = 0; ///< Work that arrives, in slot-seconds a second.
    double queuedSlotSeconds = 0;
    unsigned slotsPerHost = 8;
    unsigned minimumHosts = 0;
};

/// What the policy looks at in one step.
struct MoveInput {
    const FleetView& view;
    const BudgetLedger& ledger;
    std::vector<PoolDemand> demands;
    std::vector<MoveHost> inFlight; ///< Moves ordered and not yet complete.
    std::vector<MoveHost> loans; ///< Of the waves; a loan isn't sent home.
    std::set<std::string> rebootDue; ///< Hosts that a wave is still to reboot.
};

/// Hosts that a pool holds and needs.
struct PoolMargin {
    unsigned needed = 0; ///< For the load now and its queue.
    unsigned held = 0; ///< The highest need within the keep time.
};

/// Gives back a host once it has stood idle for as long as a move there and back costs (the ski-rental rule), which
/// costs at most twice what a policy with foresight pays.
class MarginPolicy {
public:
    static Common::Result<std::unique_ptr<MarginPolicy>, MoveError> create(MarginSettings);
    ~MarginPolicy();

    /// One step, once a second or so.
    std::vector<MoveHost> decide(Common::Instant now, const MoveInput&);

    /// Hosts below which a wave must not take a pool. When roll-out time weighs more than buffer cost, only the need of
    /// the moment is kept from the wave; else also what is held.
    std::map<std::string, unsigned> loadFloors() const;
    std::map<std::string, PoolMargin> margins() const;
    /// How long a host without use is kept.
    std::chrono::milliseconds keepTime() const;

private:
    struct Private;
    explicit MarginPolicy(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_private;
};

} // namespace Decision
