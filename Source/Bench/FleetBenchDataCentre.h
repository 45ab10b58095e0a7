#pragma once

/// State of the simulated data centre, and the phases of its one-second step. Private to FleetBenchModel.cpp.

#include "FleetBenchModel.h"
#include "Waves/FakeStore.h"

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace FleetBench {

using namespace Decision;
using Common::Instant;

/// A simulated host.
struct ModelHost {
    HostView view;
    std::string movingTo; ///< Target pool; empty unless the host is being moved.
    Instant moveEnds {};
    Instant idleAt {};
    Instant upAt {};
    bool up = true;
    bool failed = false; ///< Down because of an injected failure rather than the wave.
};

/// A pool with its queue of work, oldest first.
struct ModelPool {
    std::string name;
    bool spare = false;
    unsigned minimumHosts = 0; ///< Keeps the budget even if one more rack is lost.
    std::vector<double> trace;
    std::deque<std::pair<std::size_t, double>> queue; ///< Second of arrival, slot-seconds of work.
    double served = 0; ///< Slot-seconds served in the last second.
    double late = 0; ///< Slot-seconds that missed the deadline in the last second.
};

/// Runs the wave planner and the margin policy against a simulated data centre.
class Model {
public:
    explicit Model(const RunSettings&);
    RunFigures run();

private:
    void addPools();
    /// Moves 20% more hosts into each pool from the spare pool, in turn, as far as they last.
    void assignFixedMargin();
    void createPlanners();
    /// Fails one rack at 1000 s, and single hosts at random.
    void injectFailures();
    void finishMoves();
    /// Ends the failures, reboots and drains that are due.
    void advanceHosts();
    void serve(std::size_t second);
    void servePool(ModelPool&, std::size_t second);
    void decideMoves();
    void startMoves();
    void runWave();
    void carryOut(const WaveDecision&);
    /// Runs store calls, and those that the ledger makes on their replies, until none is left.
    void completeStoreCalls(const std::vector<PlatformAction>&);
    /// Queues the release of a moved host's reservation.
    void releaseMove(const std::string&);
    void countSecond();
    void countBudgetViolations(const ModelPool&);
    void countHostsInTwoPools();
    ModelHost& host(const std::string& name);
    bool isSpare(const std::string& pool) const;
    FleetView view(bool withLoadFloors) const;
    double capacity(const std::string& pool) const;
    Common::WallTime wall() const { return Common::WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch())); }

    RunSettings m_settings;
    std::mt19937_64 m_random;
    Fakes::FakeStore m_store { {}, 1 };
    std::vector<ModelHost> m_hosts;
    std::vector<ModelPool> m_pools;
    std::vector<ServiceBudget> m_budgets;
    std::unique_ptr<BudgetLedger> m_ledger;
    std::unique_ptr<WavePlanner> m_wave;
    std::unique_ptr<MarginPolicy> m_policy;
    std::vector<MoveHost> m_pendingMoves; ///< Decided, and waiting for their reservation in the ledger.
    std::vector<LedgerChange> m_pendingReleases;
    unsigned m_racks = 0;
    Instant m_now {};
    RunFigures m_figures;
};

} // namespace FleetBench
