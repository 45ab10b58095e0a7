/// Tests of the rules for tasks that are suspected of crashing their workers, explored at small size.

#include "JobFleet.h"
#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

/// A core with idle workers that answer polls, and nothing else.
class IdlePool {
public:
    explicit IdlePool(const std::vector<JobRecord>& records)
    {
        core.load(records);
        core.finishLoad(at);
    }

    void addWorker(const std::string& id, std::uint64_t milliCores)
    {
        WorkerEntry entry;
        entry.id = id;
        entry.machine = "m-" + id;
        entry.address = "127.0.0.1:1";
        entry.capacity = { milliCores, 64000, 0 };
        core.onWorkerListed(entry, at);
        core.onPollAnswer(id, {}, at.now, at);
    }

    /// Decides every 100 ms, and returns the workers to which starts were ordered.
    std::vector<std::string> decideFor(std::chrono::milliseconds time)
    {
        std::vector<std::string> started;
        for (auto passed = 0ms; passed <= time; passed += 100ms) {
            core.decide(at);
            for (const auto& it : core.takeOutput().orders) {
                if (const auto* start = std::get_if<StartRun>(&it))
                    started.push_back(start->worker);
            }
            at = { at.now + 100ms, at.wall + 100ms };
        }
        return started;
    }

    PoolCore core { PoolLimits {} };
    Moment at { Instant(1h), Common::WallTime(1000h) };
};

} // namespace

// It was set aside for a group of suspects, which a confined one doesn't join.
TEST_CASE("a confined suspect that has waited for long starts on the first idle worker that has room for it")
{
    JobAccepted job;
    job.job = jobId(1);
    job.spec = longRunningStep(1);
    const TaskKey task { job.job, 0, 0, 0 };
    for (const bool isLikely : { false, true }) {
        CAPTURE(isLikely);
        IdlePool pool({ job, TaskSuspected { task, { 2, 2, 2 } }, SuspicionGraded { task, false, isLikely }, TaskConfined { task, true } });
        pool.addWorker("w-small", 500);
        REQUIRE(pool.decideFor(3s).empty());
        pool.addWorker("w-large", 16000);
        CHECK(pool.decideFor(0ms) == std::vector<std::string> { "w-large" });
    }
}
