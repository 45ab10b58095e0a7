#pragma once

/// Which machines move between pools. Answers the load pattern in which each pool in its turn asks for more than its
/// machines hold while the others idle: idle machines go to where tasks wait, ahead of a peak that is expected, and are
/// switched off (moved to a standby pool) when none is in sight. No I/O, no clock.

#include "Jobs/Fleet/PeakForecast.h"
#include "Jobs/Fleet/WaveRun.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Jobs {

/// A machine to move.
struct MachineMove {
    std::string machine;
    std::string pool;
};

/// A pool as the planner sees it.
struct PoolView {
    PoolLoad load;
    bool isStandby = false;
    bool hasReported = false; ///< Its owner has reported; always so for a standby pool.
};

/// Keeps what is under way from one step to the next.
class MovePlanner {
public:
    explicit MovePlanner(milliseconds moveTime);

    /// Learns the pools' demand and chooses moves. The machines are to be vacated (all are idle), then moved once
    /// readyMoves() names them. Machines in `excluded` are left alone.
    void plan(const std::map<std::string, PoolView>&, const std::map<std::string, MachineView>&, const std::set<std::string>& excluded, Instant now);
    /// Machines that take no new tasks.
    std::set<std::string> cordon() const;
    /// Moves whose machine is empty and cordoned, or off.
    std::vector<MachineMove> readyMoves(const std::map<std::string, MachineView>&) const;
    void markOrdered(const std::string& machine, Instant now);
    /// Gives the plans up that aren't ordered: none may be.
    void cancelUnsent();
    /// How the order ended; `isDone` when it was carried out.
    void onOrderAnswer(const std::string& machine, bool isDone, Instant now);

private:
    struct Plan {
        std::string pool;
        Instant plannedAt {};
        bool isOrdered = false;
        Instant arrivesAt {}; ///< Of one carried out.
    };

    struct Need {
        double machines = 0; ///< Wanted for the demand there is or is expected.
        unsigned present = 0; ///< In the pool, or on the way.
        std::vector<std::string> idle; ///< That could leave.
    };

    std::map<std::string, Need> needs(const std::map<std::string, PoolView>&, const std::map<std::string, MachineView>&, const std::set<std::string>& excluded, Instant now);
    void forgetOld(const std::map<std::string, MachineView>&, Instant now);
    void fill(std::map<std::string, Need>&, const std::map<std::string, PoolView>&, Instant now);
    void switchOff(std::map<std::string, Need>&, const std::map<std::string, PoolView>&, Instant now);

    milliseconds m_moveTime;
    PeakForecast m_forecast;
    std::map<std::string, Plan> m_plans; ///< By machine.
    std::map<std::string, Instant> m_idleSince; ///< By machine.
};

} // namespace Jobs
