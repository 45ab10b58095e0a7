/// Tests of tasks given up for starts that weren't carried out or for crashes by chance, and crashing tasks that aren't given up.

#include "EventLog.h"
#include "JobFleet.h"
#include "Jobs/Decision/CrashEvidence.h"
#include "Jobs/Decision/PoolCore.h"
#include "LastingChecks.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <variant>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobVerb;

namespace {

/// Starts that may follow the third crash, by the platform's rules.
constexpr unsigned maximumCrashes = 5;

class ReviewFleet : public JobFleet {
public:
    ReviewFleet(unsigned hostCount, unsigned workerCount, bool closes)
        : JobFleet(hostCount, workerCount, 16)
    {
        closesConnections = closes;
        onWorkerAdded = [this](FakeWorker& worker) { worker.closesConnections = closesConnections; };
        for (auto& [id, worker] : workers)
            worker->closesConnections = closes;
        settle();
    }

    void submit(unsigned number, const JobSpec& spec) { REQUIRE(call(hosts.begin()->first, JobVerb::Submit, jobId(number), spec)); }
    JobState stateOf(unsigned number) { return JobFleet::stateOf(hosts.begin()->first, jobId(number)); }
    unsigned crashes() const { return runMonitor.crashes.contains(task) ? runMonitor.crashes.at(task) : 0; }

    const TaskKey task { jobId(1), 0, 0, 0 };
};

JobAccepted acceptedJob(JobSpec spec)
{
    JobAccepted accepted;
    accepted.job = jobId(1);
    accepted.queue = "bookings";
    accepted.maximumAttempts = 3;
    accepted.acceptedAt = Common::WallTime(1000s);
    accepted.spec = std::move(spec);
    return accepted;
}

/// A pool of workers whose owner has read the records.
struct ReviewPool {
    explicit ReviewPool(const std::vector<JobRecord>& records, unsigned workers = 12)
    {
        core.load(records);
        core.finishLoad(at());
        for (unsigned n = 0; n < workers; ++n) {
            WorkerEntry entry;
            entry.id = "w" + std::to_string(n);
            entry.machine = "m" + std::to_string(n);
            entry.address = "127.0.0.1:1";
            entry.capacity = { 16000, 64000, 0 };
            core.onWorkerListed(entry, at());
            core.onPollAnswer(entry.id, {}, now, at());
        }
    }

    Moment at() const { return { now, Common::WallTime(2000s) }; }

    StartRun nextStart()
    {
        for (unsigned n = 0; n < 100; ++n, now += 100ms) {
            core.decide(at());
            for (const auto& order : core.takeOutput().orders) {
                if (const auto* start = std::get_if<StartRun>(&order))
                    return *start;
            }
        }
        FAIL("no start");
        return {};
    }

    void crash(const std::string& worker)
    {
        core.onWorkerFailing(worker, now, at());
        core.onWorkerLost(worker, WorkerLoss::Crashed, at());
        now += 1s; // Crashes of one moment are judged together, after it.
        core.decide(at());
    }

    Instant now { 1h };
    PoolCore core { PoolLimits {} };
};

} // namespace

TEST_CASE("a poll that shows that a start hasn't arrived keeps it from convicting")
{
    ReviewPool pool({ acceptedJob(oneStep(1)) });
    unsigned crashes = 0;
    for (; crashes < 8 && pool.core.show(jobId(1)).state != JobState::Failed; ++crashes) {
        const auto start = pool.nextStart();
        pool.core.onStartSent(start, pool.at());
        pool.now += 50ms;
        pool.core.onPollAnswer(start.worker, {}, pool.now - 2ms, pool.at()); // Nothing runs there, and nothing has ended.
        pool.now += 1ms;
        pool.crash(start.worker);
    }
    CAPTURE(crashes);
    CHECK(pool.core.show(jobId(1)).state != JobState::Failed);
}

TEST_CASE("a start refused as stale isn't one that was carried out")
{
    ReviewPool pool({ acceptedJob(oneStep(1)) });
    unsigned crashes = 0;
    for (; crashes < 8 && pool.core.show(jobId(1)).state != JobState::Failed; ++crashes) {
        const auto start = pool.nextStart();
        pool.core.onStartSent(start, pool.at());
        pool.now += 3ms;
        pool.core.onStartAnswer(start, { Ports::WorkerStatus::Refused, Ports::WorkerRefusal::StaleRun, {} }, pool.at());
        pool.now += 5ms;
        pool.crash(start.worker);
    }
    CAPTURE(crashes);
    CHECK(pool.core.show(jobId(1)).state != JobState::Failed);
}

// exonerate() leaves such a tally: `suspected` is taken back, `sinceProven` and `unconfirmed` aren't.
TEST_CASE("the count of unconfirmed crashes outlives a snapshot also for a task that isn't suspected any more")
{
    const TaskKey task { jobId(1), 0, 0, 0 };
    ReviewPool pool({ acceptedJob(oneStep(1)), TaskSuspected { task, { 0, 0, 3 } }, CrashesUnconfirmed { task, 3 } });
    auto records = pool.core.snapshot(pool.at());
    const auto later = pool.core.takeOutput().records;
    records.insert(records.end(), later.begin(), later.end());
    std::string text;
    for (const auto& it : records)
        appendRecord(text, it);
    std::vector<JobRecord> read;
    REQUIRE(readRecords(text, read));
    ReviewPool next(read);
    CHECK(next.core.jobs().find(jobId(1))->stepOf(task)->tasks.at(0).crashTally.unconfirmed == 3);
    // One crash under a start that was carried out.
    const auto start = next.nextStart();
    next.core.onStartSent(start, next.at());
    next.core.onStartAnswer(start, { Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, {} }, next.at());
    next.now += 10ms;
    next.crash(start.worker);
    CHECK(next.core.show(jobId(1)).state != JobState::Failed);
}

TEST_CASE("a lasting task's crashes that were excused aren't held against it by the next owner")
{
    const TaskKey task { jobId(1), 0, 0, 0 };
    ReviewPool pool({ acceptedJob(longRunningStep(1)), TaskSuspected { task, { 8, 0, 0 } } });
    const auto start = pool.nextStart();
    pool.core.onStartSent(start, pool.at());
    pool.core.onStartAnswer(start, { Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, {} }, pool.at());
    pool.now += 3s;
    pool.crash(start.worker);
    CHECK(pool.core.show(jobId(1)).state != JobState::Failed);
}

TEST_CASE("a lasting task isn't given up as a suspect for crashes that are to be expected")
{
    CrashWitness task { { jobId(1), 0, 0, 0 }, { 1, 1, 1 } };
    task.isLasting = true;
    task.expected = 50;
    CHECK(!judgeCrash({ task }, false).front().isGuilty);
}

namespace {

/// Lasting jobs given up over seeds 1 to 20 while so many of nine workers crash at each interval, for 30 s. No task crashes its worker.
unsigned givenUpByChance(unsigned owners, unsigned atOnce, std::chrono::milliseconds interval)
{
    unsigned givenUp = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        const EventLog log;
        std::mt19937_64 random(seed);
        ReviewFleet fleet(3, 9, true);
        fleet.setRunTime(10min);
        auto spec = longRunningStep(6);
        for (unsigned n = 1; n <= 4; ++n)
            fleet.submit(n, spec);
        fleet.runFor(1s);
        unsigned killed = 0;
        for (auto time = 0ms; time < 30s; time += interval) {
            if (killed + 1 < owners && time >= 10s * (killed + 1)) {
                fleet.killHost(fleet.ownerOf("desk"));
                ++killed;
            }
            for (unsigned n = 0; n < atOnce; ++n) {
                fleet.downTime = 900ms + std::chrono::milliseconds(random() % 600);
                const auto worker = fleet.machines.at("m" + std::to_string(random() % 9)).worker;
                if (!worker.empty() && !fleet.workers.at(worker)->isCrashed)
                    fleet.crashWorker(worker);
            }
            fleet.runFor(interval);
        }
        for (unsigned n = 1; n <= 4; ++n)
            givenUp += fleet.stateOf(n) == JobState::Failed ? 1 : 0;
        for (const auto& it : log.all("job-given-up"))
            MESSAGE("seed ", seed, ": suspected ", it.at("suspected"), ", sinceProven ", it.at("sinceProven"), ", unexplained ", it.at("unexplained"));
    }
    return givenUp;
}

} // namespace

TEST_CASE("lasting jobs aren't given up while three of nine workers crash every 2 s, one owner") { CHECK(givenUpByChance(1, 3, 2s) == 0); }

TEST_CASE("lasting jobs aren't given up while three of nine workers crash every 2 s, the owner replaced once") { CHECK(givenUpByChance(2, 3, 2s) == 0); }

TEST_CASE("lasting jobs aren't given up while three of nine workers crash every 2 s, the owner replaced twice") { CHECK(givenUpByChance(3, 3, 2s) == 0); }

TEST_CASE("lasting jobs aren't given up while a worker crashes every second, the owner replaced once") { CHECK(givenUpByChance(2, 1, 1s) == 0); }

TEST_CASE("lasting jobs aren't given up while a worker crashes every 250 ms, one owner") { CHECK(givenUpByChance(1, 1, 250ms) == 0); }

// A lasting task that crashes its workers 1 s after its starts, beside others that crash by chance.
TEST_CASE("a lasting task that crashes its workers late is confined in the end while three of nine workers crash every 2 s")
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        ReviewFleet fleet(1, 9, true);
        fleet.onWorkerAdded = [](FakeWorker& worker) { worker.closesConnections = true; worker.crashDelay = 1s; };
        for (auto& [id, worker] : fleet.workers)
            worker->crashDelay = 1s;
        fleet.setRunTime(10min);
        fleet.runMonitor.crashing.insert(fleet.task);
        for (unsigned n = 1; n <= 4; ++n)
            fleet.submit(n, longRunningStep(6));
        for (unsigned round = 0; round < 30; ++round) {
            for (unsigned n = 0; n < 3; ++n) {
                fleet.downTime = 900ms + std::chrono::milliseconds(random() % 600);
                const auto worker = fleet.machines.at("m" + std::to_string(random() % 9)).worker;
                if (!worker.empty() && !fleet.workers.at(worker)->isCrashed)
                    fleet.crashWorker(worker);
            }
            fleet.runFor(2s);
        }
        CHECK(fleet.stateOf(1) == JobState::Running);
        checkCosts(fleet.runMonitor, fleet.task, { .fewestCrashes = 5, .runsPerWorker = 16, .time = 60s, .downTime = 1500ms });
    }
}

TEST_CASE("a crashing task whose starts aren't answered by workers that fall silent is given up")
{
    ReviewFleet fleet(2, 12, false);
    fleet.runMonitor.crashing.insert(fleet.task);
    for (auto& [name, host] : fleet.hosts)
        host->workers->startAnswersToLose = 100000;
    fleet.submit(1, oneStep(1));
    fleet.runFor(60s);
    CHECK(fleet.crashes() <= maximumCrashes);
    CHECK(fleet.stateOf(1) == JobState::Failed);
}

TEST_CASE("a crashing task whose owner is lost with each of its first crashes is given up")
{
    for (const unsigned losses : { 3U, 4U, 5U }) {
        CAPTURE(losses);
        ReviewFleet fleet(7, 12, true);
        fleet.runMonitor.crashing.insert(fleet.task);
        fleet.submit(1, oneStep(1));
        unsigned killed = 0;
        unsigned seen = 0;
        for (unsigned n = 0; n < 60000; ++n) {
            fleet.runFor(1ms);
            if (fleet.crashes() > seen) {
                seen = fleet.crashes();
                const auto owner = fleet.ownerOf("desk");
                if (killed < losses && !owner.empty()) {
                    fleet.killHost(owner);
                    ++killed;
                }
            }
        }
        CAPTURE(killed);
        CHECK(fleet.crashes() <= maximumCrashes);
        CHECK(fleet.stateOf(1) == JobState::Failed);
    }
}

TEST_CASE("crashes that another task was given up for don't convict a sound lasting task")
{
    // As exonerate() leaves it after three crashes under another task just after its starts.
    CrashWitness task { { jobId(1), 0, 0, 0 }, { 0, 0, 3 } };
    task.isLasting = true;
    const CrashWitness beside { { jobId(2), 0, 0, 0 }, {} };
    CHECK(!judgeCrash({ task, beside }, false).front().isGuilty);
}

TEST_CASE("a tally of a version without the count doesn't convict after one start that was carried out")
{
    const TaskKey task { jobId(1), 0, 0, 0 };
    ReviewPool pool({ acceptedJob(oneStep(1)), TaskSuspected { task, { 0, 1, 3 } } });
    const auto start = pool.nextStart();
    pool.core.onStartSent(start, pool.at());
    pool.core.onStartAnswer(start, { Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, {} }, pool.at());
    pool.now += 10ms;
    pool.crash(start.worker);
    CHECK(pool.core.show(jobId(1)).state != JobState::Failed);
}

TEST_CASE("a crash that is known to be confirmed counts as one for the next owner as well")
{
    ReviewPool pool({ acceptedJob(oneStep(1)) });
    const auto start = pool.nextStart();
    pool.core.onStartSent(start, pool.at());
    pool.core.onStartAnswer(start, { Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, {} }, pool.at());
    pool.now += 10ms;
    pool.crash(start.worker);
    pool.core.takeOutput();
    auto records = pool.core.snapshot(pool.at());
    const auto later = pool.core.takeOutput().records;
    records.insert(records.end(), later.begin(), later.end());
    std::string text;
    for (const auto& it : records) {
        if (!std::holds_alternative<RunStarted>(it)) // Of the next start.
            appendRecord(text, it);
    }
    std::vector<JobRecord> read;
    REQUIRE(readRecords(text, read));
    ReviewPool next(read);
    CHECK(next.core.jobs().find(jobId(1))->stepOf({ jobId(1), 0, 0, 0 })->tasks.at(0).crashTally == CrashTally { 1, 1, 1, 0 });
}

// A task may be started five times, of which two at least must be known.
TEST_CASE("a crashing task some of whose starts aren't answered by workers that fall silent is given up in time")
{
    for (const unsigned percent : { 10U, 30U, 50U }) {
        unsigned over = 0;
        unsigned most = 0;
        for (std::uint64_t seed = 1; seed <= 40; ++seed) {
            std::mt19937_64 random(seed);
            ReviewFleet fleet(1, 12, false);
            fleet.runMonitor.crashing.insert(fleet.task);
            auto& port = *fleet.hosts.begin()->second->workers;
            std::vector<bool> isLost(100);
            std::generate(isLost.begin(), isLost.end(), [&] { return random() % 100 < percent; });
            fleet.submit(1, oneStep(1));
            for (unsigned n = 0; n < 40000; ++n) {
                port.startAnswersToLose = isLost[fleet.crashes()] ? 1000 : 0; // The first one may have been sent already.
                fleet.runFor(1ms);
            }
            over += fleet.crashes() > maximumCrashes ? 1 : 0;
            most = std::max(most, fleet.crashes());
        }
        MESSAGE(percent, " percent unanswered: over the limit on ", over, " of 40, most ", most);
        CHECK(over == 0);
    }
}
