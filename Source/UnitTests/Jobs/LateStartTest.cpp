/// Tests of starts without an answer that are carried out after their worker has restarted under its id.

#include "JobFleet.h"

#include <array>
#include <doctest/doctest.h>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;

namespace {

/// A fleet of one host, whose workers return under their ids.
struct RestartingFleet : JobFleet {
    explicit RestartingFleet(unsigned workerCount = 2)
        : JobFleet(1, workerCount)
    {
        keepsWorkerIds = true;
        settle();
    }

    FakeWorkerPort& port() { return *hosts.begin()->second->workers; }

    void submit(const JobSpec& spec = oneStep(1))
    {
        const auto answer = call("host-0", JobVerb::Submit, jobId(1), spec);
        REQUIRE(answer);
        CHECK(answer->outcome == JobOutcome::Accepted);
    }
};

/// Crash times for which the late attempt reaches the next incarnation before the owner's first stop can.
constexpr std::array beforeFirstStop { 2715ms, 2716ms, 2717ms, 2718ms, 2719ms };

/// The first attempt of a start is late by 3 s, its run is done by the second one, and its worker is back 300 ms after a crash.
void checkAttemptAfterEnd(milliseconds crashAfter)
{
    CAPTURE(crashAfter.count());
    RestartingFleet fleet;
    fleet.downTime = 300ms;
    fleet.port().startsToDelay = 1;
    fleet.submit();
    fleet.runFor(crashAfter);
    REQUIRE(fleet.runMonitor.done.size() == 1);
    fleet.crashWorker(fleet.port().delayedWorker);
    fleet.runFor(3s);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
}

} // namespace

TEST_CASE("an unanswered start isn't repeated once a poll has shown the run or its end")
{
    for (const auto runTime : { 300ms, 1500ms }) {
        CAPTURE(runTime.count());
        RestartingFleet fleet;
        fleet.setRunTime(runTime);
        fleet.port().startAnswersToLose = 1;
        fleet.submit(oneStep(1, runTime));
        fleet.runFor(100ms);
        REQUIRE(fleet.runMonitor.starts == 1);
        auto& worker = fleet.busyWorker();
        worker.breakConnections(); // The next poll shows the run.
        fleet.port().startsToDelay = 1;
        fleet.runFor(runTime);
        fleet.crashWorker(worker.entry.id);
        fleet.runFor(8s);
        CHECK(fleet.runMonitor.duplicateRuns == 0);
        CHECK(fleet.port().startsToDelay == 1);
    }
}

TEST_CASE("a task doesn't wait for more than 3 s for a worker that can't refuse its unanswered start")
{
    enum class Return { Never,
        WithoutStops };
    for (const auto how : { Return::Never, Return::WithoutStops }) {
        CAPTURE(static_cast<int>(how));
        RestartingFleet fleet;
        fleet.downTime = how == Return::Never ? 1h : 1s;
        fleet.port().startsToLose = 1000;
        fleet.port().losesStops = how == Return::WithoutStops;
        fleet.submit();
        fleet.runFor(800ms);
        const auto id = fleet.port().delayedWorker;
        fleet.crashWorker(id);
        fleet.port().startsToLose = 0;
        fleet.runFor(1001ms);
        fleet.runFor(3s); // In which the loss is noticed.
        fleet.runFor(3s);
        CHECK(fleet.stateOf("host-0", jobId(1)) == JobState::Completed);
    }
}

// It may have carried the start out, under the longest lease that workers grant.
TEST_CASE("a task waits for a worker that restarted and can't be reached until its unanswered start can't run there any more, and no longer")
{
    RestartingFleet fleet;
    fleet.downTime = 1s;
    fleet.port().startsToLose = 1000;
    fleet.submit();
    fleet.runFor(800ms);
    const auto id = fleet.port().delayedWorker;
    fleet.crashWorker(id);
    fleet.port().startsToLose = 0;
    fleet.runFor(1001ms);
    fleet.workers.at(id)->isPartitioned = true;
    const auto lease = SessionLimits().longestLease;
    fleet.runFor(lease);
    CHECK(fleet.runMonitor.starts == 0);
    fleet.runFor(longestCall + maximumSpanOf(lease) - lease + 1s);
    CHECK(fleet.stateOf("host-0", jobId(1)) == JobState::Completed);
}

TEST_CASE("a start that is in flight when its worker's crash is noticed isn't carried out by the next incarnation")
{
    for (const auto downTime : { 300ms, 1000ms, 2000ms, 2800ms }) {
        CAPTURE(downTime.count());
        RestartingFleet fleet;
        fleet.workers.at("w0")->closesConnections = fleet.workers.at("w1")->closesConnections = true;
        fleet.downTime = downTime;
        fleet.port().startsToDelay = 1;
        fleet.submit();
        fleet.runFor(50ms);
        fleet.crashWorker(fleet.port().delayedWorker);
        fleet.runFor(8s);
        CHECK(fleet.stateOf("host-0", jobId(1)) == JobState::Completed);
        CHECK(fleet.runMonitor.duplicateRuns == 0);
    }
}

TEST_CASE("an unanswered first attempt of a start isn't carried out after its run's end, once the worker's next incarnation has answered")
{
    for (const auto crashAfter : { 1500ms, 2400ms }) {
        for (const bool closesConnections : { false, true }) {
            CAPTURE(crashAfter.count());
            CAPTURE(closesConnections);
            RestartingFleet fleet;
            fleet.workers.at("w0")->closesConnections = fleet.workers.at("w1")->closesConnections = closesConnections;
            fleet.downTime = 300ms;
            fleet.port().startsToDelay = 1;
            fleet.submit();
            fleet.runFor(crashAfter);
            REQUIRE(fleet.runMonitor.done.size() == 1);
            fleet.crashWorker(fleet.port().delayedWorker);
            fleet.runFor(8s);
            CHECK(fleet.runMonitor.duplicateRuns == 0);
        }
    }
}

TEST_CASE("a worker that restarts under its id while it holds a poll is polled as soon as it is listed")
{
    RestartingFleet fleet;
    fleet.downTime = 100ms;
    fleet.runFor(1s);
    fleet.crashWorker("w0");
    auto& polls = fleet.port().polls;
    polls.clear();
    fleet.runFor(100ms + 20ms);
    CHECK(polls["w0"] >= 1);
}

TEST_CASE("a worker that restarts under its id while it isn't listed is used again once it is listed")
{
    RestartingFleet fleet(1);
    fleet.downTime = 300ms;
    fleet.setRunTime(10s);
    fleet.workers.at("w0")->closesConnections = false; // The new entry shows the crash.
    fleet.submit(oneStep(1, 10s));
    fleet.runFor(100ms);
    REQUIRE(fleet.workers.at("w0")->isBusy());
    fleet.unpublishWorker("w0");
    fleet.runFor(2500ms);
    REQUIRE(fleet.workers.at("w0")->isBusy());
    fleet.crashWorker("w0");
    fleet.runFor(3s);
    CHECK(fleet.workers.at("w0")->isBusy());
    CHECK(fleet.runMonitor.duplicateRuns == 0);
}

TEST_CASE("a start that a worker's next incarnation was told to refuse isn't carried out by the one after it")
{
    RestartingFleet fleet;
    fleet.workers.at("w0")->closesConnections = fleet.workers.at("w1")->closesConnections = true;
    fleet.downTime = 100ms;
    fleet.port().startsToDelay = 1;
    fleet.submit();
    fleet.runFor(50ms);
    const auto id = fleet.port().delayedWorker;
    fleet.crashWorker(id);
    fleet.runFor(2500ms);
    fleet.crashWorker(id);
    fleet.runFor(8s);
    CHECK(fleet.stateOf("host-0", jobId(1)) == JobState::Completed);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
}

TEST_CASE("an unanswered first attempt isn't carried out after its run's end when it reaches the next incarnation later than the first stop")
{
    for (auto crashAfter = 2600ms; crashAfter < beforeFirstStop.front(); crashAfter += 1ms)
        checkAttemptAfterEnd(crashAfter);
}

TEST_CASE("an unanswered first attempt isn't carried out after its run's end when it reaches the crashed worker")
{
    for (auto crashAfter = beforeFirstStop.back() + 1ms; crashAfter < 2800ms; crashAfter += 1ms)
        checkAttemptAfterEnd(crashAfter);
}

TEST_CASE("an unanswered first attempt isn't carried out after its run's end when it reaches the next incarnation before the first stop")
{
    for (const auto crashAfter : beforeFirstStop)
        checkAttemptAfterEnd(crashAfter);
}

// The owner gives up runs whose worker restarts, and places their tasks elsewhere, while the first orders still wait for the store.
TEST_CASE("an order that waited for the store isn't sent once its run has been given up")
{
    for (const auto outage : { 2s, 4s, 6s }) {
        for (const bool isPolledInBetween : { false, true }) {
            CAPTURE(outage.count());
            CAPTURE(isPolledInBetween);
            RestartingFleet fleet(3);
            fleet.workers.at("w0")->closesConnections = fleet.workers.at("w1")->closesConnections = true;
            fleet.setRunTime(8s);
            fleet.downTime = isPolledInBetween ? 100ms : 700ms;
            fleet.submit(oneStep(8, 8s));
            fleet.store.losesWritesUnder = "/marigold/jobs/";
            fleet.runFor(200ms);
            fleet.crashWorker("w0");
            fleet.crashWorker("w1");
            fleet.runFor(outage);
            fleet.store.losesWritesUnder.clear();
            fleet.runFor(40s);
            CHECK(fleet.stateOf("host-0", jobId(1)) == JobState::Completed);
            CHECK(fleet.runMonitor.starts == 8);
            CHECK(fleet.runMonitor.duplicateRuns == 0);
        }
    }
}

// Workers that drain take no starts. The order was repeated for seconds, as its first attempts weren't answered.
TEST_CASE("a start without an answer isn't repeated once its worker drains")
{
    RestartingFleet fleet;
    fleet.port().startsToLose = 3;
    fleet.submit();
    fleet.runFor(100ms);
    const auto id = fleet.port().delayedWorker;
    fleet.workers.at(id)->entry.state = WorkerEntry::State::Draining;
    fleet.store.put("workers/" + id, "draining");
    fleet.runFor(6s);
    CHECK_FALSE(fleet.workers.at(id)->hasStarted);
    CHECK(fleet.stateOf("host-0", jobId(1)) == JobState::Completed);
    CHECK(fleet.runMonitor.starts == 1);
}
