/// Tests of how long tasks that are suspected of crashing their workers wait for a worker.

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

class SuspectsFleet : public JobFleet {
public:
    explicit SuspectsFleet(unsigned workerCount = 12)
        : JobFleet(1, workerCount, 16)
    {
        closesConnections = true;
        for (auto& [id, worker] : workers)
            worker->closesConnections = true;
        setRunTime(20s);
        settle();
    }

    void submit(unsigned number, const JobSpec& spec) { REQUIRE(call("host-0", JobVerb::Submit, jobId(number), spec)); }

    unsigned runningTasks() const
    {
        return static_cast<unsigned>(std::ranges::count_if(runMonitor.running, [](const auto& it) { return it.second > 0; }));
    }

    /// Submits jobs of 15 tasks, the first of which is `first`, and crashes each worker that runs one just after their starts.
    void crashUnder(unsigned first, unsigned jobs, const JobSpec& spec)
    {
        const auto before = runningTasks();
        for (unsigned n = first; n < first + jobs; ++n)
            submit(n, spec);
        for (unsigned n = 0; n < 1000 && runningTasks() < before + jobs * spec.steps.front().taskCount; ++n)
            runFor(1ms);
        std::vector<std::string> busy;
        for (const auto& [id, worker] : workers) {
            if (!worker->isCrashed && worker->isBusy())
                busy.push_back(id);
        }
        for (const auto& id : busy)
            crashWorker(id);
    }
};

} // namespace

TEST_CASE("tasks suspected of a crash don't wait beside idle workers")
{
    const EventLog log;
    SuspectsFleet fleet;
    fleet.downTime = 60s;
    fleet.crashUnder(1, 4, oneStep(15, 20s));
    fleet.runFor(detectionTime);
    CHECK(log.last("pool-load").number("waitingSuspects") > 0);
    fleet.runFor(longestWait);
    CHECK(fleet.runningTasks() == 60);
}

TEST_CASE("tasks that aren't suspected start while many suspects are tried")
{
    SuspectsFleet fleet;
    fleet.downTime = 60s;
    fleet.crashUnder(1, 4, oneStep(15, 20s));
    fleet.runFor(detectionTime);
    fleet.submit(5, oneStep(4, 20s));
    fleet.runFor(longestWait);
    CHECK(fleet.runningTasks() == 64);
}
