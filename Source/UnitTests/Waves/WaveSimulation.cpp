#include "Waves/WaveSimulation.h"

#include <algorithm>
#include <map>

namespace Fakes {

using namespace Decision;
using namespace std::chrono_literals;
using Common::Instant;

namespace {

    constexpr auto step = 1000ms;
    constexpr int stepsBetweenProgressChecks = 30;
    constexpr auto limit = 2h;
    constexpr auto dutyTime = 10s;
    constexpr auto failureDetectionTime = 5s;
    constexpr unsigned racks = 6;
    constexpr const char* dataCentre = "imlil";

    const std::vector<ServiceBudget> budgets { { "booking", "desk", 40 }, { "rosters", "desk", 60 }, { "groups", "hotels", 50 } };

    /// A planner, its ledger, and the store's replies that are queued while it is frozen.
    struct Planner {
        std::unique_ptr<BudgetLedger> ledger;
        std::unique_ptr<WavePlanner> planner;
        std::vector<PlatformReplied> waiting;
        Instant frozenUntil {};
    };

    Objects::Wave makeWave()
    {
        Objects::Wave wave;
        wave.name = "kernel";
        wave.pools = { "desk", "hotels" };
        wave.windowLength = std::chrono::duration_cast<std::chrono::seconds>(limit);
        wave.rebootTime = 120s;
        return wave;
    }

    class Simulation {
    public:
        Simulation(const WaveScenario&, std::uint64_t seed);
        WaveOutcome run();

    private:
        void addPlanner(std::size_t index);
        bool chance(double);
        void injectFaults();
        void deliver();
        void tick(std::size_t index);
        void moveDuty();
        void check();
        void checkDrains();
        Common::WallTime wall() const { return Common::WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch())); }

        WaveScenario m_scenario;
        std::mt19937_64 m_random;
        FakeStore m_store;
        FakeFleet m_fleet;
        std::vector<Planner> m_planners;
        std::map<std::string, Instant> m_lastFailure;
        Instant m_now { 1s };
        Instant m_rackBackAt {};
        std::size_t m_dutyHolder = 0;
        Instant m_dutyEnd {};
        int m_steps = 0;
        WaveOutcome m_outcome;
    };

    Simulation::Simulation(const WaveScenario& scenario, std::uint64_t seed)
        : m_scenario(scenario)
        , m_random(seed)
        , m_store(scenario.store, seed + 1)
        , m_fleet(m_store, dataCentre, seed + 2)
    {
        m_fleet.addPool("desk", 12, racks);
        m_fleet.addPool("hotels", 9, racks);
        m_fleet.setChecksReservation(scenario.guards.reserveBeforeDrain);
        m_fleet.setUnknownShare(scenario.unknownShare);
        for (std::size_t i = 0; i < scenario.planners; ++i)
            addPlanner(i);
    }

    void Simulation::addPlanner(std::size_t index)
    {
        const auto holder = "entry-" + std::to_string(index);
        Planner planner;
        planner.ledger = BudgetLedger::create({ dataCentre, holder, budgets, m_scenario.guards }).take();
        WavePlannerSettings settings;
        settings.dataCentre = dataCentre;
        settings.holder = holder;
        settings.guards = m_scenario.guards;
        planner.planner = WavePlanner::create(settings, makeWave(), *planner.ledger).take();
        if (!m_scenario.dutyMoves)
            planner.planner->setDutyEnd(Instant::max());
        m_planners.push_back(std::move(planner));
    }

    bool Simulation::chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
    }

    void Simulation::injectFaults()
    {
        if (m_now.time_since_epoch() > m_scenario.failuresEnd) {
            m_fleet.setUnknownShare(0);
            m_store.setFaults({});
            return;
        }
        if (m_now > m_rackBackAt && chance(m_scenario.rackFailureChance)) {
            m_rackBackAt = m_now + m_scenario.failureTime;
            m_fleet.failRack("rack-" + std::to_string(m_random() % racks), m_rackBackAt);
            m_lastFailure["desk"] = m_lastFailure["hotels"] = m_now;
        }
        if (chance(m_scenario.hostFailureChance)) {
            const auto& host = m_fleet.hosts()[m_random() % m_fleet.hosts().size()].view;
            m_lastFailure[host.pool] = m_now;
            m_fleet.fail(host.name, m_now + m_scenario.failureTime);
        }
        for (auto& it : m_planners) {
            if (it.frozenUntil <= m_now && chance(m_scenario.freezeChance))
                it.frozenUntil = m_now + std::chrono::seconds(m_random() % 60);
        }
    }

    void Simulation::deliver()
    {
        for (auto& reply : m_store.advance(m_now))
            m_planners[reply.client].waiting.push_back(reply.event);
        for (std::size_t i = 0; i < m_planners.size(); ++i) {
            auto& planner = m_planners[i];
            if (planner.frozenUntil > m_now)
                continue;
            for (const auto& event : std::exchange(planner.waiting, {})) {
                for (const auto& call : planner.ledger->handle(event))
                    m_store.call(i, call, m_now);
            }
        }
    }

    void Simulation::moveDuty()
    {
        if (!m_scenario.dutyMoves)
            return;
        auto* holder = &m_planners[m_dutyHolder];
        if (holder->frozenUntil <= m_now)
            m_dutyEnd = m_now + dutyTime;
        else if (m_now >= m_dutyEnd) {
            m_dutyHolder = (m_dutyHolder + 1) % m_planners.size();
            m_dutyEnd = m_now + dutyTime;
        }
        holder = &m_planners[m_dutyHolder];
        if (holder->frozenUntil <= m_now)
            holder->planner->setDutyEnd(m_dutyEnd);
    }

    void Simulation::tick(std::size_t index)
    {
        auto& planner = m_planners[index];
        if (planner.frozenUntil > m_now || chance(0.3))
            return;
        const auto output = planner.planner->tick(m_now, wall(), m_fleet.view());
        for (const auto& call : output.calls)
            m_store.call(index, call, m_now);
        for (const auto& decision : output.decisions)
            m_fleet.execute(decision, m_now);
    }

    void Simulation::checkDrains()
    {
        for (const auto& drain : m_fleet.takeDrains()) {
            ++m_outcome.drains;
            const auto required = requiredOfPool(drain.pool, m_fleet.published(drain.pool), budgets);
            const auto it = m_lastFailure.find(drain.pool);
            const bool known = it == m_lastFailure.end() || m_now - it->second > failureDetectionTime;
            m_outcome.drainsWhileBelow += known && m_fleet.available(drain.pool) < required;
        }
    }

    void Simulation::check()
    {
        checkDrains();
        for (const auto* pool : { "desk", "hotels" }) {
            const auto required = requiredOfPool(pool, m_fleet.published(pool), budgets);
            const bool onlyRacksFail = m_scenario.hostFailureChance == 0;
            m_outcome.belowBudget += onlyRacksFail && m_fleet.available(pool) < required;
            m_outcome.overcommitted += m_lastFailure.empty() && m_fleet.availableAfterWorstRack(pool) < required;
        }
    }

    WaveOutcome Simulation::run()
    {
        while (m_now.time_since_epoch() < limit && !m_outcome.finished) {
            m_now += step;
            injectFaults();
            m_fleet.advance(m_now);
            deliver();
            moveDuty();
            for (std::size_t i = 0; i < m_planners.size(); ++i)
                tick(i);
            check();
            if (++m_steps % stepsBetweenProgressChecks)
                continue;
            const auto& planner = m_planners[m_dutyHolder];
            const auto progress = planner.planner->progress(wall(), m_fleet.view());
            m_outcome.finished = planner.ledger->isLoaded() && progress.state == WaveState::Finished;
        }
        for (const auto& host : m_fleet.hosts())
            m_outcome.rebootedTwice += host.reboots > 1;
        m_outcome.duration = std::chrono::duration_cast<std::chrono::seconds>(m_now.time_since_epoch());
        return m_outcome;
    }

} // namespace

WaveOutcome runWave(const WaveScenario& scenario, std::uint64_t seed)
{
    return Simulation(scenario, seed).run();
}

} // namespace Fakes
