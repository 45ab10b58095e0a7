/// Tests of workers that don't answer: those that their machines have ended, and those that are only cut off.

#include "JobFleet.h"
#include "Jobs/Decision/PollRetry.h"

#include <doctest/doctest.h>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

constexpr unsigned movedWorkers = 10;

std::string nameOf(char kind, unsigned n) { return kind + std::to_string(n); }

} // namespace

TEST_CASE("workers that a move has ended aren't polled again and again while the store still lists them")
{
    JobFleet fleet(1, 30);
    fleet.settle();
    auto& polls = fleet.hosts.at("host-0")->workers->polls;
    for (unsigned n = 0; n < movedWorkers; ++n) {
        fleet.workers.at(nameOf('w', n))->crash();
        fleet.workers.at(nameOf('w', n))->isCrashed = true;
        auto& machine = fleet.machines.at(nameOf('m', n));
        machine.state = Machine::State::Moving;
        machine.pool = "hotels";
    }
    polls.clear();
    fleet.runFor(8s);
    for (unsigned n = 0; n < movedWorkers; ++n)
        CHECK(polls[nameOf('w', n)] <= 2);
    CHECK(polls[nameOf('w', movedWorkers)] >= 7);
}

TEST_CASE("a worker without runs that was cut off is used again within three seconds of its return")
{
    JobFleet fleet(1, 1);
    fleet.settle();
    auto& worker = *fleet.workers.at("w0");
    worker.isPartitioned = true;
    fleet.runFor(20s);
    worker.isPartitioned = false;
    fleet.runFor(3s);
    CHECK(fleet.call("host-0", Ports::JobVerb::Submit, jobId(1), oneStep(1))->outcome == Ports::JobOutcome::Accepted);
    fleet.runFor(1s);
    CHECK(fleet.runMonitor.starts == 1);
}

TEST_CASE("a machine list that was requested before a worker became silent doesn't end its runs")
{
    JobFleet fleet(1, 2);
    fleet.setRunTime(20s);
    fleet.settle();
    CHECK(fleet.call("host-0", Ports::JobVerb::Submit, jobId(1), oneStep(1, 20s))->outcome == Ports::JobOutcome::Accepted);
    fleet.runFor(500ms);
    auto& busy = fleet.busyWorker();
    auto& idle = *fleet.workers.at(busy.entry.id == "w0" ? "w1" : "w0");
    // The list that the idle worker's silence triggers shows the busy worker's machine in an earlier state.
    fleet.machineListDelay = 4000ms;
    fleet.machines.at(busy.entry.machine).state = Machine::State::Moving;
    idle.isPartitioned = true;
    fleet.runFor(3200ms);
    fleet.machines.at(busy.entry.machine).state = Machine::State::Up;
    idle.isPartitioned = false;
    busy.isPartitioned = true;
    fleet.runFor(3s);
    CHECK(fleet.runMonitor.starts == 1);
    busy.isPartitioned = false;
    fleet.runFor(3s);
    CHECK(fleet.runMonitor.starts == 1);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
}

// The list shows the worker's machine before it came back, and arrives once the worker is silent again.
TEST_CASE("a machine list that was requested in an earlier silence of a worker doesn't end the runs it has begun since")
{
    JobFleet fleet(1, 1);
    fleet.setRunTime(20s);
    fleet.settle();
    auto& worker = *fleet.workers.at("w0");
    fleet.machineListDelay = 8s;
    fleet.machines.at("m0").state = Machine::State::Moving;
    worker.isPartitioned = true;
    fleet.runFor(3500ms);
    fleet.machines.at("m0").state = Machine::State::Up;
    worker.isPartitioned = false;
    fleet.runFor(2500ms);
    CHECK(fleet.call("host-0", Ports::JobVerb::Submit, jobId(1), oneStep(1, 20s))->outcome == Ports::JobOutcome::Accepted);
    fleet.addWorker("w1", "m1", 4);
    fleet.publishWorker("w1");
    fleet.runFor(500ms);
    REQUIRE(worker.isBusy());
    worker.isPartitioned = true;
    fleet.runFor(4500ms);
    CHECK(fleet.runMonitor.starts == 1);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
}

TEST_CASE("a silent worker whose machine's item can't be read isn't taken for gone")
{
    JobFleet fleet(1, 2);
    fleet.setRunTime(20s);
    fleet.settle();
    CHECK(fleet.call("host-0", Ports::JobVerb::Submit, jobId(1), oneStep(1, 20s))->outcome == Ports::JobOutcome::Accepted);
    fleet.runFor(500ms);
    auto& busy = fleet.busyWorker();
    auto& machine = fleet.machines.at(busy.entry.machine);
    machine.state = Machine::State::Unknown;
    machine.worker.clear();
    machine.pool.clear();
    busy.isPartitioned = true;
    fleet.runFor(3s);
    CHECK(fleet.runMonitor.starts == 1);
    busy.isPartitioned = false;
    fleet.runFor(3s);
    CHECK(fleet.runMonitor.starts == 1);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
}

TEST_CASE("the delay between polls grows with the failures, and more slowly while runs depend on the worker")
{
    for (unsigned failed = 1; failed < 20; ++failed) {
        CHECK(pollRetryDelay(failed, WorkerUse::Busy) <= 1s);
        CHECK(pollRetryDelay(failed, WorkerUse::Busy) < pollRetryDelay(failed, WorkerUse::Idle));
        CHECK(pollRetryDelay(failed, WorkerUse::Idle) < pollRetryDelay(failed, WorkerUse::Gone));
        CHECK(pollRetryDelay(failed, WorkerUse::Busy) <= pollRetryDelay(failed + 1, WorkerUse::Busy));
    }
}
