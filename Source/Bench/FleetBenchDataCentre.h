#pragma once

/// State of the modelled data centre and the steps of one second.

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

/// A host in the model.
struct ModelHost {
    HostView view;
    std::string movingTo; ///< Empty unless between two pools.
    Instant moveEnds {};
    Instant idleAt {};
    Instant upAt {};
    bool up = true;
    bool failed = false; ///< Down by a seeded failure rather than by the wave.
};

/// A pool's queue, oldest work first.
struct ModelPool {
    std::string name;
    bool spare = false;
    unsigned minimumHosts = 0; ///< That the budget leaves it, the loss of one more rack included.
    std::vector<double> trace;
    std::deque<std::pair<std::size_t, double>> queue; // arrival second, slot-seconds
    double served = 0; // in the last second
    double late = 0; // in the last second
};

class Model {
public:
    explicit Model(const RunSettings&);
    RunFigures run();

private:
    void addPools();
    void giveFixedMargin();
    void createPlanners();
    void breakThings();
    void finishMoves();
    void advanceHosts();
    void serve(std::size_t second);
    void servePool(ModelPool&, std::size_t second);
    void decideMoves();
    void startMoves();
    void runWave();
    void carryOut(const WaveDecision&);
    void settleStore(const std::vector<PlatformAction>&);
    void releaseMove(const std::string&);
    void count();
    void countBudget(const ModelPool&);
    void countPools();
    ModelHost& host(const std::string& name);
    bool isSpare(const std::string& pool) const;
    FleetView view(bool withFloors) const;
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
    std::vector<MoveHost> m_ordered; ///< Waiting for their reservation.
    std::vector<LedgerChange> m_releases;
    unsigned m_racks = 0;
    Instant m_now {};
    RunFigures m_figures;
};

} // namespace FleetBench
