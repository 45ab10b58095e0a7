#pragma once

/// Progress of one maintenance wave: which of its machines are due, down and done. Does no I/O and reads no clock.

#include "Jobs/Decision/PoolCore.h"
#include "Jobs/Model/FleetTypes.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Jobs {

/// State of a machine, input for maintenance waves and moves.
struct MachineView {
    Machine machine;
    std::optional<WorkerLoad> load; ///< As reported by the pool's owner; nothing when it hasn't reported, or knows no worker on the machine.
    bool hasOwnerReported = false; ///< The pool's owner has reported recently.
    bool isOff = false; ///< Belongs to a standby pool, so that nothing runs on it.

    /// Adds the load of a worker of the machine. There may be several, while the runs of an earlier worker aren't known to have
    /// ended.
    void add(const WorkerLoad&);
};

/// Views of all machines, from the machine list (by name) and the load reports (by pool). The time grows with the number of machines, as
/// the fleet duty does this several times a second. Workers that a pool's owner still reports on a machine of another pool don't count.
std::map<std::string, MachineView> viewMachines(const std::map<std::string, Machine>&, const std::map<std::string, PoolLoad>&, const JobConfiguration&);

/// Chooses machines for maintenance with little disturbance: machines that are off or idle first, then those whose short tasks
/// have ended, and those with lasting tasks once these have moved to other machines.
class WaveRun {
public:
    /// `done` are the machines whose maintenance has begun already, as stored by an earlier holder of the fleet duty.
    WaveRun(MaintenanceWave, std::set<std::string> done);

    /// Updates and returns the machines to cordon: those to vacate (a few more than may go down now), and those that are ordered.
    std::set<std::string> chooseCordon(const std::map<std::string, MachineView>&, Instant now);
    /// Machines that are off, or cordoned and empty, and may go into maintenance now. Call it after chooseCordon().
    std::vector<std::string> chooseOrders(const std::map<std::string, MachineView>&, Instant now) const;
    /// Notes that the maintenance of the machine was ordered; one of the next two functions has to follow.
    void markOrdered(const std::string& machine, Instant now);
    /// The order was carried out, now or by an earlier attempt. The machine counts as down for `maintenanceTime` and a margin.
    void onMaintenanceStarted(const std::string& machine, Instant now, milliseconds maintenanceTime);
    /// The order is known to have had no effect; the machine is tried again after a pause.
    void onOrderRefused(const std::string& machine, Instant now);
    /// True when every machine of the wave that is still listed has begun its maintenance.
    bool isCompleted(const std::map<std::string, MachineView>&) const;

    /// Adds the machines that are down, ordered or being vacated to the set.
    void addUnavailable(std::set<std::string>&, Instant now) const;

    const MaintenanceWave& wave() const { return m_wave; }
    const std::set<std::string>& done() const { return m_done; }
    /// Number of the wave's machines that are in maintenance or ordered.
    unsigned downCount(Instant now) const;

private:
    struct Attempt {
        Instant since {}; ///< When the machine was cordoned, or its latest lasting task left.
        unsigned lastingRuns = 0;
        Instant pauseUntil {};
    };

    /// True when the machine is up and neither done nor ordered.
    bool isDue(const std::string& machine, const MachineView&) const;
    /// True when the machine could run lasting tasks if this wave didn't cordon it.
    bool canReceiveTasks(const std::string& machine, const MachineView&) const;

    MaintenanceWave m_wave;
    std::set<std::string> m_done;
    std::set<std::string> m_pendingOrders; ///< Ordered machines whose answer is outstanding.
    std::map<std::string, Instant> m_downUntil;
    std::map<std::string, Attempt> m_attempts;
    std::set<std::string> m_cordon;
};

} // namespace Jobs
