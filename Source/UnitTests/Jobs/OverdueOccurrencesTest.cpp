/// Tests of jobs that ask for more than can be done: many occurrences that are due at once, and steps of many tasks.

#include "JobFleet.h"
#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t mostPlacements = 512; ///< In one decision.
constexpr std::size_t mostOccurrences = 16384; ///< In progress, of one step each.
constexpr unsigned minutesOfFourYears = 2103840;

/// A pool whose workers carry out every order. Each run ends as done at the first poll after its run time.
class BusyPool {
public:
    explicit BusyPool(unsigned workerCount, unsigned cores = 8, const std::vector<JobRecord>& records = {})
    {
        core.load(records);
        core.finishLoad(at());
        for (unsigned n = 0; n < workerCount; ++n) {
            WorkerEntry entry;
            entry.id = "w" + std::to_string(n);
            entry.machine = "m" + std::to_string(n);
            entry.address = "127.0.0.1:1";
            entry.capacity = { cores * 1000ULL, 64000, 0 };
            core.onWorkerListed(entry, at());
            answers[entry.id].answer.status = Ports::WorkerStatus::Done;
        }
        poll();
    }

    Moment at() const { return { now, Common::WallTime(std::chrono::hours(24 * 365 * 50)) + std::chrono::duration_cast<milliseconds>(now - Instant(1h)) }; }

    Ports::JobOutcome submit(const JobId& id, const JobSpec& spec, milliseconds callerWaited = {})
    {
        QueueRule rule;
        rule.name = "bookings";
        rule.maximumAttempts = 4;
        rule.stretchPermille = 2000;
        return core.submit(id, rule, spec, at(), callerWaited).outcome;
    }

    void decide()
    {
        core.decide(at());
        std::size_t placed = 0;
        for (const auto& order : core.takeOutput().orders) {
            const auto* start = std::get_if<StartRun>(&order);
            if (!start)
                continue;
            ++placed;
            core.onStartSent(*start, at());
            if (refusesStarts) {
                core.onStartAnswer(*start, { Ports::WorkerStatus::Refused, Ports::WorkerRefusal::NoRoom, 1000ms }, at());
                continue;
            }
            core.onStartAnswer(*start, { Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, 1000ms }, at());
            answers[start->worker].running.push_back({ start->task, start->run, "", 50, 0 });
            startedAt[start->task] = now;
            ++starts[start->task.job];
        }
        mostPlaced = std::max(mostPlaced, placed);
    }

    /// Every worker answers a poll.
    void poll()
    {
        for (auto& [worker, answer] : answers) {
            std::erase_if(answer.running, [&, id = worker](const Ports::RunningTask& run) {
                if (!endsRuns || now - startedAt.at(run.task) < runTime)
                    return false;
                answers[id].ended.push_back({ ++m_endNumbers[id], run.task, run.run, RunEnd::Done, "" });
                return true;
            });
            core.onPollAnswer(worker, answer, now, at());
            answer.ended.clear();
        }
        decide();
    }

    void runFor(milliseconds time)
    {
        constexpr milliseconds interval { 50 };
        for (auto passed = 0ms; passed < time; passed += interval) {
            now += interval;
            poll();
        }
    }

    bool isCompleted(const JobId& id) const
    {
        const auto* state = core.jobs().stateOf(id);
        return state && *state == JobState::Completed;
    }

    std::size_t runs() const
    {
        std::size_t count = 0;
        for (const auto& [worker, answer] : answers)
            count += answer.running.size();
        return count;
    }

    std::size_t occurrencesOf(const JobId& id) const { return core.jobs().find(id)->occurrences.size(); }

    Instant now { 1h };
    PoolCore core { PoolLimits {} };
    std::map<std::string, Ports::PollAnswer> answers; ///< By worker: what it reports at the next poll.
    std::map<TaskKey, Instant> startedAt;
    std::map<JobId, std::size_t> starts;
    std::size_t mostPlaced = 0;
    milliseconds runTime { 300 };
    bool endsRuns = true;
    bool refusesStarts = false; ///< For lack of capacity.

private:
    std::map<std::string, std::uint64_t> m_endNumbers;
};

/// A job whose occurrences, of one task each, are all overdue.
JobSpec overdueJob(unsigned occurrences, milliseconds interval)
{
    auto spec = oneStep(1, 300ms);
    spec.repeatCount = occurrences;
    spec.firstRun = Common::WallTime(1000s);
    spec.interval = interval;
    return spec;
}

/// Hands in a small job every 250 ms, and returns how many of them are completed 5 s after the last.
unsigned completedBeside(BusyPool& pool, unsigned jobs)
{
    for (unsigned n = 0; n < jobs; ++n) {
        CHECK(pool.submit(jobId(100 + n), oneStep(2, 300ms)) == Ports::JobOutcome::Accepted);
        pool.runFor(250ms);
    }
    pool.runFor(5s);
    unsigned completed = 0;
    for (unsigned n = 0; n < jobs; ++n)
        completed += pool.isCompleted(jobId(100 + n)) ? 1 : 0;
    return completed;
}

} // namespace

// A decision began all of them, and looked at each, so that the host lost the queue; the next one did the same.
TEST_CASE("millions of overdue occurrences neither hold up other jobs nor cost a decision more than a bounded number of them")
{
    struct Variant {
        unsigned occurrences;
        milliseconds interval;
    };
    for (const auto& it : { Variant { minutesOfFourYears, 60000ms }, { 600000, 1ms }, { 1000000000, 1ms } }) {
        CAPTURE(it.occurrences);
        BusyPool pool(8);
        REQUIRE(pool.submit(jobId(1), overdueJob(it.occurrences, it.interval)) == Ports::JobOutcome::Accepted);
        pool.runFor(1s);
        CHECK(pool.runs() == 64); // It uses all that is free.
        CHECK(pool.core.pressure(pool.at()).overdueJobs == 1);
        CHECK(completedBeside(pool, 20) == 20);
        CHECK(pool.occurrencesOf(jobId(1)) <= mostOccurrences);
        CHECK(pool.mostPlaced <= mostPlacements);
        CHECK(pool.runs() == 64);
        CHECK(pool.starts[jobId(1)] > 1000);
    }
}

TEST_CASE("the next owner of a queue with millions of overdue occurrences goes on from a snapshot whose size doesn't depend on those that are done")
{
    BusyPool pool(8);
    REQUIRE(pool.submit(jobId(1), overdueJob(minutesOfFourYears, 60000ms)) == Ports::JobOutcome::Accepted);
    pool.runFor(30s);
    const auto records = pool.core.snapshot(pool.at());
    CHECK(records.size() < 2000);
    const auto& job = *pool.core.jobs().find(jobId(1));
    REQUIRE(job.occurrencesDone > 3000);
    BusyPool next(8, 8, records);
    const auto& loaded = *next.core.jobs().find(jobId(1));
    CHECK(loaded.occurrencesDone == job.occurrencesDone);
    CHECK(next.occurrencesOf(jobId(1)) <= mostOccurrences);
    CHECK(completedBeside(next, 5) == 5);
}

TEST_CASE("jobs that are overdue as well take turns with a job of many overdue occurrences")
{
    for (const unsigned cores : { 1U, 2U, 8U }) {
        CAPTURE(cores);
        BusyPool pool(1, cores);
        REQUIRE(pool.submit(jobId(1), overdueJob(1000000, 1000ms)) == Ports::JobOutcome::Accepted);
        pool.runFor(2s);
        for (unsigned n = 0; n < 5; ++n)
            REQUIRE(pool.submit(jobId(100 + n), oneStep(1, 300ms), 60s) == Ports::JobOutcome::Accepted);
        pool.runFor(6s);
        for (unsigned n = 0; n < 5; ++n)
            CHECK(pool.isCompleted(jobId(100 + n)));
        CHECK(pool.starts[jobId(1)] > 10);
    }
}

TEST_CASE("two jobs with more occurrences than can be done share the pool")
{
    BusyPool pool(4);
    REQUIRE(pool.submit(jobId(1), overdueJob(1000000, 1000ms)) == Ports::JobOutcome::Accepted);
    pool.runFor(5s);
    REQUIRE(pool.submit(jobId(2), overdueJob(1000000, 1500ms)) == Ports::JobOutcome::Accepted);
    const auto before = pool.starts[jobId(1)];
    pool.runFor(20s);
    const auto first = pool.starts[jobId(1)] - before;
    CHECK(pool.starts[jobId(2)] * 3 > first);
    CHECK(first * 3 > pool.starts[jobId(2)]);
}

TEST_CASE("occurrences that fall due every millisecond don't hold up other jobs")
{
    BusyPool pool(2);
    auto spec = overdueJob(1000000, 1ms);
    spec.firstRun = pool.at().wall;
    REQUIRE(pool.submit(jobId(1), spec) == Ports::JobOutcome::Accepted);
    pool.runFor(5s);
    CHECK(completedBeside(pool, 12) == 12);
}

// A job that came just after such a one was as late, and waited behind it until all of its tasks were done.
TEST_CASE("a job with more tasks than the pool holds takes turns with others that come at the same time")
{
    for (const unsigned cores : { 1U, 8U, 64U }) {
        for (const auto estimate : { 300ms, 60000ms }) {
            for (const unsigned steps : { 1U, 20U }) {
                CAPTURE(cores);
                CAPTURE(estimate.count());
                CAPTURE(steps);
                BusyPool pool(1, cores);
                auto spec = oneStep(10000, estimate);
                spec.steps.resize(steps, spec.steps.front());
                REQUIRE(pool.submit(jobId(1), spec) == Ports::JobOutcome::Accepted);
                pool.decide();
                for (unsigned n = 0; n < 3; ++n)
                    REQUIRE(pool.submit(jobId(100 + n), oneStep(2, 300ms)) == Ports::JobOutcome::Accepted);
                pool.runFor(15s); // One turn of 32 runs of 0.3 s on the smallest pool takes 10 s.
                for (unsigned n = 0; n < 3; ++n)
                    CHECK(pool.isCompleted(jobId(100 + n)));
                CHECK(pool.starts[jobId(1)] >= 32);
            }
        }
    }
}

// Each refused start counted as a run of the job, which then waited behind all others for as long as the pool was full.
TEST_CASE("a job whose starts were refused again and again doesn't lose its turn")
{
    for (const unsigned tasks : { 1U, 8U }) {
        CAPTURE(tasks);
        BusyPool pool(1);
        pool.refusesStarts = true;
        REQUIRE(pool.submit(jobId(1), oneStep(tasks, 300ms)) == Ports::JobOutcome::Accepted);
        pool.runFor(12s);
        pool.refusesStarts = false;
        for (unsigned n = 0; n < 100; ++n) {
            for (unsigned k = 0; k < 4; ++k)
                REQUIRE(pool.submit(jobId(100 + 4 * n + k), oneStep(2, 300ms), 60s) == Ports::JobOutcome::Accepted);
            pool.runFor(50ms);
        }
        CHECK(pool.isCompleted(jobId(1)));
    }
}

TEST_CASE("services whose tasks end at once and fall due again and again don't hold up other jobs")
{
    auto spec = overdueJob(1000000, 1000ms);
    spec.steps.front().isLasting = true;
    BusyPool pool(2);
    REQUIRE(pool.submit(jobId(1), spec) == Ports::JobOutcome::Accepted);
    pool.runFor(2s);
    CHECK(completedBeside(pool, 10) == 10);
}

TEST_CASE("the largest job that may be handed in costs memory and decisions only for the tasks that are under way")
{
    JobSpec spec;
    spec.payload = "payload";
    for (unsigned n = 0; n < 256; ++n) {
        auto& step = spec.steps.emplace_back(oneStep(10000, 100ms, 0).steps.front());
        step.need = {};
        step.isGang = n % 64 == 63;
    }
    spec.repeatCount = 1000000;
    spec.firstRun = Common::WallTime(1000s);
    spec.interval = 1ms;
    BusyPool pool(3);
    pool.endsRuns = false;
    REQUIRE(pool.submit(jobId(1), spec) == Ports::JobOutcome::Accepted);
    for (unsigned n = 0; n < 40; ++n) {
        pool.now += 10ms;
        pool.decide();
    }
    std::size_t tasks = 0;
    pool.core.jobs().forEachTask([&tasks](const Job&, const TaskKey&, const Task&) { ++tasks; });
    CHECK(tasks <= 3000);
    CHECK(pool.runs() >= 2000);
    CHECK(pool.mostPlaced <= mostPlacements);
    CHECK(pool.occurrencesOf(jobId(1)) <= mostOccurrences / 256 + 1);
    CHECK(pool.core.snapshot(pool.at()).size() <= 2 * tasks + 1); // The latest run of each and its start.
}

TEST_CASE("occurrences go on with what can run when one of their steps never can")
{
    auto spec = overdueJob(1000000, 1000ms);
    spec.steps.push_back(spec.steps.front());
    spec.steps.front().requiredLabel = "none has it";
    BusyPool pool(2);
    REQUIRE(pool.submit(jobId(1), spec) == Ports::JobOutcome::Accepted);
    pool.runFor(10s);
    CHECK(pool.starts[jobId(1)] > 300);
    CHECK(completedBeside(pool, 10) == 10);
}

TEST_CASE("occurrences that never end don't keep later ones from beginning while there is room")
{
    auto spec = overdueJob(1000, 1000ms);
    spec.steps.front().isLasting = true;
    spec.steps.front().need.milliCores = 100;
    BusyPool pool(16);
    pool.endsRuns = false;
    REQUIRE(pool.submit(jobId(1), spec) == Ports::JobOutcome::Accepted);
    pool.runFor(2s);
    CHECK(pool.runs() == 1000);
}

TEST_CASE("ranges of done tasks and occurrences survive encoding, replay and snapshots")
{
    JobAccepted accepted;
    accepted.job = jobId(1);
    accepted.maximumAttempts = 2;
    accepted.spec = oneStep(500);
    accepted.spec.steps.push_back(oneStep(100).steps.front());
    accepted.spec.steps.back().after = { 0 };
    accepted.spec.repeatCount = 1000;
    accepted.spec.interval = 1s;
    std::vector<JobRecord> records { accepted, OccurrencesDone { jobId(1), 0, 700 }, TasksDone { { jobId(1), 700, 0, 0 }, 100 }, RunStarted { { jobId(1), 700, 0, 100 }, 3, "w1" }, TasksDone { { jobId(1), 700, 0, 101 }, 300 }, OccurrencesDone { jobId(1), 701, 99 } };
    for (unsigned round = 0; round < 3; ++round) {
        std::string text;
        for (const auto& it : records)
            appendRecord(text, it);
        std::vector<JobRecord> read;
        REQUIRE(readRecords(text, read));
        JobTable table;
        for (const auto& it : read)
            table.apply(it);
        auto& job = *table.find(jobId(1));
        CHECK(job.occurrencesBegun == 800);
        CHECK(job.occurrencesDone == 799);
        CHECK(job.occurrences.size() == 1);
        const auto& step = job.occurrences.at(700).steps[0];
        CHECK(step.doneCount == 400);
        CHECK(step.placedCount == 1);
        CHECK(step.waitingCount() == 99);
        CHECK(step.placedByWorker == std::map<std::string, unsigned> { { "w1", 1 } });
        CHECK_FALSE(job.isReleased(700, 1));
        records = table.snapshot();
        CHECK(records.size() == 7); // The start of the task that is placed is preceded by its run's number.
        for (unsigned index = 100; index < 500; ++index)
            table.apply(RunEnded { { jobId(1), 700, 0, index }, 3, RunEnd::Done, "", {} });
        CHECK(job.isReleased(700, 1));
        table.apply(TasksDone { { jobId(1), 700, 1, 0 }, 100 });
        CHECK(job.occurrencesDone == 800);
        table.apply(OccurrencesDone { jobId(1), 800, 200 });
        CHECK(*table.stateOf(jobId(1)) == JobState::Completed);
    }
}
