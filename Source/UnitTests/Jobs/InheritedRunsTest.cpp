/// Runs that a pool's owner finds in the journal and that no worker has, which mostly comes of orders that the previous owner didn't send.

#include "EventLog.h"
#include "JobFleet.h"
#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <doctest/doctest.h>
#include <string>

using namespace Jobs;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

constexpr Common::WallTime acceptedAt { 1000s };

JobAccepted acceptedJob(unsigned number, Common::WallTime at)
{
    JobAccepted accepted;
    accepted.job = jobId(number);
    accepted.queue = "bookings";
    accepted.acceptedAt = at;
    accepted.spec = oneStep(1);
    return accepted;
}

TaskKey taskOf(unsigned number) { return { jobId(number), 0, 0, 0 }; }

std::string workerId(unsigned number) { return "w" + std::to_string(number); }

/// A pool whose new owner has read the journal and knows the workers.
class InheritedPool {
public:
    InheritedPool(const std::vector<JobRecord>& records, unsigned workers)
        : core(PoolLimits {})
    {
        core.load(records);
        core.finishLoad(at());
        for (unsigned n = 0; n < workers; ++n) {
            WorkerEntry entry;
            entry.id = workerId(n);
            entry.machine = "m" + std::to_string(n);
            entry.address = "127.0.0.1:1";
            entry.capacity = { 16000, 64000, 0 };
            core.onWorkerListed(entry, at());
        }
    }

    Moment at() const { return { now, Common::WallTime(2000s) }; }

    /// The worker, started at that time, answers that nothing runs there and nothing has ended.
    void answerWithoutRuns(unsigned worker, Common::WallTime startedAt)
    {
        Ports::PollAnswer answer;
        answer.incarnation = static_cast<std::uint64_t>(startedAt.time_since_epoch().count());
        core.onPollAnswer(workerId(worker), answer, now + 1ms, at());
    }

    std::size_t suspicionsRecorded()
    {
        const auto output = core.takeOutput();
        return static_cast<std::size_t>(std::ranges::count_if(output.records, [](const auto& it) { return std::holds_alternative<TaskSuspected>(it); }));
    }

    PoolCore core;
    Instant now { 1h };
};

/// Whether the task of a job that had been accepted 10 s before the newest record, and was placed right after it, is suspected when the
/// worker doesn't have the run.
bool isSuspected(Common::WallTime workerStartedAt)
{
    InheritedPool pool({ acceptedJob(0, acceptedAt), acceptedJob(1, acceptedAt + 10s), RunStarted { taskOf(0), 1, workerId(0) } }, 1);
    pool.answerWithoutRuns(0, workerStartedAt);
    return pool.suspicionsRecorded() > 0;
}

} // namespace

TEST_CASE("a run that a worker doesn't have counts as lost by a crash only if the worker may have started after the run was placed")
{
    CHECK(isSuspected(acceptedAt + 11s));
    CHECK_FALSE(isSuspected(acceptedAt + 9s));
    CHECK_FALSE(isSuspected(acceptedAt - 1h));
    CHECK(isSuspected({})); // It doesn't say when it started.
}

// Each run counted as a crash of its own: the machine seemed to crash once for each.
TEST_CASE("the runs that a worker lost in a crash before its owner's first poll count as one crash")
{
    std::vector<JobRecord> records;
    for (unsigned n = 0; n < 3; ++n) {
        records.emplace_back(acceptedJob(n, acceptedAt));
        records.emplace_back(RunStarted { taskOf(n), 1, workerId(0) });
    }
    InheritedPool pool(records, 1);
    pool.answerWithoutRuns(0, acceptedAt + 1s);
    const auto output = pool.core.takeOutput();
    CHECK(std::ranges::count_if(output.records, [](const auto& it) { return std::holds_alternative<TaskSuspected>(it); }) == 3);
    CHECK(std::ranges::count_if(output.log, [](const auto& it) { return it.event == std::string("worker-crashed"); }) == 1);
}

// All hosts lost power while the owner of a peaking pool had stored several hundred starts and not yet sent them. Each counted as a crash.
// Seen in fleetbench, day fresh-e705 of benjelloun-oukaimeden-large.
TEST_CASE("starts that were stored but not sent when the hosts lost power aren't taken for crashes of their workers")
{
    const EventLog log;
    std::size_t unsent = 0;
    for (auto offset = 0ms; offset < 60ms; offset += 2ms) {
        JobFleet fleet(2, 8);
        fleet.setRunTime(2s);
        fleet.settle();
        REQUIRE(fleet.call("host-0", Ports::JobVerb::Submit, jobId(1), oneStep(16)));
        fleet.runFor(offset);
        for (unsigned n = 0; n < 2; ++n)
            fleet.killHost("host-" + std::to_string(n));
        fleet.runFor(300ms);
        for (unsigned n = 0; n < 2; ++n)
            fleet.addHost("host-" + std::to_string(n));
        fleet.runFor(8s);
        CHECK(fleet.workerCrashes == 0);
        CHECK(fleet.stateOf("host-0", jobId(1)) == JobState::Completed);
        unsent = log.all("run-missing").size();
    }
    REQUIRE(unsent > 0);
    CHECK(log.all("worker-crashed").empty());
    CHECK(log.all("task-suspected").empty());
}

// The same day: one decision took 1.3 s and another one 2.4 s, and the owner lost its lease meanwhile.
TEST_CASE("a decision in a pool of a thousand workers stays short while hundreds of tasks are suspected")
{
    constexpr unsigned workers = 1000;
    constexpr unsigned suspects = 600;
    std::vector<JobRecord> records;
    for (unsigned n = 0; n < suspects; ++n) {
        records.emplace_back(acceptedJob(n, acceptedAt));
        records.emplace_back(RunStarted { taskOf(n), 1, workerId(n) });
    }
    InheritedPool pool(records, workers);
    for (unsigned n = 0; n < workers; ++n)
        pool.answerWithoutRuns(n, acceptedAt + 1s);
    REQUIRE(pool.suspicionsRecorded() == suspects);
    // Processor time, which other programs don't change.
    const auto before = std::clock();
    pool.core.decide(pool.at());
    CHECK((std::clock() - before) * 1000 / CLOCKS_PER_SEC < 100);
    const auto output = pool.core.takeOutput();
    CHECK(std::ranges::count_if(output.orders, [](const auto& it) { return std::holds_alternative<StartRun>(it); }) == suspects);
}

// Without it, the next owner would take each crash for one under a start that was carried out.
TEST_CASE("which crashes came under starts that were only sent is restored from the journal")
{
    const auto unconfirmedIn = [](const std::vector<JobRecord>& records) {
        std::vector<unsigned> counts;
        for (const auto& it : records) {
            if (const auto* record = std::get_if<CrashesUnconfirmed>(&it))
                counts.push_back(record->count);
        }
        return counts;
    };
    std::vector<JobRecord> records { acceptedJob(0, acceptedAt), RunStarted { taskOf(0), 1, workerId(0) } };
    InheritedPool pool(records, 1);
    pool.answerWithoutRuns(0, acceptedAt + 1s);
    const auto output = pool.core.takeOutput().records;
    CHECK(unconfirmedIn(output) == std::vector<unsigned> { 1 });
    records.insert(records.end(), output.begin(), output.end());
    std::string text;
    for (const auto& it : records)
        appendRecord(text, it);
    std::vector<JobRecord> read;
    REQUIRE(readRecords(text, read));
    InheritedPool next(read, 1);
    const auto tallyOf = [](const PoolCore& core) { return core.jobs().find(jobId(0))->stepOf(taskOf(0))->tasks.at(0).crashTally; };
    CHECK(tallyOf(next.core).sinceProven == 1);
    CHECK(tallyOf(next.core).unconfirmed == 1);
    // Earlier versions can't load snapshots with it, so it is recorded again.
    CHECK(std::ranges::none_of(next.core.snapshot(next.at()), isEvidence));
    CHECK(unconfirmedIn(next.core.takeOutput().records) == std::vector<unsigned> { 1 });
    // A tally that is replaced is stored before the count, so that the count has to be replaced as well.
    next.answerWithoutRuns(0, acceptedAt + 2s);
    next.core.decide(next.at());
    next.core.takeOutput();
    const StartRun order { taskOf(0), 2, workerId(0), {}, {}, {} };
    next.core.onStartSent(order, next.at());
    next.core.onStartAnswer(order, { Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, {} }, next.at());
    next.now += 1s;
    Ports::PollAnswer running;
    running.incarnation = static_cast<std::uint64_t>((acceptedAt + 2s).time_since_epoch().count());
    running.running.push_back({ taskOf(0), 2, {}, 1, 0 });
    next.core.onPollAnswer(workerId(0), running, next.now, next.at());
    CHECK(tallyOf(next.core).sinceProven == 0);
    CHECK(unconfirmedIn(next.core.takeOutput().records) == std::vector<unsigned> { 0 });
}
