/// Measures the processor time of decisions on many suspects in a large pool.
///
///   suspects_bench [WORKERS] [SUSPECTS]

#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

constexpr unsigned decisions = 100;
constexpr unsigned runsPerWorker = 3;

struct Kind {
    const char* name;
    CrashTally tally;
    bool isDoubtful;
    bool isLikely;
    bool isConfined;
};

JobAccepted jobOf(const std::string& id, bool isLasting)
{
    JobAccepted job;
    job.job = id;
    StepSpec step;
    step.taskCount = 1;
    step.need = { 1000, 100, 0 };
    step.estimate = 10s;
    step.isLasting = isLasting;
    job.spec.steps = { step };
    return job;
}

std::vector<JobRecord> journalOf(const Kind& kind, unsigned workers, unsigned suspects)
{
    std::vector<JobRecord> records;
    for (unsigned n = 0; n < workers * runsPerWorker; ++n) {
        const auto job = jobOf("run-" + std::to_string(n), false);
        records.emplace_back(job);
        records.emplace_back(RunStarted { { job.job, 0, 0, 0 }, 1, "w" + std::to_string(n % workers) });
    }
    for (unsigned n = 0; n < suspects; ++n) {
        const auto job = jobOf("suspect-" + std::to_string(n), kind.isConfined);
        const TaskKey task { job.job, 0, 0, 0 };
        records.insert(records.end(), { job, TaskSuspected { task, kind.tally }, SuspicionGraded { task, kind.isDoubtful, kind.isLikely } });
        if (kind.isConfined)
            records.emplace_back(TaskConfined { task, true });
    }
    return records;
}

/// Workers answer polls with the runs of the journal; starts that are ordered aren't answered.
void measure(const Kind& kind, unsigned workers, unsigned suspects)
{
    PoolCore core { PoolLimits {} };
    Moment at { Instant(1h), Common::WallTime(1000h) };
    core.load(journalOf(kind, workers, suspects));
    core.finishLoad(at);
    std::vector<Ports::PollAnswer> answers(workers);
    for (unsigned n = 0; n < workers * runsPerWorker; ++n)
        answers[n % workers].running.push_back({ { "run-" + std::to_string(n), 0, 0, 0 }, 1, {}, 1, 0 });
    for (unsigned n = 0; n < workers; ++n) {
        WorkerEntry entry;
        entry.id = "w" + std::to_string(n);
        entry.machine = "m" + std::to_string(n);
        entry.address = "127.0.0.1:1";
        entry.capacity = { 16000, 64000, 0 };
        core.onWorkerListed(entry, at);
    }
    double longest = 0;
    double sum = 0;
    std::size_t starts = 0;
    for (unsigned n = 0; n < decisions; ++n) {
        for (unsigned worker = 0; worker < workers; ++worker)
            core.onPollAnswer("w" + std::to_string(worker), answers[worker], at.now, at);
        const auto before = std::clock();
        core.decide(at);
        const auto time = 1000 * static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
        longest = std::max(longest, time);
        sum += time;
        const auto orders = core.takeOutput().orders;
        starts += static_cast<std::size_t>(std::ranges::count_if(orders, [](const auto& it) { return std::holds_alternative<StartRun>(it); }));
        at = { at.now + 50ms, at.wall + 50ms };
    }
    std::printf("%-9s %u workers, %u suspects: longest decision %.2f ms, mean %.2f ms, %zu starts in %u decisions\n", kind.name, workers, suspects, longest, sum / decisions, starts, decisions);
}

} // namespace

int main(int argc, char** argv)
{
    const unsigned workers = argc > 1 ? static_cast<unsigned>(std::stoul(argv[1])) : 1000;
    const unsigned suspects = argc > 2 ? static_cast<unsigned>(std::stoul(argv[2])) : 1000;
    for (const auto& kind : { Kind { "strong", { 2, 2, 2 }, false, false, false }, Kind { "doubtful", { 1, 1, 1 }, true, false, false }, Kind { "likely", { 2, 2, 2 }, false, true, false }, Kind { "confined", { 2, 2, 2 }, false, false, true } })
        measure(kind, workers, suspects);
    return 0;
}
