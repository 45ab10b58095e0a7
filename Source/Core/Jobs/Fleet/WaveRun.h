#pragma once

/// One maintenance wave: which machines are due, down and done. No I/O, no clock.

#include "Jobs/Decision/PoolCore.h"
#include "Jobs/Model/FleetTypes.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Jobs {

/// What is known of a machine that a wave may take.
struct MachineView {
    Machine machine;
    std::optional<WorkerLoad> load; ///< As its pool's owner reported it; nothing when the owner wasn't heard or knows no worker there.
    bool hasOwnerReported = false; ///< Its pool's owner has reported lately.
    bool isOff = false; ///< Of a standby pool: nothing runs there.

    /// Adds a worker of the machine: an earlier one may still be waited for beside the present one.
    void add(const WorkerLoad&);
};

/// Answers the load pattern in which each queue peaks in its turn: machines that are off or idle go first, those with
/// short tasks when these have ended, and those with lasting tasks once the tasks have moved away.
class WaveRun {
public:
    WaveRun(MaintenanceWave, std::set<std::string> done);

    /// Machines to vacate now, at most as many as may go down.
    std::set<std::string> chooseCordon(const std::map<std::string, MachineView>&, Instant now);
    /// Machines that are empty and may go into maintenance now.
    std::vector<std::string> chooseOrders(const std::map<std::string, MachineView>&, Instant now) const;
    void markOrdered(const std::string& machine, Instant now);
    /// The order was carried out (now or before).
    void onMaintenanceStarted(const std::string& machine, Instant now, milliseconds maintenanceTime);
    /// The order surely did nothing.
    void onOrderRefused(const std::string& machine, Instant now);
    /// True when every machine of the wave that is still listed has begun its maintenance.
    bool isCompleted(const std::map<std::string, MachineView>&) const;

    /// Adds the machines that are down or about to be.
    void addUnavailable(std::set<std::string>&, Instant now) const;

    const MaintenanceWave& wave() const { return m_wave; }
    const std::set<std::string>& done() const { return m_done; }
    unsigned downCount(Instant now) const;

private:
    struct Attempt {
        Instant since {}; ///< The machine was cordoned, or its latest lasting task left.
        unsigned lastingRuns = 0;
        Instant pauseUntil {};
    };

    bool isDue(const std::string& machine, const MachineView&) const;
    /// True when lasting tasks could go to the machine, unless it is cordoned by this wave.
    bool isOpen(const std::string& machine, const MachineView&) const;

    MaintenanceWave m_wave;
    std::set<std::string> m_done;
    std::set<std::string> m_underWay; ///< Ordered, without an answer yet.
    std::map<std::string, Instant> m_downUntil;
    std::map<std::string, Attempt> m_attempts;
    std::set<std::string> m_cordon;
};

} // namespace Jobs
