#pragma once

/// Plans one maintenance wave in one data centre: reserves, drains, reboots, returns and releases hosts as fast as the
/// budgets allow. All decisions follow from the records in the store and the fleet view, so that a new duty holder continues
/// where the previous one stopped.

#include "Common/Result.h"
#include "Common/Time.h"
#include "Decision/Waves/BudgetLedger.h"
#include "Decision/Waves/HostDecisions.h"
#include "Objects/Types.h"

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Decision {

/// Settings of a wave planner.
struct WavePlannerSettings {
    std::string dataCentre;
    std::string holder; ///< Host and incarnation of this planner's process.
    std::set<std::string> sparePools; ///< Pools whose hosts may be lent to pools that are too small for their own maintenance.
    unsigned maximumAtOnce = 0; ///< Limit on the reserved hosts of the wave; zero for no limit other than the budgets.
    std::chrono::seconds minimumUptime { 5 }; ///< Time that a host must have been up before it is released.
    std::chrono::seconds reissueInterval { 10 }; ///< Decisions are repeated at this interval until their effect is seen.
    std::chrono::seconds reloadInterval { 30 }; ///< Records are read again at this interval, also to detect writes that took effect late.
    std::chrono::seconds stopInterval { 5 }; ///< Interval between stopping one priority and the next after the drain limit.
    unsigned lowestRank = 0; ///< Rank of the lowest configured priority, which is the highest number.
    std::chrono::seconds expectedDrain { 10 }; ///< Used by the forecast until a cycle has been measured, and to check that a cycle fits in the window.
    WaveGuards guards;
};

/// State of a wave.
enum class WaveState {
    Waiting, ///< The maintenance window hasn't started.
    Running,
    Paused, ///< Paused by the operators.
    Held, ///< No host is in progress, and the budgets allow none to be taken.
    Finished,
    WindowClosed, ///< The rest of the window is too short for another host.
};

/// Progress of the wave in the data centre, in hosts.
struct WaveProgress {
    WaveState state = WaveState::Waiting;
    unsigned total = 0;
    unsigned done = 0;
    unsigned draining = 0;
    unsigned rebooting = 0;
    unsigned returning = 0;
    unsigned overdue = 0; ///< Rebooting for more than twice the configured reboot time.
    std::optional<std::chrono::seconds> timeLeft; ///< Forecast; empty if a pool can spare no host.
};

/// Platform calls and decisions of one step.
struct WaveOutput {
    std::vector<PlatformAction> calls;
    std::vector<WaveDecision> decisions;
};

/// Planner of one wave. It acts only until the end of its duty, which the runtime extends with each renewal of the duty's lease.
class WavePlanner {
public:
    /// Fails if the wave has no name or no pool, or if the holder is empty. The ledger is shared with the other planners of
    /// the process and must outlive this planner.
    static Common::Result<std::unique_ptr<WavePlanner>, WaveError> create(WavePlannerSettings, Objects::Wave, BudgetLedger&);
    ~WavePlanner();

    /// Replaces the wave after the operators changed it, for example paused it or moved its window.
    void setWave(Objects::Wave);
    /// Sets the time from which tick() does nothing.
    void setDutyEnd(Common::Instant);

    /// Runs one step; called about once a second.
    WaveOutput tick(Common::Instant now, Common::WallTime wall, const FleetView&);

    /// Progress to report to operators.
    WaveProgress progress(Common::WallTime, const FleetView&) const;
    /// Loans of spare hosts that the wave needs, including hosts already lent. Any other borrowed host may be returned to
    /// its home pool.
    std::vector<MoveHost> loans(const FleetView&) const;
    /// True if the wave covers the host and hasn't rebooted it yet.
    bool needsReboot(const HostView&) const;

private:
    struct Private;
    explicit WavePlanner(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_private;
};

} // namespace Decision
