/// Tests of the count of jobs that haven't started: a job that is only placed on a worker hasn't.

#include "JobFleet.h"
#include "Jobs/Decision/PoolCore.h"

#include <doctest/doctest.h>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;

namespace {

constexpr Ports::WorkerAnswer started { Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, {} };

TaskKey firstTask() { return { jobId(1), 0, 0, 0 }; }

/// A pool with one worker.
class SmallPool {
public:
    explicit SmallPool(const std::vector<JobRecord>& records = {})
        : core(PoolLimits {})
    {
        core.load(records);
        core.finishLoad(at());
        list(1);
    }

    Moment at() const { return { now, Common::WallTime(2000s) }; }

    void list(std::uint64_t incarnation)
    {
        WorkerEntry entry;
        entry.id = "w0";
        entry.address = "w0:1";
        entry.incarnation = incarnation;
        entry.capacity = { 4000, 16000, 0 };
        core.onWorkerListed(entry, at());
    }

    void poll(const std::vector<Ports::RunningTask>& running, const std::vector<Ports::EndedTask>& ended = {})
    {
        Ports::PollAnswer answer;
        answer.running = running;
        answer.ended = ended;
        now += 10ms;
        core.onPollAnswer("w0", answer, now - 5ms, at());
    }

    /// Submits job 1 and returns the order for its start.
    StartRun place()
    {
        poll({});
        QueueRule queue;
        queue.name = "bookings";
        CHECK(core.submit(jobId(1), queue, oneStep(1), at()).outcome == JobOutcome::Accepted);
        core.decide(at());
        const auto orders = core.takeOutput().orders;
        REQUIRE(orders.size() == 1);
        return std::get<StartRun>(orders.front());
    }

    std::uint64_t pending() const { return core.backlog("bookings"); }

    PoolCore core;
    Instant now { 1h };
};

/// What a former owner has stored of job 1.
std::vector<JobRecord> inherited(std::vector<JobRecord> runs)
{
    JobAccepted accepted;
    accepted.job = jobId(1);
    accepted.queue = "bookings";
    accepted.maximumAttempts = 3;
    accepted.spec = oneStep(1);
    std::vector<JobRecord> records { accepted };
    records.insert(records.end(), runs.begin(), runs.end());
    return records;
}

/// Jobs that a new owner counts after the first run of job 1 has ended so, and after it has loaded a snapshot of that.
std::vector<std::uint64_t> pendingAfter(RunEnd how, const std::string& checkpoint)
{
    SmallPool pool(inherited({ RunStarted { firstTask(), 1, "w0" }, RunEnded { firstTask(), 1, how, checkpoint, {} } }));
    return { pool.pending(), SmallPool(pool.core.snapshot(pool.at())).pending() };
}

/// A fleet of one worker.
struct SmallFleet : JobFleet {
    explicit SmallFleet(unsigned hostCount)
        : JobFleet(hostCount, 1)
    {
        setRunTime(5s);
        settle();
    }

    void submit(const std::string& host, unsigned number, unsigned tasks = 1)
    {
        const auto answer = call(host, JobVerb::Submit, jobId(number), oneStep(tasks, 5s));
        REQUIRE(answer);
        REQUIRE(answer->outcome == JobOutcome::Accepted);
    }

    std::uint64_t pendingAt(const std::string& host)
    {
        const auto answer = call(host, JobVerb::Show, "");
        REQUIRE(answer);
        CHECK(answer->outcome == JobOutcome::Counted);
        return answer->backlog;
    }
};

} // namespace

// Four jobs that had been placed 0.4 s before weren't counted, and their tasks hadn't begun.
TEST_CASE("a job whose start waits for a slow store is counted as pending")
{
    SmallFleet fleet(1);
    fleet.submit("host-0", 1);
    fleet.store.delay = 150ms;
    fleet.runFor(50ms);
    CHECK_FALSE(fleet.workers.at("w0")->isBusy());
    CHECK(fleet.pendingAt("host-0") == 1);
    fleet.runFor(1s);
    CHECK(fleet.workers.at("w0")->isBusy());
    CHECK(fleet.pendingAt("host-0") == 0);
}

TEST_CASE("jobs whose starts don't reach a worker are counted as pending")
{
    SmallFleet fleet(1);
    fleet.hosts.at("host-0")->workers->startsToLose = 2;
    fleet.submit("host-0", 1);
    fleet.submit("host-0", 2);
    fleet.runFor(300ms);
    CHECK_FALSE(fleet.workers.at("w0")->isBusy());
    CHECK(fleet.pendingAt("host-0") == 2);
    fleet.runFor(2s);
    CHECK(fleet.workers.at("w0")->isBusy());
    CHECK(fleet.pendingAt("host-0") == 0);
}

TEST_CASE("a job whose start waits, isn't answered, is refused or is lost with its worker is counted as pending")
{
    SmallPool pool;
    auto start = pool.place();
    CHECK(pool.core.show(jobId(1)).state == JobState::Running);
    CHECK(pool.pending() == 1);
    pool.core.onStartSent(start, pool.at());
    pool.core.onStartAnswer(start, {}, pool.at());
    CHECK(pool.pending() == 1);
    pool.core.onStartAnswer(start, { Ports::WorkerStatus::Refused, Ports::WorkerRefusal::StaleRun, {} }, pool.at());
    pool.poll({});
    CHECK(pool.pending() == 1);
    pool.core.onWorkerLost("w0", WorkerLoss::Crashed, pool.at());
    CHECK(pool.pending() == 1);
}

TEST_CASE("a job isn't counted as pending once a start is confirmed, also after its run was lost")
{
    SmallPool pool;
    const auto start = pool.place();
    pool.core.onStartSent(start, pool.at());
    pool.core.onStartAnswer(start, started, pool.at());
    CHECK(pool.pending() == 0);
    pool.list(2);
    CHECK(pool.core.findWorker("w0")->runs.empty());
    CHECK(pool.pending() == 0);
}

TEST_CASE("a job isn't counted as pending once a poll has shown its run or the run's end")
{
    SmallPool running;
    const auto start = running.place();
    running.poll({ { start.task, start.run, "", 0, 0 } });
    CHECK(running.pending() == 0);
    SmallPool ended;
    ended.place();
    ended.poll({}, { { 1, firstTask(), 1, RunEnd::Failed, "" } });
    CHECK(ended.pending() == 0);
}

// A worker may confirm a start that its owner has given up for lost meanwhile.
TEST_CASE("a job isn't counted as pending once a run that was given up turns out to have started")
{
    SmallPool confirmed;
    const auto start = confirmed.place();
    confirmed.core.onStartSent(start, confirmed.at());
    confirmed.core.onWorkerLost("w0", WorkerLoss::Lapsed, confirmed.at());
    CHECK(confirmed.pending() == 1);
    confirmed.core.onStartAnswer(start, started, confirmed.at());
    CHECK(confirmed.pending() == 0);
    SmallPool polled;
    polled.place();
    polled.core.onWorkerLost("w0", WorkerLoss::Lapsed, polled.at());
    polled.poll({ { firstTask(), 1, "", 0, 0 } });
    CHECK(polled.pending() == 0);
    SmallPool ended;
    ended.place();
    ended.core.onWorkerLost("w0", WorkerLoss::Lapsed, ended.at());
    ended.poll({}, { { 1, firstTask(), 1, RunEnd::Lapsed, "" } });
    CHECK(ended.pending() == 0);
}

TEST_CASE("a new owner counts a job whose start was stored as pending until a worker has shown a run of it")
{
    const std::vector<JobRecord> stored { RunStarted { firstTask(), 1, "w0" } };
    SmallPool waiting(inherited(stored));
    CHECK(waiting.pending() == 1);
    waiting.poll({});
    CHECK(waiting.pending() == 1);
    SmallPool running(inherited(stored));
    running.poll({ { firstTask(), 1, "", 10, 0 } });
    CHECK(running.pending() == 0);
}

TEST_CASE("a new owner counts a job as pending unless a stored end shows that a run had started")
{
    const auto both = [](std::uint64_t count) { return std::vector<std::uint64_t> { count, count }; };
    CHECK(pendingAfter(RunEnd::Lost, "") == both(1));
    CHECK(pendingAfter(RunEnd::Lost, "half") == both(0));
    CHECK(pendingAfter(RunEnd::Failed, "") == both(0));
    CHECK(pendingAfter(RunEnd::Stopped, "").front() == 0);
}

TEST_CASE("the next owner counts jobs whose starts were stored and not sent, and not those that run")
{
    SmallFleet fleet(2);
    const auto owner = fleet.ownerOf("desk");
    const std::string other = owner == "host-0" ? "host-1" : "host-0";
    fleet.submit(other, 1, 2);
    fleet.runFor(500ms);
    CHECK(fleet.pendingAt(other) == 0);
    fleet.submit(other, 2);
    fleet.store.answersToLose = 1000;
    fleet.runFor(50ms);
    fleet.killHost(owner);
    fleet.store.answersToLose = 0;
    fleet.hosts.at(other)->workers->startsToLose = 1000; // Until job 2 is placed again, and after that.
    fleet.runFor(2500ms);
    REQUIRE(fleet.ownerOf("desk") == other);
    CHECK(fleet.workers.at("w0")->isBusy());
    CHECK(fleet.pendingAt(other) == 1);
    fleet.hosts.at(other)->workers->startsToLose = 0;
    fleet.runFor(1500ms);
    CHECK(fleet.pendingAt(other) == 0);
}
