/// Tests of tasks that crash each worker that starts them, and of the tasks that run beside them.

#include "JobFleet.h"
#include "Jobs/Decision/CrashEvidence.h"
#include "LastingChecks.h"

#include <doctest/doctest.h>
#include <random>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;

namespace {

/// Starts that may follow the third crash, by the platform's rules.
constexpr unsigned maximumCrashes = 5;
/// Crashes after which a task may be given up.
constexpr unsigned fewestCrashes = 2;

/// A fleet in which the first task of job 1 crashes each worker that starts it.
class CrashingFleet : public JobFleet {
public:
    explicit CrashingFleet(unsigned hostCount = 2, unsigned workerCount = 8, unsigned cores = 16)
        : JobFleet(hostCount, workerCount, cores)
    {
        runMonitor.crashing.insert(task);
        setClosesConnections(true);
        settle();
    }

    void setClosesConnections(bool closes)
    {
        closesConnections = closes;
        for (auto& [id, worker] : workers)
            worker->closesConnections = closes;
    }

    void submit(unsigned number, const JobSpec& spec)
    {
        const auto answer = call(hosts.begin()->first, JobVerb::Submit, jobId(number), spec);
        REQUIRE(answer);
        CHECK(answer->outcome == JobOutcome::Accepted);
    }

    JobState stateOf(unsigned number) { return JobFleet::stateOf(hosts.begin()->first, jobId(number)); }
    unsigned crashes() const { return runMonitor.crashes.contains(task) ? runMonitor.crashes.at(task) : 0; }

    /// Runs until the first task of job 1 has crashed that many workers; fails the test after 20 s.
    void runUntilCrash(unsigned number)
    {
        for (unsigned n = 0; n < 2000 && crashes() < number; ++n)
            runFor(10ms);
        REQUIRE(crashes() >= number);
    }

    const TaskKey task { jobId(1), 0, 0, 0 };
};

/// Submits jobs, a few of which crash their workers, beside faults drawn from the seed.
void checkBesideFaults(std::uint64_t seed)
{
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    CrashingFleet fleet(4, 12);
    fleet.setClosesConnections(seed % 3 != 0);
    fleet.keepsWorkerIds = seed % 2 == 0;
    unsigned jobs = 0;
    std::set<unsigned> bad;
    for (unsigned tick = 0; tick < 50; ++tick) {
        ++jobs;
        if (jobs % 12 == 1) {
            bad.insert(jobs);
            fleet.runMonitor.crashing.insert({ jobId(jobs), 0, 0, static_cast<unsigned>(random() % 3) });
        }
        fleet.submit(jobs, oneStep(3));
        auto& port = *std::next(fleet.hosts.begin(), static_cast<std::ptrdiff_t>(random() % fleet.hosts.size()))->second->workers;
        port.startAnswersToLose += random() % 6 == 0 ? 1 : 0;
        port.startsToDelay += random() % 8 == 0 ? 1 : 0;
        const auto machine = "m" + std::to_string(random() % 12);
        const auto worker = fleet.machines.at(machine).worker;
        if (random() % 15 == 0 && !worker.empty() && !fleet.workers.at(worker)->isCrashed)
            fleet.crashWorker(worker);
        if (tick % 24 == 20 && !fleet.ownerOf("desk").empty()) {
            fleet.killHost(fleet.ownerOf("desk"));
            fleet.runFor(4s);
        }
        fleet.runFor(std::chrono::milliseconds(50 + random() % 400));
    }
    fleet.runFor(60s);
    for (const auto& [task, crashes] : fleet.runMonitor.crashes)
        CHECK(crashes <= maximumCrashes);
    for (unsigned n = 1; n <= jobs; ++n)
        CHECK(fleet.stateOf(n) == (bad.contains(n) ? JobState::Failed : JobState::Completed));
    CHECK(fleet.runMonitor.duplicateRuns == 0);
}

} // namespace

TEST_CASE("a task that crashes its workers is started no more than twice after the third crash, and its job fails")
{
    CrashingFleet fleet;
    fleet.submit(1, oneStep(4));
    fleet.runFor(30s);
    CHECK(fleet.crashes() >= fewestCrashes);
    CHECK(fleet.crashes() <= maximumCrashes);
    CHECK(fleet.stateOf(1) == JobState::Failed);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
}

TEST_CASE("tasks that are lost beside a crashing task are served, not given up with it")
{
    CrashingFleet fleet;
    for (unsigned n = 1; n <= 10; ++n)
        fleet.submit(n, oneStep(4));
    fleet.runFor(30s);
    CHECK(fleet.stateOf(1) == JobState::Failed);
    for (unsigned n = 2; n <= 10; ++n)
        CHECK(fleet.stateOf(n) == JobState::Completed);
}

TEST_CASE("a task whose workers fall silent when it crashes them is given up")
{
    CrashingFleet fleet;
    fleet.setClosesConnections(false);
    for (unsigned n = 1; n <= 10; ++n)
        fleet.submit(n, oneStep(4));
    fleet.runFor(40s);
    CHECK(fleet.crashes() <= maximumCrashes);
    CHECK(fleet.stateOf(1) == JobState::Failed);
    for (unsigned n = 2; n <= 10; ++n)
        CHECK(fleet.stateOf(n) == JobState::Completed);
}

TEST_CASE("few workers are lost to a crashing task before its job fails")
{
    CrashingFleet fleet;
    for (unsigned n = 1; n <= 10; ++n)
        fleet.submit(n, oneStep(4));
    fleet.runFor(30s);
    CHECK(fleet.workerCrashes <= 3);
}

TEST_CASE("crashes of a task are remembered by the next owner of its pool")
{
    for (unsigned crash = 1; crash <= 2; ++crash) {
        CrashingFleet fleet(4);
        for (unsigned n = 1; n <= 6; ++n)
            fleet.submit(n, oneStep(4));
        for (unsigned n = 1; n <= crash; ++n) {
            fleet.runUntilCrash(n);
            // Before, and after, the owner has noticed the crash.
            fleet.runFor(crash == 1 ? 100ms : 3000ms);
            if (fleet.stateOf(1) != JobState::Failed)
                fleet.killHost(fleet.ownerOf("desk"));
        }
        fleet.runFor(40s);
        CHECK(fleet.crashes() <= maximumCrashes);
        CHECK(fleet.stateOf(1) == JobState::Failed);
        for (unsigned n = 2; n <= 6; ++n)
            CHECK(fleet.stateOf(n) == JobState::Completed);
    }
}

TEST_CASE("idle workers that crashed before an owner knew them don't make their machines unreliable")
{
    CrashingFleet fleet;
    fleet.killHost(fleet.ownerOf("desk"));
    const auto workers = fleet.workers;
    for (const auto& [id, worker] : workers)
        fleet.crashWorker(id);
    fleet.runFor(10s);
    fleet.submit(1, oneStep(4));
    fleet.runFor(30s);
    CHECK(fleet.stateOf(1) == JobState::Failed);
    CHECK(fleet.crashes() == fewestCrashes);
}

TEST_CASE("a task whose first start may not have arrived isn't given up by the next owner after one crash")
{
    CrashingFleet fleet(3);
    fleet.runMonitor.crashing.clear();
    const auto owner = fleet.ownerOf("desk");
    fleet.hosts.at(owner)->workers->startsToLose = 1;
    fleet.submit(1, oneStep(1));
    fleet.runFor(30ms);
    REQUIRE(fleet.runMonitor.starts == 0);
    const auto crashed = fleet.hosts.at(owner)->workers->delayedWorker;
    fleet.crashWorker(crashed);
    fleet.runFor(500ms);
    fleet.killHost(owner);
    for (unsigned n = 0; n < 1000 && fleet.runMonitor.starts == 0; ++n)
        fleet.runFor(10ms);
    REQUIRE(fleet.runMonitor.starts == 1);
    fleet.crashWorker(fleet.busyWorker().entry.id);
    fleet.runFor(10s);
    CHECK(fleet.stateOf(1) == JobState::Completed);
}

TEST_CASE("a task that crashes workers which return at once, or under their old ids, is given up")
{
    for (const auto downTime : { 100ms, 700ms, 3000ms, 9000ms }) {
        for (const bool keepsIds : { false, true }) {
            CrashingFleet fleet;
            fleet.downTime = downTime;
            fleet.keepsWorkerIds = keepsIds;
            for (unsigned n = 1; n <= 6; ++n)
                fleet.submit(n, oneStep(4));
            fleet.runFor(40s);
            CAPTURE(downTime.count());
            CAPTURE(keepsIds);
            CHECK(fleet.crashes() <= maximumCrashes);
            CHECK(fleet.stateOf(1) == JobState::Failed);
            for (unsigned n = 2; n <= 6; ++n)
                CHECK(fleet.stateOf(n) == JobState::Completed);
        }
    }
}

TEST_CASE("a crashing task is given up while the list of machines can't be read")
{
    CrashingFleet fleet;
    fleet.failsMachineLists = true;
    for (unsigned n = 1; n <= 6; ++n)
        fleet.submit(n, oneStep(4));
    fleet.runFor(60s);
    CHECK(fleet.crashes() <= maximumCrashes);
    CHECK(fleet.stateOf(1) == JobState::Failed);
    for (unsigned n = 2; n <= 6; ++n)
        CHECK(fleet.stateOf(n) == JobState::Completed);
}

TEST_CASE("a crashing task whose starts aren't answered is given up")
{
    CrashingFleet fleet;
    for (auto& [name, host] : fleet.hosts)
        host->workers->startAnswersToLose = 40;
    for (unsigned n = 1; n <= 6; ++n)
        fleet.submit(n, oneStep(4));
    fleet.runFor(40s);
    CHECK(fleet.crashes() <= maximumCrashes);
    CHECK(fleet.stateOf(1) == JobState::Failed);
    for (unsigned n = 2; n <= 6; ++n)
        CHECK(fleet.stateOf(n) == JobState::Completed);
}

TEST_CASE("a lasting task that crashes its workers is confined, and lasting tasks beside it serve again")
{
    CrashingFleet fleet;
    fleet.submit(1, longRunningStep(2));
    fleet.submit(2, longRunningStep(4));
    fleet.runFor(40s);
    checkCosts(fleet.runMonitor, fleet.task, { .mostBeforeConfined = 2, .mostCostly = 1, .fewestCrashes = fewestCrashesIn(40s, 10ms), .runsPerWorker = 16, .time = 40s, .downTime = fleet.downTime });
    CHECK(fleet.stateOf(1) == JobState::Running);
    CHECK(fleet.stateOf(2) == JobState::Running);
    for (unsigned n = 0; n < 4; ++n)
        CHECK(fleet.runMonitor.running[{ jobId(2), 0, 0, n }] == 1);
}

TEST_CASE("a gang with a member that crashes its workers is given up")
{
    CrashingFleet fleet;
    auto spec = oneStep(4);
    spec.steps.front().isGang = true;
    fleet.submit(1, spec);
    for (unsigned n = 2; n <= 6; ++n)
        fleet.submit(n, oneStep(4));
    fleet.runFor(60s);
    CHECK(fleet.crashes() <= maximumCrashes);
    CHECK(fleet.stateOf(1) == JobState::Failed);
    for (unsigned n = 2; n <= 6; ++n)
        CHECK(fleet.stateOf(n) == JobState::Completed);
}

TEST_CASE("several crashing tasks at once are each given up, and the other jobs of the pool are served")
{
    CrashingFleet fleet(2, 12);
    for (unsigned n = 1; n <= 40; n += 8)
        fleet.runMonitor.crashing.insert({ jobId(n), 0, 0, n % 4 });
    for (unsigned n = 1; n <= 40; ++n)
        fleet.submit(n, oneStep(4));
    fleet.runFor(60s);
    for (const auto& [task, crashes] : fleet.runMonitor.crashes)
        CHECK(crashes <= maximumCrashes);
    for (unsigned n = 1; n <= 40; ++n)
        CHECK(fleet.stateOf(n) == (n % 8 == 1 ? JobState::Failed : JobState::Completed));
}

TEST_CASE("tasks of workers that crash by themselves are served, however often")
{
    CrashingFleet fleet(2, 6);
    fleet.setClosesConnections(false);
    fleet.downTime = 1500ms;
    fleet.setRunTime(2500ms);
    for (unsigned n = 2; n <= 9; ++n)
        fleet.submit(n, oneStep(6, 2500ms));
    for (unsigned n = 0; n < 10; ++n) {
        for (const auto* machine : { "m0", "m1" }) {
            const auto worker = fleet.machines.at(machine).worker;
            if (!worker.empty() && !fleet.workers.at(worker)->isCrashed)
                fleet.crashWorker(worker);
        }
        fleet.runFor(2000ms);
    }
    fleet.runFor(40s);
    for (unsigned n = 2; n <= 9; ++n)
        CHECK(fleet.stateOf(n) == JobState::Completed);
}

TEST_CASE("tasks of workers that are cut off again and again are served, as a cut is no crash")
{
    CrashingFleet fleet(2, 3);
    fleet.setRunTime(8s);
    fleet.submit(2, oneStep(2, 8s));
    for (unsigned n = 0; n < 6; ++n) {
        fleet.runFor(500ms);
        for (const auto& [id, worker] : fleet.workers)
            worker->isPartitioned = worker->isBusy();
        fleet.runFor(9s);
        for (const auto& [id, worker] : fleet.workers)
            worker->isPartitioned = false;
    }
    fleet.runFor(20s);
    CHECK(fleet.stateOf(2) == JobState::Completed);
}

TEST_CASE("tasks of a worker that refuses connections after a crash don't wait until it counts as silent")
{
    CrashingFleet fleet(1, 2);
    fleet.submit(2, oneStep(1));
    fleet.runFor(200ms);
    const auto id = fleet.busyWorker().entry.id;
    fleet.crashWorker(id);
    fleet.runFor(500ms);
    CHECK(fleet.runMonitor.starts == 2);
}

TEST_CASE("a worker whose connections break once keeps its tasks")
{
    CrashingFleet fleet(1, 2);
    fleet.setRunTime(2s);
    fleet.submit(2, oneStep(1, 2s));
    fleet.runFor(200ms);
    fleet.machines.at(fleet.busyWorker().entry.machine).worker = "another";
    fleet.busyWorker().breakConnections();
    fleet.runFor(4s);
    CHECK(fleet.runMonitor.starts == 1);
    CHECK(fleet.stateOf(2) == JobState::Completed);
}

TEST_CASE("two tasks that crash their workers together don't excuse each other for ever")
{
    CrashTally first;
    CrashTally second;
    const TaskKey a { jobId(1), 0, 0, 0 };
    const TaskKey b { jobId(2), 0, 0, 0 };
    unsigned crashes = 0;
    for (bool isGuilty = false; !isGuilty && crashes < 10; ++crashes) {
        const auto verdicts = judgeCrash({ { a, first, true, false, false }, { b, second, true, false, false } }, false);
        first = verdicts[0].tally;
        second = verdicts[1].tally;
        // As if each crash were explained by a third task.
        first.suspected = second.suspected = first.unexplained = second.unexplained = 0;
        isGuilty = verdicts[0].isGuilty && verdicts[1].isGuilty;
    }
    CHECK(crashes <= maximumCrashes);
}

TEST_CASE("a crash that nobody is suspected of counts against the machine, and against tasks only after several such crashes")
{
    CrashHistory history;
    const TaskKey task { jobId(1), 0, 0, 0 };
    const TaskKey suspect { jobId(2), 0, 0, 0 };
    history.add("m0", { { suspect, { 1, 1, 0 } }, { task, { 0, 0, 0 } } }, false, Instant(1h));
    CHECK(!history.crashedByItself("m0"));
    CHECK(history.acquit(suspect) == std::set<TaskKey> { task });
    CHECK(history.crashedByItself("m0"));
    history.forget(Instant(2h));
    CHECK(!history.crashedByItself("m0"));
}

TEST_CASE("a task that a given-up task has excused starts with a clean record")
{
    CrashHistory history;
    const TaskKey guilty { jobId(1), 0, 0, 0 };
    const TaskKey beside { jobId(2), 0, 0, 0 };
    history.add("m0", { { guilty, { 1, 1, 0 } }, { beside, { 1, 1, 0 } } }, false, Instant(1h));
    history.add("m1", { { beside, { 1, 1, 0 } } }, false, Instant(1h));
    const auto excused = history.convict(guilty);
    REQUIRE(excused.contains(beside));
    CHECK(excused.at(beside).suspected == 1);
    CHECK(history.countOf("m0") == 0);
    CHECK(history.countOf("m1") == 1);
}

TEST_CASE("crashing tasks beside lost owners, other crashes, cuts and lost or late starts: each is given up, all others are served")
{
    for (std::uint64_t seed = 1; seed <= 15; ++seed)
        checkBesideFaults(seed);
}

TEST_CASE("a start that arrives late at a worker that has restarted under its id doesn't run beside the task's next run")
{
    for (const std::uint64_t seed : { 36, 66, 96, 102, 108, 126, 186 })
        checkBesideFaults(seed);
}

TEST_CASE("a start of a run that is done isn't repeated, and so not carried out by its worker's next incarnation")
{
    checkBesideFaults(234);
}
