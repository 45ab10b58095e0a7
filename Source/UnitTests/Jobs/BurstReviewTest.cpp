/// Tests of faults that a review of bursts and confined tasks has found (issue 53).

#include "Jobs/Decision/PoolCore.h"
#include "LastingChecks.h"
#include "WaveFleet.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

/// By the platform's rules: three, and the starts that may follow them.
constexpr unsigned maximumCrashes = 5;

void setCrashDelay(WaveFleet& fleet, std::chrono::milliseconds delay)
{
    fleet.onWorkerAdded = [delay](FakeWorker& worker) {
        worker.closesConnections = true;
        worker.startup = 300ms;
        worker.crashDelay = delay;
    };
    for (auto& [id, worker] : fleet.workers)
        fleet.onWorkerAdded(*worker);
}

} // namespace

// They start together, so that they crash together, and no task has just started then.
TEST_CASE("a step of tasks that crash their workers together, late after their starts, is given up in time")
{
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        CAPTURE(seed);
        WaveFleet fleet(seed);
        setCrashDelay(fleet, 1000ms);
        for (unsigned n = 0; n < 6; ++n)
            fleet.runMonitor.crashing.insert({ jobId(1), 0, 0, n });
        fleet.submit(1, oneStep(6, 3000ms, 5000));
        fleet.runFor(60s);
        for (const auto& it : fleet.runMonitor.crashes) {
            CAPTURE(it.first.index);
            CHECK(it.second <= maximumCrashes);
        }
        CHECK(fleet.stateOf(1) == JobState::Failed);
    }
}

TEST_CASE("lasting tasks of a step that crash their workers together, late after their starts, cost others no run once they are confined")
{
    WaveFleet fleet(1);
    setCrashDelay(fleet, 1000ms);
    for (unsigned n = 0; n < 6; ++n)
        fleet.runMonitor.crashing.insert({ jobId(1), 0, 0, n });
    fleet.submit(2, longRunningStep(36));
    fleet.runFor(2s);
    fleet.submit(1, longRunningStep(6));
    fleet.runFor(60s);
    for (unsigned n = 0; n < 6; ++n)
        checkCosts(fleet.runMonitor, { jobId(1), 0, 0, n }, { .fewestCrashes = fewestCrashesIn(60s, 1s), .runsPerWorker = 8, .time = 60s, .downTime = fleet.downTime });
}

TEST_CASE("lasting tasks that crash their workers late, three for each worker, leave room for other jobs")
{
    WaveFleet fleet(1, 12);
    setCrashDelay(fleet, 4000ms);
    for (unsigned n = 1; n <= 36; ++n) {
        fleet.runMonitor.crashing.insert({ jobId(n), 0, 0, 0 });
        fleet.submit(n, longRunningStep(1));
        fleet.runFor(430ms);
    }
    fleet.runFor(60s);
    for (unsigned n = 101; n <= 110; ++n)
        fleet.submit(n, oneStep(4, 700ms));
    fleet.runFor(30s);
    for (unsigned n = 101; n <= 110; ++n)
        CHECK(fleet.stateOf(n) == JobState::Completed);
}

// No machine crashes by itself here: each of its crashes has the confined task alone on the worker.
TEST_CASE("crashes under a confined task don't keep another task that crashes its workers late from being given up in time")
{
    WaveFleet fleet(1, 12);
    setCrashDelay(fleet, 1000ms);
    fleet.runMonitor.crashing.insert({ jobId(1), 0, 0, 0 });
    fleet.submit(1, longRunningStep(1));
    fleet.runFor(180s);
    const TaskKey crashing { jobId(2), 0, 0, 0 };
    fleet.runMonitor.crashing.insert(crashing);
    fleet.submit(2, oneStep(1, 3000ms));
    fleet.runFor(60s);
    CHECK(fleet.runMonitor.crashes[crashing] <= maximumCrashes);
    CHECK(fleet.stateOf(2) == JobState::Failed);
}

// The crashes of the tasks before it are theirs, and say nothing of the machines.
TEST_CASE("tasks that crash their workers late are given up in time one after the other, also in a pool of few machines")
{
    WaveFleet fleet(1, 6);
    setCrashDelay(fleet, 1000ms);
    for (unsigned n = 1; n <= 3; ++n) {
        CAPTURE(n);
        const TaskKey crashing { jobId(n), 0, 0, 0 };
        fleet.runMonitor.crashing.insert(crashing);
        fleet.submit(n, oneStep(1, 3000ms));
        fleet.runFor(60s);
        CHECK(fleet.runMonitor.crashes[crashing] <= maximumCrashes);
        CHECK(fleet.stateOf(n) == JobState::Failed);
    }
}

TEST_CASE("a task that crashes its workers is given up in time though each crash is followed by the owner's loss")
{
    for (const auto killAfter : { 40ms, 80ms, 120ms }) {
        CAPTURE(killAfter.count());
        JobFleet fleet(9, 12, 8);
        fleet.closesConnections = true;
        fleet.onWorkerAdded = [](FakeWorker& worker) { worker.closesConnections = true; };
        for (auto& [id, worker] : fleet.workers)
            fleet.onWorkerAdded(*worker);
        fleet.settle();
        const TaskKey crashing { jobId(1), 0, 0, 0 };
        fleet.runMonitor.crashing.insert(crashing);
        REQUIRE(fleet.call(fleet.hosts.begin()->first, Ports::JobVerb::Submit, jobId(1), oneStep(1)));
        unsigned kills = 0;
        for (auto passed = 0ms; passed < 90s; passed += 10ms) {
            fleet.runFor(10ms);
            if (fleet.runMonitor.crashes[crashing] <= kills || kills >= 8)
                continue;
            ++kills;
            fleet.runFor(killAfter);
            if (const auto owner = fleet.ownerOf("desk"); !owner.empty())
                fleet.killHost(owner);
        }
        CAPTURE(kills);
        CHECK(fleet.runMonitor.crashes[crashing] <= maximumCrashes);
        CHECK(fleet.stateOf(fleet.hosts.begin()->first, jobId(1)) == JobState::Failed);
    }
}

TEST_CASE("a new owner forgets that tasks of jobs that are over were confined")
{
    const Moment at { Common::Instant(1h), Common::WallTime(1h) };
    JobAccepted accepted;
    accepted.job = jobId(1);
    accepted.queue = "bookings";
    accepted.acceptedAt = at.wall;
    accepted.spec = longRunningStep(1);
    PoolCore core { PoolLimits {} };
    core.load({ accepted, TaskConfined { { jobId(1), 0, 0, 0 }, true }, JobCancelled { jobId(1), at.wall } });
    core.finishLoad(at);
    core.decide(at);
    core.snapshot(at);
    const auto output = core.takeOutput();
    CHECK(std::ranges::none_of(output.records, [](const auto& it) { return std::holds_alternative<TaskConfined>(it); }));
}
