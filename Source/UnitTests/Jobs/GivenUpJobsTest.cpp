/// Tests of jobs that fail although none of their tasks crashes its workers, and of jobs that have to fail because one does.

#include "LastingChecks.h"
#include "WaveFleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <utility>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobVerb;

namespace {

/// The fewest crashes under one of its tasks after which a job may fail for them, by the platform's rules.
constexpr unsigned fewestCrashes = 2;
/// Starts that may follow the third crash, by the same rules.
constexpr unsigned maximumCrashes = 5;
/// From a start order to the crash: the start has arrived, or was lost, by then.
constexpr std::chrono::milliseconds startTime { 30 };
/// The same for a worker that has answered a poll in between, which shows that it doesn't have the run.
constexpr std::chrono::milliseconds timeWithPolls { 2500 };
/// All attempts of a start.
constexpr unsigned allAttempts = 1000;

/// Starts of the only task are lost, or carried out, and their workers crash by themselves.
class LostStartFleet : public JobFleet {
public:
    explicit LostStartFleet(bool closes)
        : JobFleet(4, 12, 16)
    {
        closesConnections = closes;
        for (auto& [id, worker] : workers)
            worker->closesConnections = closes;
        setRunTime(10s);
        settle();
    }

    void submit(const JobSpec& spec) { REQUIRE(call(hosts.begin()->first, JobVerb::Submit, task.job, spec)); }

    void setStartsToLose(unsigned count)
    {
        for (const auto& [name, host] : hosts) {
            host->workers->delayedWorker.clear();
            host->workers->startsToLose = count;
        }
    }

    /// Runs until a start is lost on its way to a worker that is up, and returns the worker; empty if the job is given up first.
    std::string waitForLostStart()
    {
        return waitFor([this] {
            const auto it = std::ranges::find_if(hosts, [](const auto& entry) { return !entry.second->workers->delayedWorker.empty(); });
            auto worker = it == hosts.end() ? std::string() : it->second->workers->delayedWorker;
            if (worker.empty() || !workers.at(worker)->isCrashed)
                return worker;
            setStartsToLose(allAttempts); // It was an attempt for the run before.
            return std::string();
        });
    }

    /// The same until a start is carried out.
    std::string waitForStart()
    {
        return waitFor([this] { return runMonitor.running[task] == 0 ? std::string() : busyWorker().entry.id; });
    }

    JobState state() { return stateOf(hosts.begin()->first, task.job); }
    unsigned crashesUnderTask() { return runMonitor.crashesUnder[task]; }

    const TaskKey task { jobId(1), 0, 0, 0 };

private:
    std::string waitFor(const std::function<std::string()>& worker)
    {
        for (unsigned n = 0; n < 2000; ++n) {
            if (auto found = worker(); !found.empty())
                return found;
            if (n % 50 == 0 && state() == JobState::Failed)
                return {};
            runFor(10ms);
        }
        FAIL("no start within 20 s");
        return {};
    }
};

using Starts = std::vector<bool>;

struct LostStarts {
    Starts areCarriedOut; ///< Of each start of the only task. Its worker crashes whether it is or not.
    std::chrono::milliseconds upFor = startTime; ///< From a start that is lost to the crash.
    bool closes = true;
    std::size_t takeOverAfter = 0; ///< The owner is killed after so many crashes; zero for never.
};

std::string describe(const LostStarts& it)
{
    std::string text;
    for (const bool isCarriedOut : it.areCarriedOut)
        text += isCarriedOut ? "carried out, " : "lost, ";
    return text + std::to_string(it.upFor.count()) + " ms" + (it.closes ? ", closed" : ", silent") + ", taken over after " + std::to_string(it.takeOverAfter);
}

void checkIsServed(const JobSpec& spec, const LostStarts& starts, JobState expected)
{
    CAPTURE(describe(starts));
    LostStartFleet fleet(starts.closes);
    const auto& areCarriedOut = starts.areCarriedOut;
    fleet.setStartsToLose(areCarriedOut.front() ? 0 : allAttempts);
    fleet.submit(spec);
    for (std::size_t n = 0; n < areCarriedOut.size(); ++n) {
        const auto worker = areCarriedOut[n] ? fleet.waitForStart() : fleet.waitForLostStart();
        if (worker.empty())
            break;
        fleet.runFor(areCarriedOut[n] ? startTime : starts.upFor);
        const bool isLast = n + 1 == areCarriedOut.size();
        fleet.setStartsToLose(isLast || areCarriedOut[n + 1] ? 0 : allAttempts);
        fleet.crashWorker(worker);
        if (n + 1 != starts.takeOverAfter)
            continue;
        fleet.runFor(50ms);
        fleet.killHost(fleet.ownerOf("desk"));
    }
    fleet.setStartsToLose(0);
    fleet.setRunTime(spec.steps.front().isLasting ? 10min : 500ms);
    fleet.runFor(20s);
    REQUIRE(fleet.crashesUnderTask() < fewestCrashes);
    CHECK(fleet.state() == expected);
}

constexpr unsigned lastingJobs = 4;
constexpr unsigned firstShortJob = 100;

struct Waves {
    bool grows = false; ///< From 36 machines to 270, after some waves.
    unsigned shortJobsEach = 0; ///< Accepted just before each wave, so that crashed workers have tasks that have only just started.
    std::uint64_t shortMilliCores = 1000; ///< Of each of their tasks.
};

/// Plays waves of crashes every two seconds for half a minute.
void playWaves(WaveFleet& fleet, const Waves& waves)
{
    for (unsigned n = 1; n <= lastingJobs; ++n)
        fleet.submit(n, longRunningStep(6));
    fleet.runFor(2s);
    auto shortJob = firstShortJob;
    for (unsigned wave = 0; wave < 15; ++wave) {
        if (waves.grows && wave >= 4 && fleet.machines.size() < 270)
            fleet.addWorkers(78);
        fleet.runFor(1850ms);
        for (unsigned n = 0; n < waves.shortJobsEach; ++n)
            fleet.submitLater(shortJob++, oneStep(6, 700ms, waves.shortMilliCores));
        fleet.runFor(150ms);
        fleet.crashShare(300);
    }
    fleet.runFor(15s);
}

void checkWaves(const Waves& waves)
{
    for (std::uint64_t seed = 1; seed <= 7; ++seed) {
        CAPTURE(seed);
        WaveFleet fleet(seed);
        playWaves(fleet, waves);
        for (unsigned n = 1; n <= lastingJobs; ++n) {
            CAPTURE(n);
            CHECK(fleet.stateOf(n) == JobState::Running);
        }
        CHECK(fleet.runMonitor.duplicateRuns == 0);
    }
}

} // namespace

TEST_CASE("a job isn't given up for crashes of workers that its starts never reached")
{
    for (const bool closes : { true, false }) {
        for (const auto& starts : { Starts(4, false), Starts { true, false, false, false }, Starts { false, false, false, true } })
            checkIsServed(oneStep(1), { starts, startTime, closes }, JobState::Completed);
    }
}

TEST_CASE("a job isn't given up for crashes of workers that have answered polls without its run")
{
    for (const bool closes : { true, false }) {
        for (const auto& starts : { Starts(4, false), Starts(8, false), Starts { false, true, false, false, false, false } }) {
            checkIsServed(oneStep(1), { starts, timeWithPolls, closes }, JobState::Completed);
            checkIsServed(longRunningStep(1), { starts, timeWithPolls, closes }, JobState::Running);
        }
    }
}

TEST_CASE("a job isn't given up by the next owner for crashes of workers that its starts never reached")
{
    for (const auto& starts : { Starts(4, false), Starts { true, false, false, false }, Starts { false, false, false, true } }) {
        for (std::size_t takeOverAfter = 1; takeOverAfter <= 3; ++takeOverAfter)
            checkIsServed(oneStep(1), { starts, startTime, true, takeOverAfter }, JobState::Completed);
    }
}

TEST_CASE("a lasting job isn't given up for crashes of workers that its starts never reached")
{
    for (const auto& starts : { Starts(4, false), Starts { true, false, false, false } })
        checkIsServed(longRunningStep(1), { starts }, JobState::Running);
}

TEST_CASE("no lasting job is given up while a third of the workers crash by themselves every two seconds")
{
    checkWaves({});
}

TEST_CASE("no lasting job is given up while a third of the workers crash by themselves and the pool grows")
{
    checkWaves({ .grows = true });
}

TEST_CASE("no lasting job is given up while workers crash by themselves under other tasks that have only just started")
{
    checkWaves({ .shortJobsEach = 20 });
}

TEST_CASE("no lasting job is given up while workers crash by themselves under many tasks that have only just started")
{
    checkWaves({ .shortJobsEach = 40 });
}

TEST_CASE("no lasting job is given up while workers of a growing pool crash by themselves under tasks that have only just started")
{
    checkWaves({ .grows = true, .shortJobsEach = 40, .shortMilliCores = 4000 });
}

namespace {

/// What becomes of the starts of a task that crashes each worker that starts it.
struct CrashingCase {
    bool isLasting = false;
    bool closes = true;
    bool keepsIds = false;
    bool losesAnswers = false; ///< No start is answered.
    unsigned takeOvers = 0; ///< The owner is killed after each of the first crashes.
    std::chrono::milliseconds crashDelay { 10 };
};

std::string describe(const CrashingCase& it)
{
    return std::string(it.isLasting ? "lasting" : "short") + (it.closes ? ", closed" : ", silent") + (it.keepsIds ? ", ids kept" : "") + (it.losesAnswers ? ", unanswered" : "") + ", " + std::to_string(it.takeOvers) + " takeovers, " + std::to_string(it.crashDelay.count()) + " ms";
}

void setAnswersToLose(JobFleet& fleet, unsigned count)
{
    for (const auto& [name, host] : fleet.hosts)
        host->workers->startAnswersToLose = count;
}

void checkIsEnded(const CrashingCase& it)
{
    CAPTURE(describe(it));
    JobFleet fleet(4, 0);
    fleet.closesConnections = it.closes;
    fleet.keepsWorkerIds = it.keepsIds;
    fleet.onWorkerAdded = [&it](FakeWorker& worker) { worker.crashDelay = it.crashDelay; };
    for (unsigned n = 0; n < 12; ++n) {
        fleet.addWorker("w" + std::to_string(n), "m" + std::to_string(n), 16);
        fleet.publishWorker("w" + std::to_string(n));
    }
    fleet.settle();
    const TaskKey crashing { jobId(1), 0, 0, 0 };
    fleet.runMonitor.crashing.insert(crashing);
    if (it.isLasting)
        fleet.runMonitor.runTimes[crashing.job] = 10min;
    if (it.losesAnswers)
        setAnswersToLose(fleet, 1000);
    const auto firstSubmit = fleet.loop.now();
    for (unsigned n = 1; n <= 4; ++n)
        REQUIRE(fleet.call("host-0", JobVerb::Submit, jobId(n), n == 1 && it.isLasting ? longRunningStep(3) : oneStep(3)));
    for (unsigned takeOver = 1; takeOver <= it.takeOvers; ++takeOver) {
        for (unsigned n = 0; n < 3000 && fleet.runMonitor.crashes[crashing] < takeOver; ++n)
            fleet.runFor(10ms);
        REQUIRE(fleet.runMonitor.crashes[crashing] >= takeOver);
        fleet.runFor(takeOver % 2 == 1 ? 100ms : 1500ms); // Before, and after, the owner knows.
        if (const auto owner = fleet.ownerOf("desk"); !owner.empty() && fleet.stateOf(owner, jobId(1)) != JobState::Failed)
            fleet.killHost(owner);
    }
    fleet.runFor(50s);
    CHECK(fleet.runMonitor.crashes[crashing] >= fewestCrashes);
    const auto host = fleet.hosts.begin()->first;
    if (it.isLasting) {
        checkCosts(fleet.runMonitor, crashing, { .mostBeforeConfined = it.losesAnswers ? 5U : 2U, .mostCostly = 1, .mostInDoubt = !it.closes || it.losesAnswers || it.takeOvers > 0 ? 12U : 0U, .fewestCrashes = fewestCrashesIn(50s, it.crashDelay), .runsPerWorker = 16, .time = std::chrono::duration_cast<std::chrono::milliseconds>(fleet.loop.now() - firstSubmit), .downTime = fleet.downTime, .takeOvers = it.takeOvers });
    } else {
        CHECK(fleet.runMonitor.crashes[crashing] <= maximumCrashes);
    }
    CHECK(fleet.stateOf(host, jobId(1)) == (it.isLasting ? JobState::Running : JobState::Failed));
    for (unsigned n = 2; n <= 4; ++n)
        CHECK(fleet.stateOf(host, jobId(n)) == JobState::Completed);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
}

} // namespace

TEST_CASE("a task that crashes its workers is given up in time, or confined if it lasts, with its starts unanswered and its pool taken over as well")
{
    for (unsigned n = 0; n < 16; ++n) {
        for (const unsigned takeOvers : { 0U, 1U, 2U }) {
            for (const auto crashDelay : { 1ms, 10ms, 150ms })
                checkIsEnded({ (n & 1U) != 0, (n & 2U) != 0, (n & 4U) != 0, (n & 8U) != 0, takeOvers, crashDelay });
        }
    }
}

TEST_CASE("a task that crashes its workers is given up in time, or confined if it lasts, while a third of all workers crash by themselves")
{
    for (const bool losesAnswers : { false, true }) {
        for (const bool grows : { false, true }) {
            for (std::uint64_t seed = 1; seed <= 4; ++seed) {
                CAPTURE(losesAnswers);
                CAPTURE(grows);
                CAPTURE(seed);
                WaveFleet fleet(seed);
                const TaskKey lasting { jobId(1), 0, 0, 0 };
                const TaskKey brief { jobId(firstShortJob), 0, 0, 0 };
                fleet.runMonitor.crashing = { lasting, brief };
                if (losesAnswers)
                    setAnswersToLose(fleet, 1000000);
                playWaves(fleet, { .grows = grows, .shortJobsEach = 4 });
                CHECK(fleet.runMonitor.crashes[brief] <= maximumCrashes);
                CHECK(fleet.stateOf(firstShortJob) == JobState::Failed);
                CHECK(fleet.stateOf(1) == JobState::Running);
                checkCosts(fleet.runMonitor, lasting, { .runsPerWorker = 8, .time = 47s, .downTime = fleet.downTime });
            }
        }
    }
}
