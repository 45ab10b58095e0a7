/// Tests of lasting tasks in pools whose workers also crash by themselves.

#include "JobFleet.h"
#include "Jobs/Decision/CrashEvidence.h"
#include "LastingChecks.h"

#include <doctest/doctest.h>
#include <random>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobVerb;

namespace {

/// From the start of a task that crashes its workers to the crash: it has outlived its start by then.
constexpr std::chrono::milliseconds lateCrash { 1000 };

class ChanceFleet : public JobFleet {
public:
    explicit ChanceFleet(std::uint64_t seed, unsigned workerCount = 9)
        : JobFleet(2, workerCount, 16)
        , m_random(seed)
    {
        onWorkerAdded = [](FakeWorker& worker) { prepare(worker); };
        for (auto& [id, worker] : workers)
            prepare(*worker);
        closesConnections = true;
        setRunTime(10min);
        settle();
    }

    /// Submits jobs from 1 on of six lasting tasks each.
    void submitLasting(unsigned jobs, std::uint64_t milliCores = 3000)
    {
        auto spec = longRunningStep(6);
        spec.steps.front().need.milliCores = milliCores;
        for (unsigned n = 1; n <= jobs; ++n)
            REQUIRE(call(hosts.begin()->first, JobVerb::Submit, jobId(n), spec));
        runFor(1s);
    }

    /// Crashes a worker at each interval, whatever it runs; its machine has another one 0.9 to 1.5 s later.
    void crashByChance(std::chrono::milliseconds interval, std::chrono::seconds time)
    {
        for (const auto end = loop.now() + time; loop.now() < end; runFor(interval)) {
            downTime = 900ms + std::chrono::milliseconds(m_random() % 600);
            const auto worker = machines.at("m" + std::to_string(m_random() % machines.size())).worker;
            if (!worker.empty() && !workers.at(worker)->isCrashed)
                crashWorker(worker);
        }
    }

    /// The first task of each of so many jobs crashes its workers; no worker crashes otherwise.
    void crashLate(unsigned jobs)
    {
        for (unsigned n = 1; n <= jobs; ++n)
            runMonitor.crashing.insert({ jobId(n), 0, 0, 0 });
        submitLasting(jobs);
        runFor(60s);
        for (unsigned n = 1; n <= jobs; ++n) {
            CAPTURE(n);
            CHECK(stateOf(n) == JobState::Running);
            checkCosts(runMonitor, { jobId(n), 0, 0, 0 }, { .fewestCrashes = 5, .runsPerWorker = 5, .time = 60s, .downTime = downTime });
        }
    }

    JobState stateOf(unsigned job) { return JobFleet::stateOf(hosts.begin()->first, jobId(job)); }

private:
    static void prepare(FakeWorker& worker)
    {
        worker.closesConnections = true;
        worker.crashDelay = lateCrash;
    }

    std::mt19937_64 m_random;
};

} // namespace

TEST_CASE("no lasting job is given up while workers crash by themselves every second")
{
    struct Load {
        unsigned jobs;
        std::uint64_t milliCores; ///< Of each task.
    };
    for (const auto& load : { Load { 4, 3000 }, Load { 10, 1500 } }) {
        CAPTURE(load.jobs);
        for (std::uint64_t seed = 1; seed <= 60; ++seed) {
            CAPTURE(seed);
            ChanceFleet fleet(seed);
            fleet.submitLasting(load.jobs, load.milliCores);
            fleet.crashByChance(1s, 40s);
            for (unsigned n = 1; n <= load.jobs; ++n)
                CHECK(fleet.stateOf(n) == JobState::Running);
            CHECK(fleet.runMonitor.duplicateRuns == 0);
        }
    }
}

TEST_CASE("a lasting task that crashes its workers late costs others no run once it is confined, also where some crash by themselves")
{
    const TaskKey crashing { jobId(1), 0, 0, 0 };
    for (const auto interval : { 3000ms, 4000ms, 6000ms }) {
        CAPTURE(interval.count());
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            CAPTURE(seed);
            ChanceFleet fleet(seed);
            fleet.runMonitor.crashing.insert(crashing);
            fleet.submitLasting(1);
            fleet.crashByChance(interval, 60s);
            CHECK(fleet.stateOf(1) == JobState::Running);
            checkCosts(fleet.runMonitor, crashing, { .fewestCrashes = 5, .runsPerWorker = 5, .time = 60s, .downTime = 1500ms });
        }
    }
}

TEST_CASE("two lasting tasks that crash their workers late don't excuse each other")
{
    ChanceFleet fleet(1);
    fleet.crashLate(2);
}

TEST_CASE("three lasting tasks that crash their workers late are confined in time")
{
    ChanceFleet fleet(1);
    fleet.crashLate(3);
}

TEST_CASE("crashes elsewhere excuse a task as far as they are to be expected, except those under a task that is on as many such workers")
{
    const TaskKey task { jobId(1), 0, 0, 0 };
    const TaskKey repeated { jobId(2), 0, 0, 0 };
    const auto historyWith = [&](unsigned crashesOfRepeated, std::size_t otherMachines) {
        CrashHistory history;
        const CrashTally counted { 1, 0, 0 };
        history.add("before", { { repeated, counted } }, false, Instant(1h), false, otherMachines);
        for (unsigned n = 0; n < 4; ++n) {
            history.add("own" + std::to_string(n), { { task, counted } }, false, Instant(1h), false, otherMachines);
            const TaskKey other { jobId(10 + n), 0, 0, 0 };
            history.add("a" + std::to_string(n), { { n < crashesOfRepeated ? repeated : other, counted } }, false, Instant(1h), false, otherMachines);
            history.add("b" + std::to_string(n), {}, false, Instant(1h), false, otherMachines);
            history.add("c" + std::to_string(n), { { { jobId(20 + n), 0, 0, 0 }, { 1, 1, 1 } } }, false, Instant(1h), false, otherMachines); // Explained by a suspect.
        }
        return history;
    };
    CHECK(historyWith(2, 8).expectedOf(task, 4) == 1);
    CHECK(historyWith(4, 8).expectedOf(task, 4) == 0.5);
    CHECK(historyWith(0, 8).expectedOf(task, 0) == 0);
    CHECK(historyWith(0, 0).expectedOf(task, 4) == 0);
    const CrashTally five { 5, 0, 0 };
    CHECK(isTooOften(five, 0));
    CHECK(!isTooOften(five, 1));
    CHECK(isTooOften({ 7, 0, 0 }, 1));
}

TEST_CASE("a task under which workers crash again and again is given up in the end, however often others crash")
{
    CHECK(!isTooOften({ 9, 0, 0 }, 100));
    CHECK(isTooOften({ 10, 0, 0 }, 100));
}

// Machines that joined the pool after the crashes counted as ones that hadn't crashed.
TEST_CASE("crashes of others are weighed by the machines that the pool had then, not by those that have come since")
{
    const TaskKey task { jobId(1), 0, 0, 0 };
    CrashHistory history;
    for (unsigned n = 0; n < 5; ++n) {
        const std::size_t otherMachines = n < 4 ? 10 : 100;
        history.add("own" + std::to_string(n), { { task, { 1, 0, 0 } } }, false, Instant(1h), false, otherMachines);
        for (unsigned other = 0; other < 5; ++other)
            history.add("m" + std::to_string(other), {}, false, Instant(1h), false, otherMachines);
    }
    CHECK(history.expectedOf(task, 5) == doctest::Approx(4 * 0.5 + 0.05));
}
