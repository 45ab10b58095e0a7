/// Tests of the decision core alone: which tasks suspected of crashing their workers wait, and which are given up.

#include "JobFleet.h"
#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

/// A core whose workers answer at once. Tasks listed as crashing crash their workers 10 ms after each start.
class CoreRig {
public:
    struct RigWorker {
        WorkerEntry entry;
        std::map<TaskKey, std::pair<RunNumber, Instant>> running;
        std::vector<Ports::EndedTask> ended;
        std::uint64_t endNumber = 0;
        Instant crashAt = Instant::max();
    };

    void addWorker(const std::string& machine, std::uint64_t cores, std::uint64_t accelerators = 0)
    {
        RigWorker worker;
        worker.entry.id = machine + "-" + std::to_string(++m_incarnations);
        worker.entry.machine = machine;
        worker.entry.address = "10.0.0.1:1";
        worker.entry.incarnation = m_incarnations;
        worker.entry.capacity = { cores * 1000, 100000, accelerators };
        core.onWorkerListed(worker.entry, at);
        workers[worker.entry.id] = worker;
    }

    void submit(unsigned number, const JobSpec& spec, milliseconds objective = 3000ms)
    {
        QueueRule queue;
        queue.name = "bookings";
        queue.stretchPermille = 0;
        queue.targetDuration = objective;
        REQUIRE(core.submit(jobId(number), queue, spec, at).outcome == Ports::JobOutcome::Accepted);
    }

    void crash(const std::string& worker) { workers.at(worker).crashAt = at.now; }

    void runFor(milliseconds time)
    {
        for (const auto end = at.now + time; at.now < end;)
            tick();
    }

    bool isRunning(const TaskKey& task) const
    {
        return std::ranges::any_of(workers, [&](const auto& it) { return it.second.running.contains(task); });
    }

    /// The worker that runs the task; empty for none.
    std::string workerOf(const TaskKey& task) const
    {
        for (const auto& [id, worker] : workers) {
            if (worker.running.contains(task))
                return id;
        }
        return {};
    }

    JobState stateOf(unsigned number) const { return core.show(jobId(number)).state; }

    PoolCore core { PoolLimits {} };
    Moment at { Instant(1h), Common::WallTime(1000h) };
    std::map<std::string, RigWorker> workers;
    std::set<TaskKey> crashing;
    std::set<TaskKey> unanswered; ///< Their first starts aren't confirmed.
    std::map<TaskKey, unsigned> starts;
    std::vector<LogEvent> log;
    milliseconds downTime { 3300 };

private:
    static constexpr milliseconds step { 10 };
    static constexpr milliseconds pollInterval { 100 };

    void tick()
    {
        at.now += step;
        at.wall += step;
        for (auto it = workers.begin(); it != workers.end();) {
            const bool hasCrashed = it->second.crashAt <= at.now;
            if (hasCrashed) {
                core.onWorkerFailing(it->first, it->second.crashAt, at);
                core.onWorkerUnlisted(it->first, at);
                core.onWorkerLost(it->first, WorkerLoss::Crashed, at);
                m_returns.emplace_back(at.now + downTime, it->second.entry);
            }
            it = hasCrashed ? workers.erase(it) : std::next(it);
        }
        for (const auto& [when, entry] : std::exchange(m_returns, {})) {
            if (when <= at.now)
                addWorker(entry.machine, entry.capacity.milliCores / 1000, entry.capacity.accelerators);
            else
                m_returns.emplace_back(when, entry);
        }
        for (auto& [id, worker] : workers) {
            for (auto it = worker.running.begin(); it != worker.running.end();) {
                const auto* job = core.jobs().find(it->first.job);
                const bool isDone = job && at.now - it->second.second >= job->spec().steps[it->first.step].estimate;
                if (isDone)
                    worker.ended.push_back({ ++worker.endNumber, it->first, it->second.first, RunEnd::Done, {} });
                it = isDone ? worker.running.erase(it) : std::next(it);
            }
            if (at.now.time_since_epoch() % pollInterval == 0us || !worker.ended.empty())
                poll(id, worker);
        }
        core.decide(at);
        carryOut();
    }

    void poll(const std::string& id, RigWorker& worker)
    {
        Ports::PollAnswer answer;
        answer.answer.status = Ports::WorkerStatus::Done;
        answer.incarnation = worker.entry.incarnation;
        for (const auto& [task, run] : worker.running) {
            if (!unanswered.contains(task) || starts[task] > 1)
                answer.running.push_back({ task, run.first, {}, static_cast<unsigned>((at.now - run.second) / 1ms % 97), 0 });
        }
        answer.ended = std::exchange(worker.ended, {});
        core.onPollAnswer(id, answer, at.now, at);
    }

    void carryOut()
    {
        auto output = core.takeOutput();
        std::ranges::move(output.log, std::back_inserter(log));
        for (const auto& order : output.orders) {
            if (const auto* start = std::get_if<StartRun>(&order)) {
                auto& worker = workers.at(start->worker);
                worker.running[start->task] = { start->run, at.now };
                ++starts[start->task];
                if (crashing.contains(start->task))
                    worker.crashAt = std::min(worker.crashAt, at.now + step);
                if (!unanswered.contains(start->task) || starts[start->task] > 1)
                    core.onStartAnswer(*start, { Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, {} }, at);
            } else if (const auto* stop = std::get_if<StopRun>(&order); stop && workers.contains(stop->worker)) {
                auto& worker = workers.at(stop->worker);
                if (worker.running.erase(stop->task) > 0)
                    worker.ended.push_back({ ++worker.endNumber, stop->task, stop->run, RunEnd::Stopped, {} });
                core.onStopAnswer(*stop, { Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, {} }, at);
            }
        }
    }

    std::uint64_t m_incarnations = 0;
    std::vector<std::pair<Instant, WorkerEntry>> m_returns;
};

TaskKey firstTask(unsigned job) { return { jobId(job), 0, 0, 0 }; }

/// Lets the core learn how soon after their starts tasks crash workers, from a job that is given up.
void learnWindow(CoreRig& rig, unsigned job)
{
    rig.crashing.insert(firstTask(job));
    rig.submit(job, oneStep(1));
    for (unsigned n = 0; n < 1000 && rig.stateOf(job) != JobState::Failed; ++n)
        rig.runFor(10ms);
    REQUIRE(rig.stateOf(job) == JobState::Failed);
    rig.runFor(rig.downTime + 100ms);
}

/// Adds a machine, lets a task crash its worker and then the other machine's, and returns its starts until its job is given up.
unsigned startsUntilGivenUp(CoreRig& rig, unsigned job)
{
    std::set<std::string> others;
    for (const auto& [id, worker] : rig.workers)
        others.insert(id);
    rig.addWorker("clean", 16);
    rig.core.cordon(others, rig.at);
    rig.crashing.insert(firstTask(job));
    rig.submit(job, oneStep(1));
    rig.downTime = 1h;
    rig.runFor(100ms);
    REQUIRE(rig.starts[firstTask(job)] == 1);
    rig.downTime = 3300ms;
    rig.core.cordon({}, rig.at);
    rig.runFor(30s);
    CHECK(rig.stateOf(job) == JobState::Failed);
    return rig.starts[firstTask(job)];
}

} // namespace

TEST_CASE("likely suspects don't wait beside idle workers for one of them that needs what another task uses")
{
    CoreRig rig;
    for (const auto* machine : { "m0", "m1", "m2", "m3" })
        rig.addWorker(machine, 16);
    learnWindow(rig, 1);
    rig.addWorker("g0", 16, 1);
    auto spec = oneStep(1, 40s, 16000);
    spec.steps.front().need.accelerators = 1;
    rig.submit(3, spec); // Uses the only GPU for long.
    rig.runFor(500ms);
    REQUIRE(rig.isRunning(firstTask(3)));
    rig.addWorker("g1", 16, 1);
    spec.steps.front().estimate = 500ms;
    spec.steps.front().need.milliCores = 1000;
    rig.crashing.insert(firstTask(2));
    rig.downTime = 1h; // Which doesn't return.
    rig.submit(2, spec); // Crashes the worker with the other one,
    rig.runFor(200ms);
    rig.downTime = 3300ms;
    REQUIRE(rig.starts[firstTask(2)] == 1);
    REQUIRE(rig.isRunning(firstTask(3)));
    rig.submit(4, spec); // for which this one waits as well.
    for (unsigned n = 5; n <= 8; ++n) {
        rig.crashing.insert(firstTask(n));
        rig.submit(n, oneStep(1, 500ms));
        rig.runFor(200ms);
    }
    rig.runFor(10s);
    for (unsigned n = 5; n <= 8; ++n) {
        CAPTURE(n);
        CHECK(rig.starts[firstTask(n)] >= 2);
    }
}

TEST_CASE("a worker set aside for the suspect that has waited longest takes that one first, also when its job is late")
{
    CoreRig rig;
    constexpr unsigned oldest = 1;
    constexpr unsigned younger = 2;
    constexpr unsigned firstLong = 3;
    const auto accept = [&](unsigned job, const JobSpec& spec, milliseconds age, milliseconds objective) {
        JobAccepted accepted { jobId(job), "bookings", 0, 1, objective, rig.at.wall - age, spec };
        rig.core.load({ accepted });
    };
    accept(oldest, oneStep(1, 500ms), 10s, 1s);
    accept(younger, oneStep(1, 20s, 16000), 0s, 120s);
    accept(firstLong, oneStep(1, 7s, 16000), 0s, 120s);
    accept(firstLong + 1, oneStep(1, 60s, 16000), 0s, 120s);
    rig.core.load({ TaskSuspected { firstTask(oldest), { 1, 1, 1 } } });
    const std::map<unsigned, std::string> places { { younger, "m0-1" }, { firstLong, "m1-2" }, { firstLong + 1, "m2-3" } };
    for (const auto& [job, worker] : places)
        rig.core.load({ RunStarted { firstTask(job), 1, worker } });
    rig.core.finishLoad(rig.at);
    for (const auto* machine : { "m0", "m1", "m2" })
        rig.addWorker(machine, 16);
    for (const auto& [job, worker] : places)
        rig.workers.at(worker).running[firstTask(job)] = { 1, rig.at.now };
    rig.downTime = 1h;
    rig.runFor(100ms);
    rig.crash("m0-1"); // Makes the younger one a suspect.
    rig.runFor(6s);
    REQUIRE(rig.starts[firstTask(oldest)] == 0);
    REQUIRE(rig.starts[firstTask(younger)] == 0);
    REQUIRE(rig.core.jobs().find(jobId(younger)) != nullptr);
    for (unsigned n = 0; n < 200 && rig.starts[firstTask(younger)] + rig.starts[firstTask(oldest)] == 0; ++n)
        rig.runFor(10ms); // The first of the long ones ends.
    CHECK(rig.starts[firstTask(younger)] == 0);
    CHECK(rig.starts[firstTask(oldest)] == 1);
}

TEST_CASE("a worker that crashes under a task of a cancelled job doesn't make its machine one that crashes by itself")
{
    CoreRig rig;
    rig.addWorker("m0", 16);
    rig.runFor(200ms);
    rig.crashing.insert(firstTask(1));
    rig.submit(1, oneStep(1));
    rig.runFor(10ms);
    REQUIRE(rig.starts[firstTask(1)] == 1);
    rig.core.cancel(jobId(1), rig.at);
    rig.runFor(4s);
    rig.crashing.insert(firstTask(2));
    rig.submit(2, oneStep(1));
    rig.runFor(30s);
    CHECK(rig.stateOf(2) == JobState::Failed);
    CHECK(rig.starts[firstTask(2)] == 2);
}

TEST_CASE("a task whose first crash was on another machine isn't started more often for a crash under a cancelled job's task")
{
    CoreRig rig;
    rig.addWorker("m0", 16);
    rig.runFor(200ms);
    rig.crashing.insert(firstTask(1));
    rig.submit(1, oneStep(1));
    rig.runFor(10ms);
    REQUIRE(rig.starts[firstTask(1)] == 1);
    rig.core.cancel(jobId(1), rig.at);
    rig.runFor(4s);
    CHECK(startsUntilGivenUp(rig, 2) == 2);
}

TEST_CASE("a worker that crashes under a stopped task of a failed job doesn't make its machine one that crashes by itself")
{
    CoreRig rig;
    rig.addWorker("m0", 16);
    rig.addWorker("m1", 16);
    rig.runFor(200ms);
    rig.submit(1, oneStep(2, 1s, 16000));
    rig.runFor(10ms);
    const auto failing = rig.workerOf(firstTask(1));
    auto& worker = rig.workers.at(failing);
    const auto run = worker.running.at(firstTask(1)).first;
    worker.running.clear();
    worker.ended.push_back({ ++worker.endNumber, firstTask(1), run, RunEnd::Failed, {} });
    const auto crashing = rig.workerOf({ jobId(1), 0, 0, 1 });
    rig.workers.at(crashing).crashAt = rig.at.now + 20ms;
    rig.workers.at(failing).crashAt = Instant::max();
    rig.runFor(10ms);
    REQUIRE(rig.stateOf(1) == JobState::Failed);
    rig.runFor(10ms);
    REQUIRE(!rig.workers.contains(crashing));
    rig.runFor(4s);
    rig.core.onWorkerUnlisted(failing, rig.at);
    rig.workers.erase(failing);
    CHECK(startsUntilGivenUp(rig, 2) == 2);
}

TEST_CASE("a lapsed worker that is found to have crashed after its task's job was cancelled doesn't make its machine one that crashes by itself")
{
    CoreRig rig;
    rig.addWorker("m0", 16);
    rig.runFor(200ms);
    rig.submit(1, oneStep(1));
    rig.runFor(20ms);
    REQUIRE(rig.isRunning(firstTask(1)));
    rig.workers.clear();
    rig.core.onWorkerFailing("m0-1", rig.at.now, rig.at);
    rig.core.onWorkerLost("m0-1", WorkerLoss::Lapsed, rig.at);
    rig.core.cancel(jobId(1), rig.at);
    rig.runFor(2s);
    rig.addWorker("m0", 16);
    rig.core.onWorkerUnlisted("m0-1", rig.at);
    rig.runFor(200ms);
    REQUIRE(std::ranges::any_of(rig.log, [](const auto& it) { return it.event == std::string("worker-crashed"); }));
    CHECK(startsUntilGivenUp(rig, 2) == 2);
}

TEST_CASE("a task isn't given up as the only suspect of a crash that a stopped one beside it may have caused")
{
    CrashWitness stopped { firstTask(1), {} };
    stopped.age = 10ms;
    CrashWitness beside { firstTask(2), { 1, 1, 1 } };
    beside.age = 10ms;
    REQUIRE(judgeCrash({ beside }, false)[0].isGuilty);
    stopped.wasStopped = true;
    for (const auto window : { 0ms, 20ms }) {
        CAPTURE(window.count());
        const auto verdicts = judgeCrash({ stopped, beside }, false, window);
        CHECK(verdicts[0].isExcuse);
        CHECK(!verdicts[0].isSuspect);
        CHECK(!verdicts[1].isGuilty);
        CHECK(verdicts[1].tally.suspected == 2);
        CHECK(judgeCrash({ stopped, { beside.task, verdicts[1].tally } }, false, window)[1].isGuilty);
    }
    beside.isProven = true;
    CHECK(judgeCrash({ stopped, beside }, false)[1].tally == beside.tally);
    stopped.isProven = true;
    CHECK(!judgeCrash({ stopped, beside }, false)[0].isExcuse);
    CHECK(judgeCrash({ stopped, beside }, false)[1].tally.unexplained == 2);
}

TEST_CASE("a crash that a stopped task may have caused counts neither for the machine nor for others when its suspects are acquitted")
{
    CrashHistory history;
    history.add("m0", { { firstTask(1), { 1, 1, 0 } }, { firstTask(2), { 0, 0, 0 } } }, false, Instant(1h), true);
    CHECK(history.countOf("m0") == 1);
    CHECK(history.acquit(firstTask(1)).empty());
    CHECK(!history.crashedByItself("m0"));
    CHECK(history.countOf("m0") == 0);
    CHECK(!history.byMachine().at("m0").isByItself);
}

TEST_CASE("a start that was never sent, of a job cancelled since, doesn't excuse a machine that crashes by itself")
{
    CoreRig rig;
    rig.addWorker("m0", 16);
    rig.runFor(200ms);
    rig.unanswered.insert(firstTask(1));
    rig.submit(1, oneStep(1));
    rig.runFor(10ms);
    rig.core.cancel(jobId(1), rig.at);
    rig.crash("m0-1");
    rig.runFor(10ms);
    const auto crash = std::ranges::find(rig.log, "worker-crashed", [](const auto& it) { return std::string(it.event); });
    REQUIRE(crash != rig.log.end());
    const auto fieldOf = [&](const std::string& name) { return std::ranges::find(crash->fields, name, [](const auto& it) { return std::string(it.first); })->second; };
    CHECK(fieldOf("excused") == "no");
    CHECK(fieldOf("runs") == "0");
}
