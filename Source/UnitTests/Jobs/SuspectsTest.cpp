/// Tests of how long tasks that are suspected of crashing their workers wait for a worker.

#include "EventLog.h"
#include "JobFleet.h"
#include "Jobs/Decision/CrashEvidence.h"

#include <doctest/doctest.h>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobVerb;

namespace {

/// The platform allows this long without a run where there is capacity.
constexpr std::chrono::milliseconds longestWait { 3000 };
/// Jobs are asked for so long after the last one came, by the platform's rules.
constexpr std::chrono::seconds finishTime { 14 };
/// From a crash until the worker is known to be lost.
constexpr std::chrono::milliseconds detectionTime { 1000 };

class SuspectsFleet : public JobFleet {
public:
    explicit SuspectsFleet(unsigned workerCount = 12)
        : JobFleet(1, workerCount, 16)
    {
        closesConnections = true;
        for (auto& [id, worker] : workers)
            worker->closesConnections = true;
        setRunTime(20s);
        settle();
    }

    void submit(unsigned number, const JobSpec& spec) { REQUIRE(call("host-0", JobVerb::Submit, jobId(number), spec)); }

    unsigned runningTasks() const
    {
        return static_cast<unsigned>(std::ranges::count_if(runMonitor.running, [](const auto& it) { return it.second > 0; }));
    }

    /// Submits jobs of 15 tasks, the first of which is `first`, and crashes each worker that runs one just after their starts.
    void crashUnder(unsigned first, unsigned jobs, const JobSpec& spec)
    {
        const auto before = runningTasks();
        for (unsigned n = first; n < first + jobs; ++n)
            submit(n, spec);
        for (unsigned n = 0; n < 1000 && runningTasks() < before + jobs * spec.steps.front().taskCount; ++n)
            runFor(1ms);
        std::vector<std::string> busy;
        for (const auto& [id, worker] : workers) {
            if (!worker->isCrashed && worker->isBusy())
                busy.push_back(id);
        }
        for (const auto& id : busy)
            crashWorker(id);
    }
};

} // namespace

TEST_CASE("tasks suspected of a crash don't wait beside idle workers")
{
    const EventLog log;
    SuspectsFleet fleet;
    fleet.downTime = 60s;
    fleet.crashUnder(1, 4, oneStep(15, 20s));
    fleet.runFor(detectionTime);
    CHECK(log.last("pool-load").number("waitingSuspects") > 0);
    fleet.runFor(longestWait);
    CHECK(fleet.runningTasks() == 60);
}

TEST_CASE("tasks that aren't suspected start while many suspects are tried")
{
    SuspectsFleet fleet;
    fleet.downTime = 60s;
    fleet.crashUnder(1, 4, oneStep(15, 20s));
    fleet.runFor(detectionTime);
    fleet.submit(5, oneStep(4, 20s));
    fleet.runFor(longestWait);
    CHECK(fleet.runningTasks() == 64);
}

TEST_CASE("jobs beside many that crash their workers are served, and each of these fails, soon after the last one came")
{
    constexpr unsigned jobs = 200;
    constexpr unsigned maximumCrashes = 5;
    SuspectsFleet fleet(16);
    fleet.setRunTime(640ms);
    for (unsigned n = 1; n <= jobs; n += 4)
        fleet.runMonitor.crashing.insert({ jobId(n), 0, 0, n % 8 });
    for (unsigned n = 1; n <= jobs; ++n) {
        fleet.submit(n, oneStep(8, 640ms));
        fleet.runFor(100ms);
    }
    fleet.runFor(finishTime);
    for (unsigned n = 1; n <= jobs; ++n)
        CHECK(fleet.stateOf("host-0", jobId(n)) == (n % 4 == 1 ? JobState::Failed : JobState::Completed));
    for (const auto& [task, crashes] : fleet.runMonitor.crashes)
        CHECK(crashes <= maximumCrashes);
}

TEST_CASE("a crash is put down to the start just before it, once it is known how soon tasks crash their workers")
{
    constexpr auto crashAge = 10ms;
    StartSpacing spacing;
    CHECK(spacing.at(Instant(1h)) == 0ms);
    spacing.onCrash(Instant(1h));
    CHECK(spacing.at(Instant(1h)) > 0ms);
    CHECK(spacing.window(Instant(1h)) == 0ms);
    spacing.learn(crashAge);
    const auto window = spacing.window(Instant(1h));
    CHECK(window > crashAge);
    CHECK(spacing.at(Instant(1h)) > window);

    const CrashWitness earlier { { jobId(1), 0, 0, 0 }, {}, false, false, false, false, false, window + 10ms };
    const CrashWitness latest { { jobId(2), 0, 0, 0 }, {}, false, false, false, false, false, crashAge };
    auto verdicts = judgeCrash({ earlier, latest }, false, window);
    CHECK(verdicts[0].tally.suspected == 0);
    CHECK(verdicts[1].tally.suspected == 1);
    CHECK(verdicts[1].isExplanation);
    // A start that wasn't confirmed explains the crash as well.
    const CrashWitness unconfirmed { { jobId(3), 0, 0, 0 }, {}, true, false, false, true };
    verdicts = judgeCrash({ latest, unconfirmed }, false, window);
    CHECK(!verdicts[0].isExplanation);
    // Nothing else explains it.
    CHECK(judgeCrash({ earlier }, false, window)[0].tally.suspected == 1);
}

TEST_CASE("starts aren't spaced for tasks that crash their workers late, or long ago")
{
    StartSpacing late;
    late.onCrash(Instant(1h));
    late.learn(150ms);
    CHECK(late.at(Instant(1h)) == 0ms);
    StartSpacing past;
    past.onCrash(Instant(1h));
    past.learn(10ms);
    CHECK(past.at(Instant(1h) + 1min) == 0ms);
}

TEST_CASE("a task isn't given up for a crash of a worker on which it may not have started")
{
    CrashWitness task { { jobId(1), 0, 0, 0 }, {} };
    const auto crash = [&task](bool isDoubtful) {
        task.isDoubtful = task.isUnconfirmed = isDoubtful;
        const auto verdict = judgeCrash({ task }, false, 20ms).front();
        task.tally = verdict.tally;
        task.wasDoubtful = task.wasDoubtful || isDoubtful;
        return verdict.isGuilty;
    };
    CHECK(!crash(true));
    CHECK(!crash(false));
    CHECK(crash(false));
}

TEST_CASE("a task that crashes its workers late is given up in time, also where a later start seems to explain each crash")
{
    constexpr unsigned maximumCrashes = 5; // Two starts may follow the third crash.
    constexpr auto window = 20ms;
    CrashWitness late { { jobId(1), 0, 0, 0 }, {}, false, false, false, false, false, 60ms };
    const CrashWitness innocent { { jobId(2), 0, 0, 0 }, {}, false, false, false, false, false, 5ms };
    unsigned crashes = 0;
    for (bool isGuilty = false; !isGuilty && crashes < 10; ++crashes) {
        const auto verdict = judgeCrash({ late, innocent }, false, window).front();
        late.tally = verdict.tally;
        isGuilty = verdict.isGuilty;
    }
    CHECK(crashes <= maximumCrashes);
}

TEST_CASE("a task whose crashes others explain is isolated after the third, and given up only if it crashes a worker alone")
{
    constexpr auto window = 20ms;
    CrashWitness task { { jobId(1), 0, 0, 0 }, {}, false, false, false, false, false, 60ms };
    const CrashWitness culprit { { jobId(2), 0, 0, 0 }, {}, false, false, false, false, false, 5ms };
    for (const auto suspected : { 0U, 0U, 1U }) {
        const auto verdicts = judgeCrash({ task, culprit }, false, window);
        CHECK(verdicts[0].tally.suspected == suspected);
        CHECK(!verdicts[0].isGuilty);
        CHECK(verdicts[1].isExplanation);
        task.tally = verdicts[0].tally;
    }
    // It was started together with others all the same.
    CHECK(!judgeCrash({ task, culprit }, false, window)[0].isGuilty);
    CHECK(judgeCrash({ task }, false, window)[0].isGuilty);
    // A start that may not have been carried out isn't counted.
    CrashWitness doubtful = task;
    doubtful.isDoubtful = true;
    CHECK(judgeCrash({ doubtful, culprit }, false, window)[0].tally == task.tally);
}

// The job of a task whose starts never arrived was given up at its fourth crash.
TEST_CASE("a task isn't given up for four crashes under starts that were only sent, and is at the fifth, when it must not be started again")
{
    CrashWitness task { { jobId(1), 0, 0, 0 }, {} };
    const auto crash = [&task](StartEvidence start) {
        task.start = start;
        task.isDoubtful = task.isUnconfirmed = start != StartEvidence::Confirmed;
        const auto verdict = judgeCrash({ task }, false).front();
        CHECK(verdict.isSuspect);
        task.tally = verdict.tally;
        task.wasDoubtful = task.wasDoubtful || task.isDoubtful;
        return verdict.isGuilty;
    };
    SUBCASE("all of them")
    {
        for (unsigned n = 0; n < 4; ++n)
            CHECK(!crash(StartEvidence::Sent));
        CHECK(task.tally.unexplained == 0);
        CHECK(crash(StartEvidence::Sent));
    }
    SUBCASE("all but one")
    {
        CHECK(!crash(StartEvidence::Confirmed));
        for (unsigned n = 0; n < 3; ++n)
            CHECK(!crash(StartEvidence::Sent));
    }
    SUBCASE("all but two")
    {
        for (unsigned n = 0; n < 2; ++n)
            CHECK(!crash(StartEvidence::Sent));
        CHECK(!crash(StartEvidence::Confirmed));
        CHECK(crash(StartEvidence::Confirmed));
    }
}

TEST_CASE("a start counts as carried out only if its worker says so, and as sent only until the worker answers without the run")
{
    const Common::Instant sent(1h);
    WorkerRun run;
    run.orderedAt = sent - 1s;
    CHECK(run.startEvidence(sent - 2s) == StartEvidence::NotCarriedOut);
    run.sentAt = run.firstSentAt = sent;
    CHECK(run.startEvidence(sent - 1ms) == StartEvidence::Sent);
    CHECK(run.startEvidence(sent + 1s) == StartEvidence::NotCarriedOut);
    run.sentAt = sent + 2s; // It is repeated while it isn't answered.
    CHECK(run.startEvidence(sent + 1s) == StartEvidence::NotCarriedOut);
    run.startedBy = sent + 2s;
    CHECK(run.startEvidence(sent + 1s) == StartEvidence::Confirmed);
    WorkerRun inherited;
    inherited.isInherited = true;
    CHECK(inherited.startEvidence({}) == StartEvidence::Sent);
}
