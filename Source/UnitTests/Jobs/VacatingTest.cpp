/// Lasting tasks that leave workers which are to be empty.

#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

const JobId servingJob = "00000000000000aa";

/// A pool with a lasting job: each task has a worker, and there is a spare worker for each.
class ServingPool {
public:
    explicit ServingPool(unsigned tasks)
        : core(PoolLimits {})
        , m_tasks(tasks)
    {
        JobAccepted accepted;
        accepted.job = servingJob;
        accepted.queue = "season";
        accepted.spec.steps.emplace_back();
        auto& step = accepted.spec.steps.front();
        step.taskCount = tasks;
        step.need = { 1000, 0, 0 };
        step.isLasting = true;
        step.mayMiss = 1;
        std::vector<JobRecord> records { accepted };
        for (unsigned n = 0; n < tasks; ++n)
            records.emplace_back(RunStarted { key(n), 1, worker(n) });
        core.load(records);
        core.loaded(at());
        for (unsigned n = 0; n < 2 * tasks; ++n) {
            WorkerEntry entry;
            entry.id = worker(n);
            entry.address = "127.0.0.1:1";
            entry.capacity = { 1000, 0, 0 };
            core.workerListed(entry, at());
        }
        now += 10s;
    }

    static TaskKey key(unsigned index) { return { servingJob, 0, 0, index }; }
    static std::string worker(unsigned n) { return "w" + std::to_string(n); }
    Moment at() const { return { now, {} }; }

    /// Each worker answers; the tasks on theirs have come that far.
    void look(const std::vector<unsigned>& percents)
    {
        now += 100ms;
        for (unsigned n = 0; n < 2 * m_tasks; ++n) {
            Ports::LookAnswer answer;
            if (n < percents.size())
                answer.running.push_back({ key(n), 1, "", percents[n], 0 });
            core.looked(worker(n), answer, now, at());
        }
    }

    std::vector<StopRun> decideStops()
    {
        core.decide(at());
        std::vector<StopRun> stops;
        for (const auto& it : core.takeOutput().orders) {
            if (const auto* stop = std::get_if<StopRun>(&it))
                stops.push_back(*stop);
        }
        return stops;
    }

    PoolCore core;
    Instant now { 1h };

private:
    unsigned m_tasks;
};

} // namespace

// Day trouble-3 --seed 32038759849 of benjelloun: two tasks were starting when they were stopped; both were at work when the
// orders left, after a commit that took four seconds.
TEST_CASE("lasting tasks that start at the same time aren't vacated together")
{
    ServingPool pool(2);
    pool.core.cordon({ pool.worker(0), pool.worker(1) }, pool.at());
    pool.look({ 40, 40 });
    CHECK(pool.decideStops().size() <= 1);
    pool.look({ 100, 100 });
    CHECK(pool.decideStops().size() == 1);
}
