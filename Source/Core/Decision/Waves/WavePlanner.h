#pragma once

/// Plans one maintenance wave in one data centre: reserve, drain, reboot, return, release, as fast as the budgets allow.
/// All state is derived from the store's records and the fleet view, so a new duty holder carries on where the old one was.

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

/// Settings of a planner.
struct WavePlannerSettings {
    std::string dataCentre;
    std::string holder;
    std::set<std::string> sparePools; ///< Their hosts may be lent to pools too small for their own maintenance.
    unsigned maximumAtOnce = 0; ///< Hosts of the wave that may be reserved together; zero for no limit but the budgets.
    std::chrono::seconds healthySettle { 5 }; ///< A host must have been up this long before it is released.
    std::chrono::seconds reissueInterval { 10 }; ///< Decisions are repeated until their effect is seen.
    std::chrono::seconds reloadInterval { 30 }; ///< Records are read afresh, also to find writes that landed late.
    std::chrono::seconds stopInterval { 5 }; ///< Between two priorities whose tasks are stopped past the drain limit.
    unsigned lowestRank = 0; ///< Of the configured priorities: the highest number.
    std::chrono::seconds expectedDrain { 10 }; ///< For the forecast until cycles have been measured.
    WaveGuards guards;
};

/// What the wave is doing.
enum class WaveState {
    Waiting, ///< Its window has not begun.
    Running,
    Paused, ///< By the operators.
    Held, ///< Nothing is in progress and the budgets allow nothing.
    Finished,
    WindowClosed,
};

/// Counters of the wave in the data centre.
struct WaveProgress {
    WaveState state = WaveState::Waiting;
    unsigned total = 0;
    unsigned done = 0;
    unsigned draining = 0;
    unsigned rebooting = 0;
    unsigned returning = 0;
    unsigned overdue = 0; ///< Rebooting for more than twice the stated time.
    std::optional<std::chrono::seconds> timeLeft; ///< Forecast; nothing when no end can be seen.
};

/// Actions of one step.
struct WaveOutput {
    std::vector<PlatformAction> calls;
    std::vector<WaveDecision> decisions;
};

/// Acts only until the end of its duty; the runtime moves that end on with the duty's lease.
class WavePlanner {
public:
    /// The ledger is shared with other planners of the process and must outlive this one.
    static Common::Result<std::unique_ptr<WavePlanner>, WaveError> create(WavePlannerSettings, Objects::Wave, BudgetLedger&);
    ~WavePlanner();

    /// Takes an edited object: pause, resume, other window.
    void setWave(Objects::Wave);
    void setDutyEnd(Common::Instant);

    /// One step, once a second or so.
    WaveOutput tick(Common::Instant now, Common::WallTime wall, const FleetView&);

    WaveProgress progress(Common::WallTime, const FleetView&) const;
    /// Spare hosts that the wave needs lent, those already lent included. Any other guest may be sent home.
    std::vector<MoveHost> loans(const FleetView&) const;
    /// True when the host still has its reboot before it.
    bool needsReboot(const HostView&) const;

private:
    struct Private;
    explicit WavePlanner(std::unique_ptr<Private>);
    std::unique_ptr<Private> m_private;
};

} // namespace Decision
