/// Tests of tasks that crash each worker that starts them, and of the tasks that run beside them.

#include "JobFleet.h"

#include <doctest/doctest.h>

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
        settle();
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
