/// Measures the processor time of the job subsystem at peak load, in virtual time: one pool with many workers.
///
///   jobs_bench [WORKERS] [JOBS_PER_SECOND]

#include "Jobs/JobFleet.h"

#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>

namespace {

using std::chrono::milliseconds;

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

constexpr milliseconds taskRunTime { 640 };
constexpr unsigned tasksPerJob = 8;
constexpr unsigned coresPerWorker = 16;
constexpr unsigned seconds = 5;

} // namespace

int main(int argc, char** argv)
{
    const unsigned workers = argc > 1 ? static_cast<unsigned>(std::stoul(argv[1])) : 85;
    const unsigned jobsPerSecond = argc > 2 ? static_cast<unsigned>(std::stoul(argv[2])) : 100;
    JobFleet fleet(1, workers, coresPerWorker);
    fleet.setRunTime(taskRunTime);
    fleet.settle();
    const auto processorBefore = processorSeconds();
    const auto writesBefore = fleet.store.writes;
    for (unsigned n = 0; n < seconds * jobsPerSecond; ++n) {
        Ports::JobCall call;
        call.verb = Ports::JobVerb::Submit;
        call.host = "desk.example";
        call.path = "/bookings/" + jobId(n);
        call.spec = oneStep(tasksPerJob, taskRunTime, 1500);
        fleet.hosts.at("host-0")->node->onJobCall(std::move(call), [](const Ports::JobAnswer&) {});
        fleet.runFor(milliseconds(1000 / jobsPerSecond));
    }
    fleet.runFor(std::chrono::seconds(4));
    const auto processorTime = processorSeconds() - processorBefore;
    std::printf("workers %u, jobs %u, runs %u: %.3f s of processor time, %.1f us a run, %u store writes\n", workers, seconds * jobsPerSecond, fleet.runMonitor.starts, processorTime, processorTime * 1e6 / std::max(1U, fleet.runMonitor.starts), fleet.store.writes - writesBefore);
    return 0;
}
