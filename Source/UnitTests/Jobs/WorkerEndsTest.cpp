/// Tests of the ends that workers list: what is acknowledged to which incarnation, and lists that don't hold all ends.

#include "EventLog.h"
#include "JobFleet.h"
#include "Jobs/Runtime/WorkerSession.h"

#include <doctest/doctest.h>
#include <utility>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;

namespace {

/// Small tasks, so that a worker runs hundreds of them.
JobSpec smallTasks(unsigned count)
{
    auto spec = oneStep(count, 300ms, 5);
    spec.steps.front().need.memoryMb = 1;
    return spec;
}

/// A fleet whose workers close their connections at a crash and return under their ids. Its tasks take 300 ms.
struct EndsFleet : JobFleet {
    explicit EndsFleet(unsigned hostCount, unsigned workerCount, unsigned coresPerWorker = 4)
        : JobFleet(hostCount, workerCount, coresPerWorker)
    {
        setRunTime(300ms);
        keepsWorkerIds = true;
        closesConnections = true;
        for (const auto& [id, worker] : workers)
            worker->closesConnections = true;
        settle();
    }

    void submit(unsigned number, const JobSpec& spec)
    {
        const auto answer = call("host-0", JobVerb::Submit, jobId(number), spec);
        REQUIRE(answer);
        CHECK(answer->outcome == JobOutcome::Accepted);
    }
};

/// Keeps polls until the test answers them.
class HeldPolls final : public Ports::WorkerPort {
public:
    void start(const Ports::StartOrder& order, Ports::WorkerCallback callback) override
    {
        ++starts;
        lastStart = order;
        startCallback = std::move(callback);
    }
    void stop(const Ports::StopOrder&, Ports::WorkerCallback) override { }
    void throttle(const Ports::ThrottleOrder&, Ports::WorkerCallback) override { }
    void poll(const Ports::PollOrder& order, Ports::PollCallback callback) override
    {
        ++polls;
        last = order;
        m_callback = std::move(callback);
    }

    /// Answers as that incarnation, with ends of those numbers.
    void answer(std::uint64_t incarnation, std::uint64_t firstEnd, std::uint64_t lastEnd)
    {
        Ports::PollAnswer answer;
        answer.answer = { Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, 1000ms };
        answer.incarnation = incarnation;
        for (auto number = firstEnd; number <= lastEnd; ++number)
            answer.ended.push_back({ number, { jobId(1), 0, 0, static_cast<unsigned>(number) }, 1, RunEnd::Done, "" });
        std::exchange(m_callback, nullptr)(answer);
    }

    void refuseFence() { std::exchange(m_callback, nullptr)({ { Ports::WorkerStatus::Refused, Ports::WorkerRefusal::Fence, 1000ms }, 0, {}, {} }); }

    unsigned polls = 0;
    unsigned starts = 0;
    Ports::PollOrder last;
    Ports::StartOrder lastStart;
    Ports::WorkerCallback startCallback; ///< Of the last start.

private:
    Ports::PollCallback m_callback;
};

/// A session with a worker whose polls the test answers.
struct PolledSession {
    PolledSession()
    {
        WorkerSession::Hooks hooks;
        hooks.onStartSent = [](const StartRun&) {};
        hooks.onPollAnswered = [this](const Ports::PollAnswer& answer, Common::Instant) { listed = answer.ended.size(); };
        hooks.mayExtendLease = [] { return true; };
        hooks.needsLatencyPoll = [] { return false; };
        hooks.hasRuns = [] { return true; };
        hooks.needsStart = [](const StartRun&) { return true; };
        hooks.mayOrder = [] { return true; };
        hooks.mayStart = [](const StartRun&) { return true; };
        hooks.newestFence = [this] { return newestFence; };
        hooks.onFenced = [this] { ++refusals; };
        hooks.onStartAnswered = [](const StartRun&, const Ports::WorkerAnswer&) {};
        hooks.onFailing = [this](Common::Instant) { ++failures; };
        entry.id = "w0";
        entry.address = "w0:1";
        entry.incarnation = 1;
        session = std::make_unique<WorkerSession>(loop, port, SessionLimits {}, 1, entry, hooks);
        session->begin();
    }

    /// The worker's entry shows that it has restarted under its id.
    void restart()
    {
        ++entry.incarnation;
        session->entryChanged(entry);
    }

    void start()
    {
        StartRun run;
        run.task = { jobId(1), 0, 0, 0 };
        run.run = 1;
        run.worker = "w0";
        session->start(run);
    }

    VirtualLoop loop;
    HeldPolls port;
    Fence newestFence = 1;
    unsigned refusals = 0;
    unsigned failures = 0;
    std::size_t listed = 0;
    WorkerEntry entry;
    std::unique_ptr<WorkerSession> session;
};

} // namespace

// Acknowledged ends that were never listed count as runs that are missing: their tasks ran again after they had ended as done.
TEST_CASE("ends that a worker's earlier incarnation has listed aren't acknowledged to the next one")
{
    for (const auto crashAfter : { 400ms, 900ms }) {
        for (const auto downTime : { 100ms, 400ms }) {
            CAPTURE(crashAfter.count());
            CAPTURE(downTime.count());
            EndsFleet fleet(1, 1);
            fleet.downTime = downTime;
            fleet.submit(1, smallTasks(60));
            fleet.runFor(100ms);
            fleet.store.isDown = true;
            fleet.runFor(crashAfter);
            fleet.crashWorker("w0");
            fleet.runFor(1400ms - crashAfter);
            fleet.store.isDown = false;
            fleet.runFor(1s);
            for (unsigned n = 2; n < 150; ++n)
                fleet.submit(n, smallTasks(2));
            fleet.runFor(30s); // The tasks of the crash are tried apart from each other.
            CHECK(fleet.stateOf("host-0", jobId(1)) == JobState::Completed);
            CHECK(fleet.stateOf("host-0", jobId(149)) == JobState::Completed);
            CHECK(fleet.runMonitor.duplicateRuns == 0);
        }
    }
}

TEST_CASE("a session ignores the acknowledgement of ends that another incarnation has listed")
{
    PolledSession it;
    it.port.answer(1, 1, 240);
    const auto listedBy = it.session->incarnation();
    CHECK(listedBy == 1);
    it.restart();
    it.loop.runFor(10ms);
    it.port.answer(2, 1, 3);
    it.session->acknowledgeEnds(listedBy, 240);
    it.session->acknowledgeEnds(2, 3);
    it.loop.runFor(10ms);
    CHECK(it.port.last.acknowledgedThrough == 3);
}

// Its ends would be acknowledged to the incarnation that is polled next.
TEST_CASE("a delayed answer of a worker's earlier incarnation doesn't make it the current one")
{
    PolledSession it;
    it.port.answer(1, 1, 0);
    it.loop.runFor(10ms);
    it.restart();
    it.port.answer(1, 1, 240);
    CHECK(it.listed == 0);
    CHECK(it.session->incarnation() == 2);
    const auto polls = it.port.polls;
    it.loop.runFor(1s);
    CHECK(it.port.polls == polls + 1);
}

// A restart between two polls isn't noticed before the second one: the number would acknowledge ends that nobody has seen.
TEST_CASE("ends are acknowledged no more once the worker has received the acknowledgement")
{
    PolledSession it;
    it.port.answer(1, 1, 240);
    it.session->acknowledgeEnds(1, 240);
    it.loop.runFor(10ms);
    REQUIRE(it.port.last.acknowledgedThrough == 240);
    it.port.answer(1, 241, 242);
    it.loop.runFor(1s);
    CHECK(it.port.last.acknowledgedThrough == 0);
    it.port.answer(2, 1, 3);
    it.session->acknowledgeEnds(2, 3);
    it.loop.runFor(10ms);
    CHECK(it.port.last.acknowledgedThrough == 3);
}

// The next incarnation's clock starts anew: its lease would be requested, and counted, from a time that its clock hasn't reached.
TEST_CASE("the answer to an order for a worker's earlier incarnation doesn't set the clock of the next one")
{
    PolledSession it;
    it.port.answer(1, 1, 0);
    it.loop.runFor(10ms);
    it.start();
    it.restart();
    it.port.startCallback({ Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, 500s });
    it.loop.runFor(10ms);
    it.port.answer(2, 1, 0);
    it.loop.runFor(10ms);
    CHECK(it.port.last.leaseUntil > 0ms);
    CHECK(it.port.last.leaseUntil <= 1s + SessionLimits().leaseTime + 10ms);
}

// A poll that is carried out late would acknowledge ends of the next incarnation.
TEST_CASE("calls to a worker's next incarnation carry a higher fencing token than those to the earlier one")
{
    PolledSession it;
    it.newestFence = 2;
    it.port.answer(1, 1, 3);
    it.loop.runFor(1s);
    CHECK(it.port.last.fence == 2);
    it.newestFence = 7;
    it.start();
    CHECK(it.port.lastStart.fence == 2);
    SUBCASE("which its entry shows")
    {
        it.restart();
        it.loop.runFor(10ms);
    }
    SUBCASE("which answers a poll")
    {
        it.port.answer(2, 1, 0);
        it.loop.runFor(10ms);
    }
    CHECK(it.port.last.fence == 7);
    it.newestFence = 6;
    it.restart();
    it.loop.runFor(10ms);
    CHECK(it.port.last.fence == 7);
    it.port.answer(3, 1, 0);
    it.newestFence = 8; // By the commit of the run's placement.
    it.start();
    CHECK(it.port.lastStart.fence == 8);
}

// The worker would refuse the owner's first token, which the session began with.
TEST_CASE("an owner isn't deposed by a worker that restarted under its id, and whose entry is back after it was withdrawn")
{
    EndsFleet fleet(1, 2);
    const EventLog log;
    fleet.downTime = 100ms;
    fleet.submit(1, smallTasks(20));
    fleet.runFor(100ms);
    fleet.crashWorker("w0");
    fleet.runFor(10s);
    fleet.unpublishWorker("w0");
    fleet.runFor(5s);
    fleet.publishWorker("w0");
    fleet.runFor(1s);
    CHECK(log.all("deposed").empty());
    fleet.submit(2, smallTasks(20));
    fleet.runFor(10s);
    CHECK(fleet.stateOf("host-0", jobId(1)) == JobState::Completed);
    CHECK(fleet.stateOf("host-0", jobId(2)) == JobState::Completed);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
}

TEST_CASE("a refusal of a call with an earlier fencing token than the session's doesn't depose the owner, and the call is made again")
{
    PolledSession it;
    it.port.answer(1, 1, 0);
    it.loop.runFor(10ms);
    it.restart();
    it.loop.runFor(10ms);
    it.port.answer(2, 1, 0);
    it.loop.runFor(10ms);
    const auto refusal = Ports::WorkerAnswer { Ports::WorkerStatus::Refused, Ports::WorkerRefusal::Fence, 1000ms };
    it.start();
    REQUIRE(it.port.lastStart.fence == 1);
    const auto first = std::exchange(it.port.startCallback, nullptr);
    it.newestFence = 5;
    it.start();
    REQUIRE(it.port.lastStart.fence == 5);
    it.port.startCallback({ Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, 1000ms });
    REQUIRE(it.port.last.fence == 1);
    const auto polls = it.port.polls;
    it.port.refuseFence();
    first(refusal);
    it.loop.runFor(100ms);
    CHECK(it.refusals == 0);
    CHECK(it.failures == 0);
    CHECK(it.port.polls == polls + 1);
    CHECK(it.port.last.fence == 5);
    CHECK(it.port.starts == 3);
    CHECK(it.port.lastStart.fence == 5);
    it.port.startCallback(refusal);
    CHECK(it.refusals == 1);
}

namespace {

/// Submits so many tasks, as jobs of 100, which a fleet with one worker then runs at the same time.
unsigned submitTasks(EndsFleet& fleet, unsigned taskCount)
{
    constexpr unsigned tasksPerJob = 100;
    const auto jobs = taskCount / tasksPerJob;
    for (unsigned n = 1; n <= jobs; ++n)
        fleet.submit(n, smallTasks(tasksPerJob));
    fleet.runFor(100ms);
    return jobs;
}

void checkEachRanOnce(EndsFleet& fleet, const std::string& host, unsigned jobs)
{
    for (unsigned n = 1; n <= jobs; ++n) {
        CAPTURE(n);
        CHECK(fleet.stateOf(host, jobId(n)) == JobState::Completed);
    }
    CHECK(fleet.runMonitor.duplicateRuns == 0);
    CHECK(fleet.runMonitor.starts == fleet.runMonitor.running.size());
}

} // namespace

// Workers list 500 ends at a time. The tasks of the others were placed again, although they had ended as done.
TEST_CASE("runs don't count as missing while their worker has more ends than it lists at once")
{
    for (const unsigned tasks : { 400U, 500U, 600U, 1200U, 1800U }) {
        CAPTURE(tasks);
        EndsFleet fleet(1, 1, 16);
        const auto jobs = submitTasks(fleet, tasks);
        fleet.store.isDown = true;
        fleet.runFor(1400ms);
        fleet.store.isDown = false;
        fleet.runFor(4s);
        checkEachRanOnce(fleet, "host-0", jobs);
    }
}

TEST_CASE("a new owner takes no run for missing while its worker has more ends than it lists at once")
{
    for (const unsigned tasks : { 400U, 1200U, 1800U }) {
        CAPTURE(tasks);
        EndsFleet fleet(2, 1, 16);
        const auto jobs = submitTasks(fleet, tasks);
        const auto owner = fleet.ownerOf("desk");
        fleet.killHost(owner);
        fleet.runFor(8s);
        checkEachRanOnce(fleet, owner == "host-0" ? "host-1" : "host-0", jobs);
    }
}

TEST_CASE("a run whose end isn't listed yet doesn't count as stalled")
{
    EndsFleet fleet(1, 1, 16);
    const EventLog log;
    const auto jobs = submitTasks(fleet, 1200);
    // The worker's ends stay unacknowledged for longer than a run may make no progress; the owner keeps its lease.
    fleet.store.losesWritesUnder = "/marigold/jobs/";
    fleet.runFor(4s);
    fleet.store.losesWritesUnder.clear();
    fleet.runFor(4s);
    CHECK(log.all("run-stalled").empty());
    checkEachRanOnce(fleet, "host-0", jobs);
}
