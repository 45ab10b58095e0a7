/// Tests of starts that are stored but that no worker was sent, as their commits were delayed by an outage of the store.

#include "EventLog.h"
#include "JobFleet.h"
#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <variant>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;

namespace {

/// Jobs are asked for so long after the last one came, by the platform's rules.
constexpr std::chrono::seconds finishTime { 14 };

JobSpec smallTasks(unsigned count)
{
    auto spec = oneStep(count, 300ms, 5);
    spec.steps.front().need.memoryMb = 1;
    return spec;
}

} // namespace

// Each such task was suspected of the crash and tried apart from the others: the job was unfinished 30 s later.
TEST_CASE("a job whose starts wait for the store ends soon after a worker crashes and restarts under its id")
{
    for (const auto crashAfter : { 400ms, 900ms }) {
        for (const auto downTime : { 100ms, 400ms }) {
            CAPTURE(crashAfter.count());
            CAPTURE(downTime.count());
            const EventLog log;
            JobFleet fleet(1, 2);
            fleet.setRunTime(300ms);
            fleet.keepsWorkerIds = true;
            fleet.closesConnections = true;
            fleet.downTime = downTime;
            for (const auto& [id, worker] : fleet.workers)
                worker->closesConnections = true;
            fleet.settle();
            const auto answer = fleet.call("host-0", JobVerb::Submit, jobId(1), smallTasks(600));
            REQUIRE(answer);
            REQUIRE(answer->outcome == JobOutcome::Accepted);
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

// The time for which a start waits isn't time in which its run makes no progress.
TEST_CASE("a run whose start has waited for the store isn't stopped as stalled at its first poll")
{
    const auto at = [](Common::Instant now) { return Moment { now, Common::WallTime(2000s) }; };
    const Common::Instant placedAt { 1h };
    PoolCore core { PoolLimits {} };
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
    const auto& start = std::get<StartRun>(orders.front());
    const auto sentAt = placedAt + 10s;
    core.onStartSent(start, at(sentAt));
    core.onStartAnswer(start, { Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, {} }, at(sentAt + 2ms));
    Ports::PollAnswer poll;
    poll.running.push_back({ start.task, start.run, "", 0, 0 });
    core.onPollAnswer("w0", poll, sentAt + 5ms, at(sentAt + 8ms));
    CHECK(core.takeOutput().orders.empty());
    core.onPollAnswer("w0", poll, sentAt + 9s, at(sentAt + 9s));
    CHECK(core.takeOutput().orders.size() == 1);
}
