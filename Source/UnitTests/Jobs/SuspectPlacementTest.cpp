/// Tests of which workers are left to tasks that are suspected of crashing theirs.

#include "EventLog.h"
#include "JobFleet.h"

#include <doctest/doctest.h>

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
