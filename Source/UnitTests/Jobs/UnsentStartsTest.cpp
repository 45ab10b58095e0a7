/// Tests of starts that are stored but that no worker was sent, as their commits were delayed by an outage of the store.

#include "EventLog.h"
#include "JobFleet.h"
#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <variant>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;

namespace {

/// Jobs are asked for so long after the last one came, by the platform's rules.
constexpr std::chrono::seconds finishTime { 14 };

/// Starts that may follow the third crash, by the platform's rules.
constexpr unsigned maximumCrashes = 5;
/// Crashes after which a task may be given up.
constexpr unsigned fewestCrashes = 2;

JobSpec smallTasks(unsigned count)
{
    auto spec = oneStep(count, 300ms, 5);
    spec.steps.front().need.memoryMb = 1;
    return spec;
}

/// A fleet of two workers that return under their ids. Its tasks take 300 ms.
struct RestartingFleet : JobFleet {
    RestartingFleet(unsigned hostCount, std::chrono::milliseconds workerDownTime)
        : JobFleet(hostCount, 2)
    {
        setRunTime(300ms);
        keepsWorkerIds = true;
        closesConnections = true;
        downTime = workerDownTime;
        for (const auto& [id, worker] : workers)
            worker->closesConnections = true;
        settle();
    }

    void submit(const std::string& host, unsigned number, const JobSpec& spec)
    {
        const auto answer = call(host, JobVerb::Submit, jobId(number), spec);
        REQUIRE(answer);
        REQUIRE(answer->outcome == JobOutcome::Accepted);
    }

    /// Submits job 1 so that its starts are stored and not sent, as the owner's host is killed; then a worker crashes. Returns the other host.
    std::string submitAndLoseOwner(const JobSpec& spec)
    {
        const auto owner = ownerOf("desk");
        std::string other = owner == "host-0" ? "host-1" : "host-0";
        submit(other, 1, spec);
        store.answersToLose = 1000;
        runFor(50ms);
        killHost(owner);
        store.answersToLose = 0;
        crashWorker("w0");
        return other;
    }
};

} // namespace

// Each such task was suspected of the crash and tried apart from the others: the job was unfinished 30 s later.
TEST_CASE("a job whose starts wait for the store ends soon after a worker crashes and restarts under its id")
{
    for (const auto crashAfter : { 400ms, 900ms }) {
        for (const auto downTime : { 100ms, 400ms }) {
            CAPTURE(crashAfter.count());
            CAPTURE(downTime.count());
            const EventLog log;
            RestartingFleet fleet(1, downTime);
            fleet.submit("host-0", 1, smallTasks(600));
            fleet.store.isDown = true;
            fleet.runFor(crashAfter);
            fleet.crashWorker("w0");
            fleet.runFor(1400ms - crashAfter);
            fleet.store.isDown = false;
            fleet.runFor(finishTime);
            CHECK(fleet.stateOf("host-0", jobId(1)) == JobState::Completed);
            CHECK(fleet.runMonitor.duplicateRuns == 0);
            const auto lost = log.all("run-lost");
            CHECK(lost.size() == 600);
            CHECK(std::ranges::all_of(lost, [](const auto& it) { return it.at("sent") == "no"; }));
            CHECK(log.all("task-suspected").empty());
            CHECK(log.all("late-start-possible").empty());
        }
    }
}

namespace {

/// A pool with one worker, on which the only task of job 1 was placed.
struct PlacedRun {
    PlacedRun()
    {
        core.finishLoad(at(placedAt));
        WorkerEntry entry;
        entry.id = "w0";
        entry.address = "w0:1";
        entry.capacity = { 4000, 16000, 0 };
        core.onWorkerListed(entry, at(placedAt));
        core.onPollAnswer("w0", {}, placedAt, at(placedAt));
        core.submit(jobId(1), {}, oneStep(1), at(placedAt));
        core.decide(at(placedAt));
        const auto orders = core.takeOutput().orders;
        REQUIRE(orders.size() == 1);
        start = std::get<StartRun>(orders.front());
    }

    static Moment at(Common::Instant now) { return { now, Common::WallTime(2000s) }; }

    Common::Instant placedAt { 1h };
    PoolCore core { PoolLimits {} };
    StartRun start;
};

} // namespace

// The time for which a start waits isn't time in which its run makes no progress.
TEST_CASE("a run whose start has waited for the store isn't stopped as stalled at its first poll")
{
    PlacedRun it;
    const auto sentAt = it.placedAt + 10s;
    it.core.onStartSent(it.start, PlacedRun::at(sentAt));
    it.core.onStartAnswer(it.start, { Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, {} }, PlacedRun::at(sentAt + 2ms));
    Ports::PollAnswer poll;
    poll.running.push_back({ it.start.task, it.start.run, "", 0, 0 });
    it.core.onPollAnswer("w0", poll, sentAt + 5ms, PlacedRun::at(sentAt + 8ms));
    CHECK(it.core.takeOutput().orders.empty());
    it.core.onPollAnswer("w0", poll, sentAt + 9s, PlacedRun::at(sentAt + 9s));
    CHECK(it.core.takeOutput().orders.size() == 1);
}

// Its first attempt was held up with the polls, and the time without any answer counted as time without progress.
TEST_CASE("a run whose start was carried out late isn't stopped as stalled at its first poll")
{
    PlacedRun it;
    it.core.onStartSent(it.start, PlacedRun::at(it.placedAt));
    it.core.onStartAnswer(it.start, {}, PlacedRun::at(it.placedAt + 700ms));
    it.core.onWorkerFailing("w0", it.placedAt, PlacedRun::at(it.placedAt + 700ms));
    const auto beginsAt = it.placedAt + 4s;
    Ports::PollAnswer poll;
    poll.running.push_back({ it.start.task, it.start.run, "", 0, 0 });
    it.core.onPollAnswer("w0", poll, beginsAt + 1ms, PlacedRun::at(beginsAt + 2ms));
    CHECK(it.core.takeOutput().orders.empty());
    it.core.onPollAnswer("w0", poll, beginsAt + 9s, PlacedRun::at(beginsAt + 9s));
    CHECK(it.core.takeOutput().orders.size() == 1);
}

// The refusal proves that the run isn't there, yet it counted as a start: the task was suspected of the crash.
TEST_CASE("a task whose start its worker has refused as stale isn't suspected when the worker crashes")
{
    PlacedRun it;
    const auto& start = it.start;
    it.core.onStartSent(start, PlacedRun::at(it.placedAt));
    it.core.onStartAnswer(start, {}, PlacedRun::at(it.placedAt + 700ms));
    it.core.onStartSent(start, PlacedRun::at(it.placedAt + 760ms));
    it.core.onStartAnswer(start, { Ports::WorkerStatus::Refused, Ports::WorkerRefusal::StaleRun, {} }, PlacedRun::at(it.placedAt + 762ms));
    it.core.onWorkerFailing("w0", it.placedAt + 780ms, PlacedRun::at(it.placedAt + 780ms));
    it.core.onWorkerLost("w0", WorkerLoss::Crashed, PlacedRun::at(it.placedAt + 2s));
    it.core.decide(PlacedRun::at(it.placedAt + 2s + 3s)); // The first attempt wasn't answered, and the worker may return until then.
    const auto records = it.core.takeOutput().records;
    const auto hasEnded = [](const auto& record) { return std::holds_alternative<RunEnded>(record); };
    CHECK(std::ranges::any_of(records, hasEnded));
    const auto isSuspected = [](const auto& record) {
        const auto* tally = std::get_if<TaskSuspected>(&record);
        return tally && (tally->tally.sinceProven > 0 || tally->tally.suspected > 0);
    };
    CHECK(std::ranges::none_of(records, isSuspected));
}

TEST_CASE("a start that waits isn't sent once its job was cancelled")
{
    PlacedRun it;
    CHECK(it.core.needsStart(it.start));
    it.core.cancel(it.start.task.job, PlacedRun::at(it.placedAt + 1s));
    CHECK_FALSE(it.core.needsStart(it.start));
}

// The next owner can't tell that the starts weren't sent: the tasks were tried one by one.
TEST_CASE("a job whose starts an earlier owner stored ends soon after a worker crashes and restarts under its id")
{
    for (const auto downTime : { 100ms, 400ms }) {
        CAPTURE(downTime.count());
        RestartingFleet fleet(2, downTime);
        const auto host = fleet.submitAndLoseOwner(smallTasks(600));
        fleet.runFor(finishTime);
        CHECK(fleet.stateOf(host, jobId(1)) == JobState::Completed);
        CHECK(fleet.runMonitor.duplicateRuns == 0);
    }
}

TEST_CASE("a crashing task among many whose starts an earlier owner stored is given up soon, after few crashes")
{
    for (const unsigned crashing : { 0U, 150U, 299U }) {
        CAPTURE(crashing);
        const EventLog log;
        RestartingFleet fleet(2, 400ms);
        const TaskKey task { jobId(1), 0, 0, crashing };
        fleet.runMonitor.crashing.insert(task);
        const auto host = fleet.submitAndLoseOwner(smallTasks(300));
        fleet.runFor(finishTime);
        CHECK(fleet.stateOf(host, jobId(1)) == JobState::Failed);
        CHECK(fleet.runMonitor.crashes[task] >= fewestCrashes);
        CHECK(fleet.runMonitor.crashes[task] <= maximumCrashes);
        // The crash of a group leaves open which of its tasks has caused it.
        const auto isOther = [&](const auto& it) { return it.at("task") != "0." + std::to_string(crashing); };
        CHECK(std::ranges::none_of(log.all("task-suspected"), [&](const auto& it) { return isOther(it) && it.number("suspected") > 1; }));
        CHECK(fleet.runMonitor.duplicateRuns == 0);
    }
}
