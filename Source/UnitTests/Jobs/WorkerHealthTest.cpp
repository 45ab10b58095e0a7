/// Tests of which workers get no new runs for a while after runs there have failed or stalled.

#include "JobFleet.h"
#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <variant>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

/// A pool whose workers carry out every order; the test says what they report.
class HealthPool {
public:
    explicit HealthPool(unsigned workerCount)
    {
        core.load({});
        core.finishLoad(at());
        for (unsigned n = 0; n < workerCount; ++n) {
            WorkerEntry entry;
            entry.id = "w" + std::to_string(n);
            entry.machine = "m" + std::to_string(n);
            entry.address = "127.0.0.1:1";
            entry.capacity = { 16000, 64000, 0 };
            core.onWorkerListed(entry, at());
            answers[entry.id].answer.status = Ports::WorkerStatus::Done;
        }
        poll();
    }

    Moment at() const { return { now, Common::WallTime(2000s) + std::chrono::duration_cast<milliseconds>(now - Instant(1h)) }; }

    void submit(unsigned number, const JobSpec& spec)
    {
        QueueRule rule;
        rule.name = "bookings";
        rule.maximumAttempts = 4;
        REQUIRE(core.submit(jobId(number), rule, spec, at()).outcome == Ports::JobOutcome::Accepted);
        decide();
    }

    void decide()
    {
        core.decide(at());
        for (const auto& order : core.takeOutput().orders) {
            if (const auto* start = std::get_if<StartRun>(&order)) {
                core.onStartSent(*start, at());
                core.onStartAnswer(*start, { Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, 1000ms }, at());
                answers[start->worker].running.push_back({ start->task, start->run, "", percent, 0 });
                ++starts;
            } else if (const auto* stop = std::get_if<StopRun>(&order))
                end(stop->worker, stop->task, RunEnd::Stopped);
        }
    }

    void end(const std::string& worker, const TaskKey& task, RunEnd how)
    {
        auto& answer = answers[worker];
        const auto run = std::ranges::find(answer.running, task, &Ports::RunningTask::task);
        if (run == answer.running.end())
            return;
        answer.ended.push_back({ ++m_endNumbers[worker], task, run->run, how, "" });
        answer.running.erase(run);
    }

    /// Ends the task's run, wherever it is. Returns its worker; empty if it doesn't run.
    std::string end(const TaskKey& task, RunEnd how)
    {
        for (const auto& [worker, answer] : answers) {
            if (std::ranges::find(answer.running, task, &Ports::RunningTask::task) == answer.running.end())
                continue;
            std::string found = worker;
            end(found, task, how);
            return found;
        }
        return {};
    }

    /// Every worker answers a poll.
    void poll()
    {
        for (auto& [worker, answer] : answers) {
            core.onPollAnswer(worker, answer, now, at());
            answer.ended.clear();
        }
        decide();
    }

    void runFor(milliseconds time)
    {
        constexpr milliseconds interval { 100 };
        for (auto passed = 0ms; passed < time; passed += interval) {
            now += interval;
            poll();
        }
    }

    std::size_t avoided() const { return core.pressure(at()).avoided; }

    Instant now { 1h };
    PoolCore core { PoolLimits {} };
    std::map<std::string, Ports::PollAnswer> answers; ///< By worker: what it reports at the next poll.
    unsigned percent = 0; ///< Of runs that start from now on.
    unsigned starts = 0;

private:
    std::map<std::string, std::uint64_t> m_endNumbers;
};

JobSpec onePerWorker(unsigned tasks)
{
    auto spec = oneStep(tasks);
    spec.steps.front().maximumPerWorker = 1;
    return spec;
}

const TaskKey firstTask { jobId(1), 0, 0, 0 };

} // namespace

TEST_CASE("workers whose runs all stall at once aren't all taken out of use")
{
    for (const unsigned workers : { 2, 6, 9 }) {
        CAPTURE(workers);
        HealthPool pool(workers);
        pool.submit(1, onePerWorker(workers));
        REQUIRE(pool.starts == workers);
        std::size_t mostAvoided = 0;
        milliseconds withoutCandidates { 0 };
        for (unsigned n = 0; n < 40; ++n) {
            pool.runFor(100ms);
            mostAvoided = std::max(mostAvoided, pool.avoided());
            withoutCandidates += pool.core.pressure(pool.at()).candidates == 0 ? 100ms : 0ms;
        }
        CHECK(withoutCandidates.count() == 0);
        CHECK(mostAvoided > 0);
        CHECK(mostAvoided <= (workers + 1) / 2);
    }
}

TEST_CASE("a worker whose run stalls while others make progress gets no new runs for a time")
{
    HealthPool pool(4);
    pool.submit(1, onePerWorker(4));
    for (unsigned n = 0; n < 30 && pool.avoided() == 0; ++n) {
        for (auto& [worker, answer] : pool.answers) {
            for (auto& run : answer.running)
                run.percent += worker == "w2" ? 0 : 1;
        }
        pool.runFor(100ms);
    }
    CHECK(pool.avoided() == 1);
    CHECK_FALSE(pool.core.findWorker("w2")->isSchedulable(pool.now));
}

TEST_CASE("a lasting task that fails again and again doesn't take sound workers out of use")
{
    HealthPool pool(4);
    pool.submit(1, longRunningStep(1));
    unsigned failures = 0;
    std::size_t mostAvoided = 0;
    for (unsigned n = 0; n < 40; ++n) {
        failures += pool.end(firstTask, RunEnd::Failed).empty() ? 0 : 1;
        pool.runFor(300ms);
        mostAvoided = std::max(mostAvoided, pool.avoided());
    }
    CHECK(failures == 40);
    CHECK(mostAvoided == 0);
}

TEST_CASE("a gang that fails again and again doesn't take sound workers out of use")
{
    HealthPool pool(2);
    auto spec = onePerWorker(2);
    spec.steps.front().isGang = true;
    pool.submit(1, spec);
    std::size_t mostAvoided = 0;
    for (unsigned n = 0; n < 3; ++n) {
        const TaskKey member { jobId(1), 0, 0, pool.answers["w0"].running.at(0).task.index };
        pool.end("w0", member, RunEnd::Failed);
        pool.runFor(300ms);
        mostAvoided = std::max(mostAvoided, pool.avoided());
    }
    CHECK(pool.starts == 8);
    CHECK(mostAvoided == 0);
}

TEST_CASE("a worker on which different lasting tasks fail gets no new runs for a time")
{
    HealthPool pool(1);
    pool.submit(1, longRunningStep(3));
    for (unsigned n = 0; n < 3; ++n) {
        CHECK(pool.avoided() == 0);
        CHECK(pool.end({ jobId(1), 0, 0, n }, RunEnd::Failed) == "w0");
        pool.runFor(100ms);
    }
    CHECK(pool.avoided() == 1);
}

TEST_CASE("failures of a lasting task that had served count against its worker again")
{
    HealthPool pool(1);
    pool.percent = 100;
    pool.submit(1, longRunningStep(1));
    for (unsigned n = 0; n < 3; ++n) {
        CHECK(pool.avoided() == 0);
        pool.runFor(11s);
        CHECK(pool.end(firstTask, RunEnd::Failed) == "w0");
        pool.runFor(100ms);
    }
    CHECK(pool.avoided() == 1);
}

// Each member's end counted, and the job was given up after one run.
TEST_CASE("a gang whose members share a failing worker is tried again elsewhere while it has attempts left")
{
    for (const unsigned members : { 4U, 6U, 12U }) {
        CAPTURE(members);
        HealthPool pool(3);
        auto spec = oneStep(members);
        spec.steps.front().isGang = true;
        pool.submit(1, spec);
        for (unsigned run = 0; run < 3; ++run) {
            for (auto& [worker, answer] : pool.answers) {
                while (!answer.running.empty())
                    pool.end(std::string(worker), TaskKey(answer.running.front().task), RunEnd::Failed);
            }
            pool.runFor(100ms);
            REQUIRE(pool.core.jobs().stateOf(jobId(1)));
            CHECK(*pool.core.jobs().stateOf(jobId(1)) == JobState::Running);
        }
        CHECK(pool.starts == 4 * members);
    }
}

namespace {

/// Within 4 s of calm and `contactMs` after the worker is sound again, and less than 3 s more, each task has to run.
constexpr milliseconds trialLimit = 4000ms + 3000ms + 3000ms;

/// The worker "w0" fails all that it starts for some time, while jobs are handed in. Runs elsewhere, and there later on, are at work after
/// their startup.
struct GreyWorkerDay {
    explicit GreyWorkerDay(unsigned workers)
        : pool(workers)
    {
    }

    void runFor(milliseconds time)
    {
        for (auto passed = 0ms; passed < time; passed += 100ms) {
            for (auto& [worker, answer] : pool.answers) {
                if (worker == "w0" && pool.now < soundAt) {
                    while (!answer.running.empty())
                        pool.end("w0", TaskKey(answer.running.front().task), RunEnd::Failed);
                }
                for (auto& run : answer.running)
                    run.percent = std::min(100U, run.percent + static_cast<unsigned>(100ms * 100 / startup));
            }
            pool.runFor(100ms);
        }
    }

    std::size_t runsOn(const std::string& worker) { return pool.answers.at(worker).running.size(); }

    HealthPool pool;
    Instant soundAt {};
    milliseconds startup { 500 };
};

} // namespace

// Each failure of another task doubled the worker's pause, to 24 s, and nothing tried it earlier.
TEST_CASE("lasting tasks without another place get back to a worker soon after it has stopped to fail them")
{
    for (const auto greyFor : { 1000ms, 3100ms, 6500ms, 12000ms }) {
        for (const unsigned jobs : { 3U, 6U, 12U }) {
            for (const auto startup : { 500ms, 2000ms }) {
                CAPTURE(greyFor.count());
                CAPTURE(jobs);
                CAPTURE(startup.count());
                GreyWorkerDay day(12);
                day.soundAt = day.pool.now + greyFor;
                day.startup = startup;
                for (unsigned n = 0; n < jobs; ++n) {
                    auto spec = onePerWorker(12);
                    spec.steps.front().isLasting = true;
                    spec.steps.front().need.milliCores = 500;
                    day.pool.submit(1 + n, spec);
                }
                day.runFor(greyFor + trialLimit - 100ms);
                for (const auto& [worker, answer] : day.pool.answers)
                    CHECK(answer.running.size() == jobs);
            }
        }
    }
}

TEST_CASE("a service of one worker is served again soon after the worker has stopped to fail its tasks")
{
    GreyWorkerDay day(1);
    day.soundAt = day.pool.now + 6500ms;
    for (unsigned n = 0; n < 6; ++n)
        day.pool.submit(1 + n, longRunningStep(1));
    day.runFor(6500ms + trialLimit - 100ms);
    CHECK(day.runsOn("w0") == 6);
}

TEST_CASE("tasks and gangs without another place get back to a worker soon after it has stopped to fail them, and aren't given up by trials")
{
    for (const bool isGang : { false, true }) {
        CAPTURE(isGang);
        GreyWorkerDay day(3);
        day.soundAt = day.pool.now + 6500ms;
        auto spec = onePerWorker(3);
        spec.steps.front().estimate = 60s;
        for (unsigned n = 0; n < 6; ++n)
            day.pool.submit(1 + n, spec);
        day.runFor(200ms);
        REQUIRE(day.pool.avoided() == 1);
        spec.steps.front().isGang = isGang;
        day.pool.submit(7, spec);
        for (unsigned n = 1; n <= 6 && isGang; ++n) // So that the gang itself is the trial.
            day.pool.core.cancel(jobId(n), day.pool.at());
        day.runFor(6300ms + trialLimit - 100ms);
        for (unsigned n = isGang ? 7 : 1; n <= 7; ++n) {
            const auto* job = day.pool.core.jobs().find(jobId(n));
            REQUIRE(job);
            CHECK(job->occurrences.at(0).steps[0].placedCount == 3);
        }
    }
}

TEST_CASE("a task that another worker can take sooner or later isn't tried on a worker that fails its tasks")
{
    GreyWorkerDay day(2);
    day.soundAt = day.pool.now + 60s;
    day.pool.submit(1, oneStep(6, 60s, 2000));
    day.runFor(200ms);
    REQUIRE(day.pool.avoided() == 1);
    day.pool.submit(2, oneStep(10, 60s, 2000)); // More than "w1" has room for.
    const auto starts = day.pool.starts;
    day.runFor(2500ms);
    CHECK(day.pool.starts - starts <= 8);
    CHECK(day.runsOn("w1") == 8);
}

TEST_CASE("a task that fails on any worker doesn't keep others from a worker that is sound again")
{
    GreyWorkerDay day(1);
    day.soundAt = day.pool.now + 1000ms;
    for (unsigned n = 0; n < 6; ++n)
        day.pool.submit(1 + n, longRunningStep(1));
    for (unsigned n = 0; n < 100; ++n) {
        day.pool.end(firstTask, RunEnd::Failed);
        day.runFor(100ms);
    }
    CHECK(day.runsOn("w0") >= 5);
}
