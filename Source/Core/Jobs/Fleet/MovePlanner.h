#pragma once

/// Plans moves of machines between pools, for loads in which the pools peak one after the other while the others are idle.
/// Idle machines move to pools whose tasks wait, then to the one whose peak is expected, and to a standby pool, where they are switched
/// off, when no peak that needs them is near. Does no I/O and reads no clock.

#include "Jobs/Fleet/BoundedShare.h"
#include "Jobs/Fleet/DemandTrend.h"
#include "Jobs/Fleet/MoveTimes.h"
#include "Jobs/Fleet/PeakForecast.h"
#include "Jobs/Fleet/PoolReserve.h"
#include "Jobs/Fleet/WaveRun.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Jobs {

/// A move of a machine to the pool named.
struct MachineMove {
    std::string machine;
    std::string pool;
};

/// Input of the planner about a pool.
struct PoolView {
    PoolLoad load;
    bool isStandby = false;
    bool hasReported = false; ///< The pool's owner has reported its load. Not needed for a standby pool.
};

/// Plans moves. The holder of the fleet duty calls plan() at each step, orders the moves of readyMoves(), and reports what became
/// of them by markOrdered() and onOrderAnswer().
class MovePlanner {
public:
    /// `moveTime` is how long a machine is unavailable during a move.
    explicit MovePlanner(milliseconds moveTime);

    /// Updates the forecast with the pools' demand; plan() does that itself.
    void observe(const std::map<std::string, PoolView>&, Instant now);
    /// Updates the forecast with the pools' demand and plans moves of idle machines. Cordon the machines of cordon(), then move them
    /// once readyMoves() returns them. No moves are planned for the machines in `excluded`.
    void plan(const std::map<std::string, PoolView>&, const std::map<std::string, MachineView>&, const std::set<std::string>& excluded, Instant now);
    /// Machines with a planned or ordered move, which must get no new tasks.
    std::set<std::string> cordon() const;
    /// Planned moves that can be ordered now, as the machine is switched off, or cordoned and empty.
    std::vector<MachineMove> readyMoves(const std::map<std::string, MachineView>&) const;
    /// Notes that the move of the machine was ordered; onOrderAnswer() has to follow.
    void markOrdered(const std::string& machine, Instant now);
    /// Drops the plans that haven't been ordered, while no orders may be sent.
    void cancelUnsent();
    /// Handles the result of an order; `isDone` when the move was carried out. Otherwise the plan is dropped.
    void onOrderAnswer(const std::string& machine, bool isDone, Instant now);
    PeakForecast& forecast() { return m_forecast; }

private:
    using Machines = std::map<std::string, MachineView>;

    struct Plan {
        std::string pool;
        Instant plannedAt {};
        bool isOrdered = false;
        Instant arrivesAt {}; ///< When a move that was carried out is complete; zero before.
    };

    /// What a pool needs of the machines that have a label, are on a rack and are large enough.
    struct KindNeed {
        WorkerDemand demand;
        double machines = 0;
        unsigned present = 0; ///< Those that take tasks, are on the way, or were lost a short time ago.
        DemandTier tier = DemandTier::InTime; ///< That needs them; `machines` includes the need of the tiers before it.
        bool isUnmet = false; ///< No machine can be had for it.

        double shortage() const { return machines - present; }
        bool isServedBy(const Machine&) const;
    };

    struct Need {
        std::array<double, demandTiers.size()> machines {}; ///< Needed for cores and memory, up to each tier.
        double forPeak = 0; ///< Needed for an expected peak that begins soon, or for one that rises.
        unsigned present = 0; ///< In the pool or on the way to it.
        unsigned busy = 0; ///< In the pool, with runs.
        double reserve = 0; ///< Machines that only waiting work in time may take, and tasks that not every worker can take.
        bool waitsInTime = false; ///< Work waits that can still be in time.
        unsigned returning = 0; ///< Lost a short time ago; only counted in pools with bounded sources.
        bool countsReturning = false;
        std::vector<const Machines::value_type*> idle; ///< Machines that could be moved away.
        std::vector<const Machines::value_type*> held; ///< Busy machines without lasting tasks, of a pool with bounded sources, those with the most runs first.
        std::vector<KindNeed> kinds; ///< For tasks that not every worker can take.
        bool isUnmet = false; ///< No machine can be had for cores and memory.

        double shortage(DemandTier tier) const { return machines[static_cast<std::size_t>(tier)] - present; }
        /// The same as far as machines that return don't serve it.
        double lack(DemandTier tier) const { return shortage(tier) - returning; }
        /// True when the pool has enough for the work up to the tier without the machine, and keeps `least` machines.
        bool canSpare(const Machine&, DemandTier, double least) const;
        /// A machine comes (1) or leaves (-1).
        void count(const Machine&, int change);
    };

    /// A need that machines are to be moved for.
    struct Shortage {
        Need* need = nullptr; ///< Null for none.
        KindNeed* kind = nullptr; ///< Null when any machine serves.
        std::string pool;
        double machines = 0;
        DemandTier tier = DemandTier::InTime;
    };

    /// True when a pool other than the named one lacks machines for work that isn't bounded.
    static bool isOtherShort(const std::map<std::string, Need>&, const std::map<std::string, PoolView>&, const std::string& pool);

    /// An idle machine of a pool.
    struct IdleMachine {
        Need* need = nullptr;
        std::size_t index = 0; ///< In the pool's idle machines.
        bool isOff = false;
    };

    /// Converts a demand for cores and memory to machines of the fleet's average size.
    struct MachineMeasure {
        double milliCores = 1;
        double memoryMb = 0;

        double machinesFor(double demandedMilliCores, double demandedMemoryMb) const;
    };

    /// The expected peak, if it is at most `notice` until machines have to move there. Nothing once it is overdue.
    std::optional<ExpectedPeak> peakWithin(milliseconds notice, Instant now) const;
    static Shortage largestShortage(std::map<std::string, Need>&, const std::map<std::string, PoolView>&, DemandTier);
    static BoundedShare::Pools sharesOf(const std::map<std::string, Need>&, const std::map<std::string, PoolView>&);
    /// Plans to empty and move a busy machine of a pool with bounded sources that has more than its share. False when there is none.
    bool planReclaim(std::map<std::string, Need>&, const Shortage&, const std::map<std::string, PoolView>&, Instant now);
    static IdleMachine chooseDonor(std::map<std::string, Need>&, const Shortage&, const std::map<std::string, PoolView>&);
    static void addKinds(Need&, const std::vector<WorkerDemand>&, DemandTier, const MachineMeasure&);
    void countMachines(std::map<std::string, Need>&, const Machines&, const std::set<std::string>& excluded, Instant now);
    /// True when the machine counts as one of its pool's for tasks that not every worker can take.
    bool isAvailable(const std::string& name, const MachineView&, const std::set<std::string>& excluded, Instant now);
    std::map<std::string, Need> computeNeeds(const std::map<std::string, PoolView>&, const std::map<std::string, MachineView>&, const std::set<std::string>& excluded, Instant now);
    void removeExpiredPlans(const std::map<std::string, MachineView>&, Instant now);
    void planTransfers(std::map<std::string, Need>&, const std::map<std::string, PoolView>&, DemandTier, Instant now);
    void planSwitchOffs(std::map<std::string, Need>&, const std::map<std::string, PoolView>&, Instant now);

    milliseconds m_moveTime;
    MoveTimes m_moveTimes;
    PeakForecast m_forecast;
    PoolReserve m_reserve;
    DemandTrend m_trend;
    std::map<std::string, Plan> m_plans; ///< By machine.
    std::map<std::string, Instant> m_idleSince; ///< By machine.
    std::map<std::string, Instant> m_downSince; ///< By machine.
};

} // namespace Jobs
