/// Tests of machines that a pool gets, or keeps, for tasks that not every worker can take.

#include "Jobs/Decision/PoolCore.h"
#include "Jobs/Fleet/MovePlanner.h"

#include <doctest/doctest.h>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

const JobId demandingJob = "00000000000000aa";
const Resources capacityEach { 10000, 16000, 0 };

StepSpec lastingStep(unsigned tasks, const Resources& need)
{
    StepSpec step;
    step.taskCount = tasks;
    step.need = need;
    step.isLasting = true;
    return step;
}

/// The pool "desk", whose machines and one job's placed tasks are given, and the machines of other pools.
class DemandingPool {
public:
    /// `workers` are the numbers of the workers that the first tasks are placed on; the others wait, and all tasks of other steps.
    DemandingPool(const StepSpec& step, const std::vector<unsigned>& workers, const std::vector<StepSpec>& otherSteps = {})
    {
        JobAccepted accepted;
        accepted.job = demandingJob;
        accepted.queue = "bookings";
        accepted.objective = 1h;
        accepted.spec.steps.push_back(step);
        accepted.spec.steps.insert(accepted.spec.steps.end(), otherSteps.begin(), otherSteps.end());
        std::vector<JobRecord> records { accepted };
        for (unsigned n = 0; n < workers.size(); ++n)
            records.emplace_back(RunStarted { { demandingJob, 0, 0, n }, 1, nameOfWorker(workers[n]) });
        core.load(records);
        core.finishLoad(at());
        m_configuration.pools = { { "desk", false, false }, { "off", true, false } };
    }

    void addMachines(unsigned count, const std::vector<std::string>& labels = { "small", "r-1" })
    {
        for (; count > 0; --count) {
            const auto number = m_workers++;
            WorkerEntry entry;
            entry.id = nameOfWorker(number);
            entry.machine = nameOfMachine(number);
            entry.address = "127.0.0.1:1";
            entry.capacity = capacityEach;
            entry.labels = labels;
            entry.rack = labels.at(1);
            core.onWorkerListed(entry, at());
            addMachine(entry.machine, "desk", labels);
        }
    }

    /// Machines whose workers have crashed.
    void addDownMachines(unsigned count)
    {
        for (; count > 0; --count)
            addMachine(nameOfMachine(m_workers++), "desk", { "small", "r-1" }, Machine::State::Down);
    }

    void addMachine(const std::string& name, const std::string& pool, const std::vector<std::string>& labels = { "small", "r-1" }, Machine::State state = Machine::State::Up)
    {
        m_machines[name] = { name, pool, state, {}, "dc", labels, capacityEach };
    }

    /// A pool whose tasks need all machines that it can get.
    void addShortPool() { m_configuration.pools.push_back({ "rush", false, false }); }

    /// The machines that are to be moved.
    std::set<std::string> plan()
    {
        std::map<std::string, PoolLoad> loads { { "desk", core.loadReport(at()) } };
        if (m_configuration.findPool("rush"))
            loads["rush"].waitingMilliCores = 100 * capacityEach.milliCores;
        std::map<std::string, PoolView> pools;
        for (const auto& it : m_configuration.pools)
            pools[it.name] = { loads[it.name], it.isStandby, !it.isStandby };
        planner.plan(pools, viewMachines(m_machines, loads, m_configuration), {}, now);
        return planner.cordon();
    }

    static std::string nameOfWorker(unsigned n) { return "w-" + std::to_string(n); }
    static std::string nameOfMachine(unsigned n) { return "m-" + std::to_string(n); }
    Moment at() const { return { now, Common::WallTime(std::chrono::duration_cast<milliseconds>(now - Instant(1h))) }; }

    PoolCore core { PoolLimits { 120s, 2000 } };
    MovePlanner planner { 1500ms };
    Instant now { 1h };

private:
    JobConfiguration m_configuration;
    std::map<std::string, Machine> m_machines;
    unsigned m_workers = 0;
};

std::vector<unsigned> numbersBelow(unsigned count)
{
    std::vector<unsigned> numbers;
    for (unsigned n = 0; n < count; ++n)
        numbers.push_back(n);
    return numbers;
}

StepSpec stepOfOneAWorker()
{
    auto step = lastingStep(21, { 500, 500, 0 });
    step.maximumPerWorker = 1;
    return step;
}

} // namespace

TEST_CASE("moves: a step that takes one task a worker gets machines although its pool has free cores")
{
    DemandingPool pool(stepOfOneAWorker(), numbersBelow(18));
    pool.addMachines(18);
    for (const std::string name : { "s-0", "s-1", "s-2", "s-3", "s-4" })
        pool.addMachine(name, "off");
    CHECK(pool.plan().size() == 3);
    pool.now += 200ms;
    CHECK(pool.plan().size() == 3);
}

TEST_CASE("moves: machines that were lost seconds ago aren't replaced, and those that stay away are")
{
    DemandingPool pool(stepOfOneAWorker(), numbersBelow(18));
    pool.addMachines(18);
    pool.addDownMachines(3);
    for (const std::string name : { "s-0", "s-1", "s-2", "s-3", "s-4" })
        pool.addMachine(name, "off");
    for (auto time = 0ms; time < 3s; time += 200ms) {
        CHECK(pool.plan().empty());
        pool.now += 200ms;
    }
    pool.now += 10s;
    CHECK(pool.plan().size() == 3);
}

TEST_CASE("moves: tasks that wait for memory get a machine although their pool has free cores")
{
    DemandingPool pool(lastingStep(9, { 500, 8000, 0 }), { 0, 0, 1, 1, 2, 2, 3, 3 });
    pool.addMachines(4);
    for (const std::string name : { "s-0", "s-1", "s-2" })
        pool.addMachine(name, "off");
    CHECK(pool.plan().size() == 1);
}

TEST_CASE("moves: tasks that wait for a label get a machine that has it")
{
    auto step = lastingStep(2, { 6000, 1000, 0 });
    step.requiredLabel = "large";
    DemandingPool pool(step, { 0 });
    pool.addMachines(1, { "large", "r-1" });
    pool.addMachines(5);
    pool.addMachine("s-0", "off");
    pool.addMachine("s-1", "off", { "large", "r-2" });
    pool.addMachine("s-2", "off");
    CHECK(pool.plan() == std::set<std::string> { "s-1" });
}

TEST_CASE("moves: tasks get a machine on their rack as long as they wait for it")
{
    StepSpec step;
    step.taskCount = 2;
    step.need = { 10000, 1000, 0 };
    step.estimate = 60s;
    step.dataRack = "r-2";
    DemandingPool pool(step, { 0 });
    pool.addMachines(1, { "small", "r-2" });
    pool.addMachines(5);
    pool.addMachine("s-0", "off");
    pool.addMachine("s-1", "off", { "small", "r-2" });
    pool.addMachine("s-2", "off");
    SUBCASE("at first")
    {
        CHECK(pool.plan() == std::set<std::string> { "s-1" });
    }
    SUBCASE("once they may run on any rack")
    {
        pool.now += 61s;
        CHECK(pool.plan().empty());
    }
}

TEST_CASE("moves: a pool keeps an idle machine that only its waiting task can use")
{
    auto step = lastingStep(3, { 500, 500, 0 });
    step.maximumPerWorker = 1;
    SUBCASE("by its label")
    {
        step.requiredLabel = "large";
        DemandingPool pool(step, { 0, 1 });
        pool.addMachines(3, { "large", "r-1" });
        pool.addMachines(3);
        pool.addShortPool();
        CHECK(pool.plan() == std::set<std::string> { "m-3", "m-4", "m-5" });
    }
    SUBCASE("by their number")
    {
        DemandingPool pool(step, { 0, 1 });
        pool.addMachines(4);
        pool.addShortPool();
        CHECK(pool.plan().size() == 1);
    }
}

TEST_CASE("moves: a task that no machine can hold doesn't keep idle machines from other pools")
{
    for (const std::string label : { "", "small" }) {
        CAPTURE(label);
        auto step = lastingStep(2, { 500, 500, 1 });
        step.requiredLabel = label;
        DemandingPool pool(step, { 100 });
        pool.addMachines(10);
        pool.addShortPool();
        CHECK(pool.plan().size() >= 8);
    }
}

TEST_CASE("moves: tasks that no machine can hold don't hide a step that takes one task a worker")
{
    auto step = stepOfOneAWorker();
    step.taskCount = 3;
    DemandingPool pool(step, numbersBelow(2), { lastingStep(10, { 500, 500, 1 }) });
    pool.addMachines(2);
    for (const std::string name : { "s-0", "s-1", "s-2", "s-3", "s-4" })
        pool.addMachine(name, "off");
    CHECK(pool.plan().size() == 1);
}
