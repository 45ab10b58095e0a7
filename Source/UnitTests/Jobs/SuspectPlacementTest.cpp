/// Tests of which workers are left to tasks that are suspected of crashing theirs.

#include "EventLog.h"
#include "JobFleet.h"
#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobVerb;

namespace {

/// The platform allows this long without a run where there is capacity.
constexpr std::chrono::milliseconds longestWait { 3000 };
/// From a crash until the worker is known to be lost.
constexpr std::chrono::milliseconds detectionTime { 1000 };

const std::string large = "w-large";

/// A fleet whose crashed workers don't return during a test.
class CrashedFleet : public JobFleet {
public:
    CrashedFleet()
        : JobFleet(1, 12, 16)
    {
        closesConnections = true;
        downTime = 60s;
        for (auto& [id, worker] : workers)
            worker->closesConnections = true;
        setRunTime(20s);
        settle();
    }

    void submit(unsigned number, const JobSpec& spec) { REQUIRE(call("host-0", JobVerb::Submit, jobId(number), spec)); }

    unsigned runningTasks(const JobId& job = {}) const
    {
        return static_cast<unsigned>(std::ranges::count_if(runMonitor.running, [&](const auto& it) { return it.second > 0 && (job.empty() || it.first.job == job); }));
    }

    void waitForRuns(unsigned count)
    {
        for (unsigned n = 0; n < 1000 && runningTasks() < count; ++n)
            runFor(1ms);
        REQUIRE(runningTasks() == count);
    }

    /// Apart from the large one.
    void crashBusyWorkers()
    {
        std::vector<std::string> busy;
        for (const auto& [id, worker] : workers) {
            if (!worker->isCrashed && worker->isBusy() && id != large)
                busy.push_back(id);
        }
        for (const auto& id : busy)
            crashWorker(id);
    }

    /// Makes the 60 tasks of the jobs 1 to 4 suspects.
    void makeSuspects()
    {
        const auto before = runningTasks();
        for (unsigned n = 1; n <= 4; ++n)
            submit(n, oneStep(15, 20s));
        waitForRuns(before + 60);
        crashBusyWorkers();
    }

    /// Adds a worker with an accelerator and more memory than others have, and runs until it takes tasks.
    void addLargeWorker()
    {
        auto& entry = addWorker(large, "m-large", 1)->entry;
        entry.capacity.accelerators = 1;
        entry.capacity.memoryMb *= 2;
        publishWorker(large);
        runFor(200ms);
    }
};

} // namespace

TEST_CASE("suspects don't wait beside idle workers that are of no use to a task that waits")
{
    for (const bool needsAccelerator : { true, false }) {
        CAPTURE(needsAccelerator);
        CrashedFleet fleet;
        fleet.addLargeWorker();
        auto spec = oneStep(2, 20s);
        auto& need = spec.steps.front().need;
        need.accelerators = needsAccelerator ? 1 : 0;
        need.memoryMb = needsAccelerator ? need.memoryMb : fleet.workers.at(large)->entry.capacity.memoryMb;
        fleet.submit(5, spec);
        fleet.waitForRuns(1);
        fleet.makeSuspects();
        fleet.runFor(detectionTime + longestWait);
        CHECK(fleet.runningTasks(jobId(5)) == 1);
        CHECK(fleet.runningTasks() == 61);
    }
}

TEST_CASE("idle workers aren't left to suspects while a task waits that may use them")
{
    CrashedFleet fleet;
    fleet.makeSuspects();
    // One fits onto a worker that is otherwise empty.
    fleet.submit(5, oneStep(16, 20s, 16000));
    fleet.runFor(detectionTime + longestWait);
    CHECK(fleet.runningTasks(jobId(5)) >= 4);
}

TEST_CASE("a new owner knows how soon tasks crash their workers")
{
    const EventLog log;
    JobFleet fleet(2, 12, 16);
    fleet.closesConnections = true;
    for (auto& [id, worker] : fleet.workers)
        worker->closesConnections = true;
    fleet.setRunTime(640ms);
    fleet.settle();
    std::size_t crashesBefore = 0;
    for (unsigned n = 1; n <= 160; ++n) {
        if (n % 4 == 1)
            fleet.runMonitor.crashing.insert({ jobId(n), 0, 0, n % 8 });
        fleet.call(fleet.hosts.begin()->first, JobVerb::Submit, jobId(n), oneStep(8, 640ms));
        fleet.runFor(100ms);
        if (n != 80)
            continue;
        crashesBefore = log.all("worker-crashed").size();
        REQUIRE(log.last("worker-crashed").number("windowMs") > 0);
        fleet.killHost(fleet.ownerOf("desk"));
    }
    unsigned crashes = 0;
    unsigned withoutWindow = 0;
    const auto events = log.all("worker-crashed");
    for (auto n = crashesBefore; n < events.size(); ++n) {
        if (events[n].number("suspects") == 0)
            continue;
        ++crashes;
        withoutWindow += events[n].number("windowMs") == 0 ? 1 : 0;
    }
    CHECK(crashes > 0);
    CHECK(withoutWindow == 0);
}

// Hosts of earlier versions can't load a snapshot with records that they don't know.
TEST_CASE("what crashes have shown survives encoding and snapshots, which don't hold it")
{
    const TaskKey task { jobId(1), 0, 0, 1 };
    JobAccepted job;
    job.job = task.job;
    job.spec = oneStep(2);
    std::vector<JobRecord> records { job, TaskSuspected { task, { 1, 1, 1 } }, SuspicionGraded { task, true, false }, SuspicionGraded { { jobId(1), 0, 0, 0 }, false, true }, CrashAgesLearnt { { 7ms, 12ms }, Common::WallTime(30min) } };
    for (unsigned round = 0; round < 3; ++round) {
        CAPTURE(round);
        std::string text;
        for (const auto& it : records)
            appendRecord(text, it);
        std::vector<JobRecord> read;
        REQUIRE(readRecords(text, read));
        PoolCore core { PoolLimits {} };
        core.load(read);
        const Common::Moment at { Common::Instant(1h), Common::WallTime(1h) };
        core.finishLoad(at);
        records = core.snapshot(at);
        CHECK(std::ranges::none_of(records, isEvidence));
        const auto output = core.takeOutput().records;
        // The task that isn't a suspect has no grade any more.
        REQUIRE(output.size() == 3);
        CHECK(std::get<CrashAgesLearnt>(output[0]).ages == std::vector<std::chrono::milliseconds> { 7ms, 12ms });
        CHECK(std::get<CrashAgesLearnt>(output[0]).at == Common::WallTime(30min));
        CHECK(std::get<SuspicionGraded>(output[1]).task == task);
        CHECK(std::get<SuspicionGraded>(output[1]).isDoubtful);
        CHECK(!std::get<SuspicionGraded>(output[1]).isLikely);
        // The first tally came without a count.
        CHECK(std::get<CrashesUnconfirmed>(output[2]).task == task);
        CHECK(std::get<CrashesUnconfirmed>(output[2]).count == 1);
        records.insert(records.end(), output.begin(), output.end());
    }
}

TEST_CASE("confined suspects on the only worker don't wait for each other for long, and nothing else starts beside them")
{
    PoolCore core { PoolLimits {} };
    Common::Moment at { Common::Instant(1h), Common::WallTime(1h) };
    for (unsigned n = 1; n <= 4; ++n) {
        JobAccepted job;
        job.job = jobId(n);
        job.spec = longRunningStep(1);
        core.load({ job, TaskSuspected { { job.job, 0, 0, 0 }, { 2, 2, 2 } }, TaskConfined { { job.job, 0, 0, 0 }, true } });
    }
    core.finishLoad(at);
    WorkerEntry entry;
    entry.id = "w0";
    entry.machine = "m0";
    entry.address = "127.0.0.1:1";
    entry.capacity = { 16000, 64000, 0 };
    core.onWorkerListed(entry, at);
    Ports::PollAnswer answer;
    const auto decideFor = [&](std::chrono::milliseconds time) {
        for (const auto end = at.now + time; at.now < end; at = { at.now + 100ms, at.wall + 100ms }) {
            core.onPollAnswer(entry.id, answer, at.now, at);
            core.decide(at);
            for (const auto& order : core.takeOutput().orders) {
                if (const auto* start = std::get_if<StartRun>(&order)) {
                    core.onStartSent(*start, at);
                    core.onStartAnswer(*start, { Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, {} }, at);
                    answer.running.push_back({ start->task, start->run, {}, 1, 0 });
                }
            }
        }
        return answer.running.size();
    };
    CHECK(decideFor(2s) == 1);
    QueueRule queue;
    queue.name = "bookings";
    REQUIRE(core.submit(jobId(5), queue, oneStep(1), at).outcome == Ports::JobOutcome::Accepted);
    CHECK(decideFor(7s) == 4);
    CHECK(core.show(jobId(5)).state == JobState::Queued);
}
