/// Tests of machines that a pool gets, or keeps, for work that can no longer meet its objective, and for work that may crash them.

#include "Jobs/Decision/PoolCore.h"
#include "Jobs/Fleet/MovePlanner.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

const Resources capacityEach { 10000, 16000, 0 };
const std::vector<std::string> anyLabels { "small", "r-1" };

StepSpec stepOf(unsigned tasks, const Resources& need)
{
    StepSpec step;
    step.taskCount = tasks;
    step.need = need;
    step.estimate = 60s;
    return step;
}

/// The pools "desk", "rush" and "spare", a standby pool "off", jobs that wait in them, and idle machines.
class WaitingPools {
public:
    WaitingPools() { m_views["off"].isStandby = true; }

    void addLate(const std::string& pool, const StepSpec& step) { addJob(pool, step, 1ms); }
    void addInTime(const std::string& pool, const StepSpec& step) { addJob(pool, step, 1h); }

    /// Work in time of a source whose tasks crash their workers.
    void addCrashing(const std::string& pool, const StepSpec& step)
    {
        addJob(pool, step, 1h, "crashing");
        m_records[pool].emplace_back(SourceCrashesLearnt { "crashing", {}, 20000, 1000, true, at().wall });
    }

    void setDown(const std::string& machine)
    {
        m_machines.at(machine).machine.state = Machine::State::Down;
        m_machines.at(machine).load.reset();
    }

    void addMachines(const std::string& pool, unsigned count, const std::vector<std::string>& labels = anyLabels)
    {
        for (; count > 0; --count) {
            const auto name = "m-" + std::to_string(m_machines.size());
            auto& view = m_machines[name];
            view.machine = { name, pool, Machine::State::Up, {}, "dc", labels, capacityEach };
            view.isOff = pool == "off";
            if (!view.isOff)
                view.load = WorkerLoad { "w" + name, name, 0, 0, true };
        }
    }

    /// Busy cores of a pool, for the forecast of peaks.
    void setBusy(const std::string& pool, std::uint64_t milliCores) { m_busy[pool] = milliCores; }

    /// Call once, after all jobs and machines were added. A pool without machines gets one.
    void start()
    {
        for (const std::string name : { "desk", "rush", "spare" }) {
            if (std::ranges::none_of(m_machines, [&name](const auto& it) { return it.second.machine.pool == name; }))
                addMachines(name, 1);
            auto& core = m_cores.try_emplace(name, PoolLimits { 120s, 2000 }).first->second;
            core.load(m_records[name]);
            core.finishLoad(at());
            core.decide(at()); // Begins the jobs; nothing is placed without workers.
        }
        for (const auto& [name, view] : m_machines) {
            if (view.isOff)
                continue;
            WorkerEntry entry;
            entry.id = "w" + name;
            entry.machine = name;
            entry.address = "127.0.0.1:1";
            entry.capacity = capacityEach;
            entry.labels = view.machine.labels;
            entry.rack = view.machine.labels.at(1);
            m_cores.at(view.machine.pool).onWorkerListed(entry, at());
        }
    }

    /// Moves that are planned now, by machine.
    std::map<std::string, std::string> plan()
    {
        for (auto& [name, core] : m_cores) {
            m_views[name].hasReported = true;
            m_views[name].load = core.loadReport(at());
            m_views[name].load.busyMilliCores = m_busy[name];
        }
        m_planner.plan(m_views, m_machines, {}, now);
        std::map<std::string, std::string> moves;
        for (const auto& it : m_planner.readyMoves(m_machines))
            moves[it.machine] = it.pool;
        return moves;
    }

    /// Number of machines that move to the pool.
    unsigned movesTo(const std::string& pool)
    {
        unsigned count = 0;
        for (const auto& [machine, target] : plan())
            count += target == pool ? 1 : 0;
        return count;
    }

    /// The same as text.
    std::string planText()
    {
        std::string text;
        for (const auto& [machine, pool] : plan())
            text.append(text.empty() ? "" : " ").append(machine).append(":").append(pool);
        return text;
    }

    PoolLoad loadOf(const std::string& pool) const { return m_cores.at(pool).loadReport(at()); }
    Moment at() const { return { now, Common::WallTime(std::chrono::duration_cast<milliseconds>(now - Instant(1h))) }; }

    Instant now { 1h };

private:
    void addJob(const std::string& pool, const StepSpec& step, milliseconds objective, const std::string& queue = "sound")
    {
        JobAccepted accepted;
        accepted.job = std::string(15, '0') + std::to_string(m_records[pool].size());
        accepted.queue = queue;
        accepted.objective = objective;
        accepted.spec.steps.push_back(step);
        m_records[pool].emplace_back(accepted);
    }

    std::map<std::string, std::vector<JobRecord>> m_records;
    std::map<std::string, PoolCore> m_cores;
    std::map<std::string, std::uint64_t> m_busy;
    std::map<std::string, PoolView> m_views;
    std::map<std::string, MachineView> m_machines;
    MovePlanner m_planner { 1500ms };
};

} // namespace

TEST_CASE("moves: late work gets machines that are idle in other pools or switched off")
{
    for (const std::string idle : { "rush", "off" }) {
        CAPTURE(idle);
        WaitingPools pools;
        pools.addLate("desk", stepOf(12, { 2000, 500, 0 }));
        pools.addMachines("desk", 1);
        pools.addMachines(idle, 5);
        pools.start();
        CHECK(pools.movesTo("desk") == 2);
    }
}

TEST_CASE("moves: work in time goes before late work of another pool")
{
    WaitingPools pools;
    pools.addLate("desk", stepOf(50, { 2000, 500, 0 }));
    pools.addInTime("rush", stepOf(12, { 2000, 500, 0 }));
    pools.addMachines("rush", 1);
    SUBCASE("for a machine that is switched off")
    {
        pools.addMachines("off", 1);
        pools.start();
        CHECK(pools.movesTo("rush") == 1);
    }
    SUBCASE("for a machine that only late work needs")
    {
        pools.addMachines("desk", 5);
        pools.start();
        CHECK(pools.movesTo("rush") == 2);
    }
}

TEST_CASE("moves: late work that needs a label gets its machine after work in time")
{
    auto step = stepOf(1, { 2000, 500, 0 });
    step.requiredLabel = "large";
    WaitingPools pools;
    pools.addLate("desk", step);
    pools.addMachines("desk", 1);
    pools.addMachines("off", 2);
    pools.addMachines("off", 1, { "large", "r-1" });
    pools.addMachines("rush", 1);
    SUBCASE("while it waits alone")
    {
        pools.start();
        CHECK(pools.planText() == "m-3:desk");
    }
    SUBCASE("while work in time waits as well")
    {
        pools.addInTime("rush", step);
        pools.start();
        CHECK(pools.planText() == "m-3:rush");
    }
}

TEST_CASE("moves: late work that needs memory, a rack or a worker of its own gets machines although its pool has free cores")
{
    WaitingPools pools;
    SUBCASE("memory")
    {
        pools.addLate("desk", stepOf(5, { 500, 8000, 0 }));
        pools.addMachines("desk", 1);
        pools.addMachines("off", 3);
        pools.start();
        CHECK(pools.movesTo("desk") == 2);
    }
    SUBCASE("a rack")
    {
        auto step = stepOf(2, { 6000, 500, 0 });
        step.dataRack = "r-2";
        pools.addLate("desk", step);
        pools.addMachines("desk", 1, { "small", "r-2" });
        pools.addMachines("desk", 5);
        pools.addMachines("off", 2);
        pools.addMachines("off", 1, { "small", "r-2" });
        pools.start();
        CHECK(pools.planText() == "m-8:desk");
    }
    SUBCASE("one a worker")
    {
        auto step = stepOf(5, { 500, 500, 0 });
        step.maximumPerWorker = 1;
        pools.addLate("desk", step);
        pools.addMachines("desk", 2);
        pools.addMachines("off", 5);
        pools.start();
        CHECK(pools.movesTo("desk") == 3);
    }
}

TEST_CASE("moves: a pool doesn't lend to late work of another one what its own late work needs")
{
    WaitingPools pools;
    pools.addLate("desk", stepOf(25, { 2000, 500, 0 }));
    pools.addLate("rush", stepOf(100, { 2000, 500, 0 }));
    pools.addMachines("desk", 5);
    pools.addMachines("rush", 1);
    pools.start();
    CHECK(pools.planText().empty());
}

TEST_CASE("moves: machines that late work needs aren't switched off")
{
    WaitingPools pools;
    pools.addLate("desk", stepOf(25, { 2000, 500, 0 }));
    pools.addMachines("desk", 20);
    pools.addMachines("rush", 10);
    pools.addMachines("spare", 1);
    pools.start();
    unsigned most = 0;
    for (auto time = 0ms; time < 22s; time += 200ms) {
        pools.setBusy("rush", time >= 5s && time < 8s ? 100000 : 3000);
        pools.setBusy("spare", time >= 14s && time < 17s ? 100000 : 3000);
        most = std::max(most, pools.movesTo("off"));
        pools.now += 200ms;
    }
    // Of 31 machines at most two others and what the late work needs stay on.
    CHECK(most > 0);
    CHECK(most <= 31 - 2 - 6);
}

TEST_CASE("moves: first starts of a source that crashes its workers get no machine while another pool lacks one")
{
    WaitingPools pools;
    pools.addCrashing("desk", stepOf(100, { 2000, 500, 0 }));
    pools.addLate("rush", stepOf(12, { 2000, 500, 0 }));
    pools.addMachines("rush", 1);
    SUBCASE("that is switched off")
    {
        pools.addMachines("off", 1);
        pools.start();
        CHECK(pools.planText() == "m-1:rush");
    }
    SUBCASE("that is idle in their pool")
    {
        pools.addMachines("desk", 3);
        pools.start();
        CHECK(pools.movesTo("rush") == 2);
    }
}

TEST_CASE("moves: first starts of a source that crashes its workers get machines that nothing else needs")
{
    WaitingPools pools;
    pools.addCrashing("desk", stepOf(12, { 2000, 500, 0 }));
    pools.addMachines("desk", 1);
    pools.addMachines("off", 5);
    pools.start();
    CHECK(pools.movesTo("desk") == 2);
    CHECK(pools.loadOf("desk").waitingMilliCores == 24000);
    CHECK(pools.loadOf("desk").bounded.milliCores == 24000);
}

TEST_CASE("moves: first starts of a source that crashes its workers aren't kept waiting by a need that no machine can serve")
{
    auto unmet = stepOf(1, { 2000, 500, 0 });
    unmet.requiredLabel = "missing";
    WaitingPools pools;
    pools.addCrashing("desk", stepOf(12, { 2000, 500, 0 }));
    pools.addInTime("rush", unmet);
    pools.addMachines("desk", 1);
    pools.addMachines("rush", 1);
    pools.addMachines("off", 5);
    pools.start();
    CHECK(pools.movesTo("desk") == 2);
}

TEST_CASE("moves: other work of a pool with a source that crashes its workers gets machines as ever")
{
    auto lasting = stepOf(12, { 2000, 500, 0 });
    SUBCASE("of another source") { }
    SUBCASE("lasting tasks of the same one")
    {
        lasting.isLasting = true;
    }
    WaitingPools pools;
    pools.addCrashing("desk", stepOf(100, { 2000, 500, 0 }));
    if (lasting.isLasting)
        pools.addCrashing("desk", lasting);
    else
        pools.addInTime("desk", lasting);
    pools.addLate("rush", stepOf(100, { 2000, 500, 0 }));
    pools.addMachines("off", 2);
    pools.start();
    CHECK(pools.movesTo("desk") == 2);
}

TEST_CASE("moves: machines that crashed a moment ago aren't replaced in a pool with a source that crashes its workers")
{
    WaitingPools pools;
    pools.addCrashing("desk", stepOf(1, { 2000, 500, 0 }));
    pools.addInTime("desk", stepOf(12, { 2000, 500, 0 }));
    pools.addMachines("desk", 3);
    pools.addMachines("off", 3);
    pools.start();
    pools.setDown("m-0");
    pools.setDown("m-1");
    CHECK(pools.movesTo("desk") == 0);
    pools.now += 6s;
    CHECK(pools.movesTo("desk") == 2);
}
