/// Searches many random days for tasks that wait beside free capacity, and for jobs that are given up wrongly. Run by hand:
/// job_waiting_task_search [FIRST_SEED [COUNT [LIMIT_MS [LOG_FILE]]]]

#include "Kernel/Logging.h"
#include "WaitingTaskDay.h"

#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <vector>

namespace {

void printJobs(const char* what, std::uint64_t seed, const std::vector<Jobs::JobId>& jobs)
{
    for (const auto& id : jobs)
        std::printf("seed %llu: %s: job %s\n", static_cast<unsigned long long>(seed), what, id.c_str());
}

} // namespace

int main(int argc, char** argv)
{
    const std::uint64_t first = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const std::uint64_t count = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 1000;
    const std::chrono::milliseconds limit { argc > 3 ? std::strtol(argv[3], nullptr, 10) : 3000 };
    std::unique_ptr<Kernel::Logging> logging;
    if (argc > 4) {
        Kernel::LoggingSection section;
        section.file = argv[4];
        logging = Kernel::Logging::create(section).take();
    }
    std::uint64_t found = 0;
    std::uint64_t foundGivenUp = 0;
    for (auto seed = first; seed < first + count; ++seed) {
        WaitingTaskDay day({ .seed = seed, .logsTime = logging != nullptr });
        day.play();
        const auto& wait = day.longestWait();
        const auto& lasting = day.longestLastingWait();
        const bool waits = wait.time > limit || lasting.time > limit;
        found += waits ? 1 : 0;
        const auto givenUpEarly = day.givenUpEarly();
        const auto lastingGivenUp = day.lastingGivenUp();
        foundGivenUp += givenUpEarly.empty() && lastingGivenUp.empty() ? 0 : 1;
        if (waits || day.duplicateRuns() > 0 || day.wronglyFailed() > 0 || !givenUpEarly.empty())
            std::printf("seed %llu: waits %lld ms (%s), lasting %lld ms (%s %u); %s\n", static_cast<unsigned long long>(seed), static_cast<long long>(wait.time.count()), wait.task.job.c_str(), static_cast<long long>(lasting.time.count()), lasting.task.job.c_str(), lasting.task.index, day.description().c_str());
        printJobs("given up before two workers crashed under one of its tasks", seed, givenUpEarly);
        printJobs("given up, though it is lasting and crashes no worker", seed, lastingGivenUp);
        std::fflush(stdout);
    }
    std::printf("%llu of %llu days with a task that waits longer than %lld ms\n", static_cast<unsigned long long>(found), static_cast<unsigned long long>(count), static_cast<long long>(limit.count()));
    std::printf("%llu of %llu days with a job that was given up wrongly\n", static_cast<unsigned long long>(foundGivenUp), static_cast<unsigned long long>(count));
    return found + foundGivenUp > 0 ? 1 : 0;
}
