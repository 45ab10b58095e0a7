/// Tests of jobs whose queue has been given another pool since they were accepted.

#include "JobFleet.h"

#include <doctest/doctest.h>
#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;

namespace {

/// Three hosts and two pools, "desk" and "hotels", each with a queue of its own beside "bookings", which is in "desk" at first. "hotels" may
/// have none, and no owner then.
struct MovingFleet : JobFleet {
    explicit MovingFleet(std::chrono::milliseconds runTime = 3s, bool hasRooms = true)
        : JobFleet(0, 2)
    {
        configuration.queues.push_back(queue("arrivals", "/arrivals/", "desk"));
        if (hasRooms)
            configuration.queues.push_back(queue("rooms", "/rooms/", "hotels"));
        configuration.pools.push_back({ "hotels", false, true });
        publishConfiguration();
        for (const auto* id : { "h0", "h1" }) {
            auto& worker = *addWorker(id, std::string("m-") + id, 4);
            worker.entry.pool = "hotels";
            machines.at(worker.entry.machine).pool = "hotels";
            publishWorker(id);
        }
        setRunTime(runTime);
        for (const auto* host : { "host-0", "host-1", "host-2" })
            addHost(host);
        settle();
    }

    QueueRule queue(const std::string& name, const std::string& prefix, const std::string& pool) const
    {
        auto result = configuration.queues.front();
        result.name = name;
        result.prefix = prefix;
        result.pool = pool;
        return result;
    }

    /// Gives the queue at "/bookings/" another pool, in one version or, under another name, in two: as a route that is removed and added.
    void moveQueue(const std::string& pool, bool isRenamed = false)
    {
        if (isRenamed) {
            const auto moved = queue("bookings-" + pool, "/bookings/", pool);
            configuration.queues.erase(configuration.queues.begin());
            ++configuration.version;
            publishConfiguration();
            runFor(500ms);
            configuration.queues.insert(configuration.queues.begin(), moved);
        } else
            configuration.queues.front().pool = pool;
        ++configuration.version;
        publishConfiguration();
        runFor(100ms);
    }

    JobOutcome submit(const std::string& host, unsigned number, const JobSpec& spec = oneStep(2, 3s))
    {
        const auto answer = call(host, JobVerb::Submit, jobId(number), spec);
        REQUIRE(answer);
        return answer->outcome;
    }

    std::uint64_t backlogAt(const std::string& host)
    {
        const auto answer = call(host, JobVerb::Show, "");
        REQUIRE(answer);
        CHECK(answer->outcome == JobOutcome::Counted);
        return answer->backlog;
    }
};

/// A job that no worker may run.
JobSpec waitingJob()
{
    auto spec = oneStep(1);
    spec.steps.front().requiredLabel = "none has it";
    return spec;
}

} // namespace

// Such a job was answered as unknown, and its tasks ran a second time when its submission arrived once more.
TEST_CASE("a job stays one job when its queue gets another pool")
{
    for (const bool isRenamed : { false, true }) {
        CAPTURE(isRenamed);
        MovingFleet fleet;
        REQUIRE(fleet.submit("host-0", 1) == JobOutcome::Accepted);
        fleet.runFor(200ms);
        REQUIRE(fleet.runMonitor.starts == 2);
        fleet.moveQueue("hotels", isRenamed);
        for (const std::string host : { "host-0", "host-1", "host-2" }) {
            CAPTURE(host);
            CHECK(fleet.stateOf(host, jobId(1)) == JobState::Running);
            CHECK(fleet.submit(host, 1) == JobOutcome::Accepted);
        }
        fleet.runFor(4s);
        CHECK(fleet.stateOf("host-1", jobId(1)) == JobState::Completed);
        CHECK(fleet.submit("host-2", 1) == JobOutcome::Accepted);
        CHECK(fleet.submit("host-2", 2) == JobOutcome::Accepted);
        fleet.runFor(4s);
        CHECK(fleet.runMonitor.starts == 4);
        CHECK(fleet.runMonitor.duplicateRuns == 0);
        const auto unknown = fleet.call("host-0", JobVerb::Show, jobId(3));
        REQUIRE(unknown);
        CHECK(unknown->outcome == JobOutcome::NoSuchJob);
    }
}

TEST_CASE("a job can be cancelled when its queue has another pool")
{
    MovingFleet fleet(60s);
    REQUIRE(fleet.submit("host-0", 1) == JobOutcome::Accepted);
    fleet.moveQueue("hotels");
    const auto answer = fleet.call("host-1", JobVerb::Cancel, jobId(1));
    REQUIRE(answer);
    CHECK(answer->outcome == JobOutcome::Cancelled);
    CHECK(fleet.stateOf("host-2", jobId(1)) == JobState::Cancelled);
    fleet.runFor(1s);
    for (const auto& [id, worker] : fleet.workers)
        CHECK_FALSE(worker->isBusy());
}

TEST_CASE("hosts that know only the newest configuration find the jobs of a queue that had other pools before")
{
    MovingFleet fleet(60s);
    REQUIRE(fleet.submit("host-0", 1) == JobOutcome::Accepted);
    fleet.moveQueue("hotels", true);
    REQUIRE(fleet.submit("host-0", 2) == JobOutcome::Accepted);
    for (const auto* host : { "host-0", "host-1", "host-2" })
        fleet.killHost(host);
    fleet.moveQueue("desk", true);
    for (const auto* host : { "host-3", "host-4" })
        fleet.addHost(host);
    fleet.runFor(4s);
    REQUIRE(fleet.submit("host-3", 3) == JobOutcome::Accepted);
    fleet.runFor(15s); // In which the leases of the hosts that were killed are certain to have lapsed.
    const auto starts = fleet.runMonitor.starts;
    for (const unsigned number : { 1U, 2U, 3U }) {
        CAPTURE(number);
        CHECK(fleet.stateOf("host-4", jobId(number)) == JobState::Running);
        CHECK(fleet.submit("host-4", number) == JobOutcome::Accepted);
    }
    fleet.runFor(1s);
    CHECK(fleet.runMonitor.starts == starts);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
}

TEST_CASE("a queue whose pool changes back and forth keeps the jobs of both pools")
{
    MovingFleet fleet(60s);
    REQUIRE(fleet.submit("host-0", 1) == JobOutcome::Accepted);
    fleet.moveQueue("hotels");
    REQUIRE(fleet.submit("host-0", 2) == JobOutcome::Accepted);
    fleet.moveQueue("desk");
    REQUIRE(fleet.submit("host-0", 3) == JobOutcome::Accepted);
    fleet.runFor(200ms);
    for (const unsigned number : { 1U, 2U, 3U }) {
        CAPTURE(number);
        CHECK(fleet.stateOf("host-1", jobId(number)) == JobState::Running);
        CHECK(fleet.submit("host-1", number) == JobOutcome::Accepted);
    }
    fleet.runFor(1s);
    CHECK(fleet.runMonitor.starts == 6);
}

TEST_CASE("the backlog of a queue counts its jobs in the pools that it had before")
{
    for (const bool isRenamed : { false, true }) {
        CAPTURE(isRenamed);
        MovingFleet fleet;
        for (const unsigned number : { 1U, 2U, 3U })
            REQUIRE(fleet.submit("host-0", number, waitingJob()) == JobOutcome::Accepted);
        CHECK(fleet.backlogAt("host-1") == 3);
        fleet.moveQueue("hotels", isRenamed);
        CHECK(fleet.backlogAt("host-1") == 3);
        REQUIRE(fleet.submit("host-0", 4, waitingJob()) == JobOutcome::Accepted);
        CHECK(fleet.backlogAt("host-2") == 4);
        fleet.moveQueue("desk", isRenamed);
        CHECK(fleet.backlogAt("host-2") == 4);
    }
}

TEST_CASE("a job that may be in a pool without an owner is refused, not denied or accepted again")
{
    MovingFleet fleet(60s);
    // Not the owner of both pools, so that the new one goes on.
    REQUIRE(fleet.ownerOf("desk") != fleet.ownerOf("hotels"));
    const auto host = fleet.ownerOf("hotels");
    REQUIRE(fleet.submit(host, 1) == JobOutcome::Accepted);
    fleet.moveQueue("hotels");
    fleet.killHost(fleet.ownerOf("desk"));
    for (const auto verb : { JobVerb::Show, JobVerb::Submit }) {
        const auto answer = fleet.call(host, verb, jobId(1), verb == JobVerb::Submit ? std::optional(oneStep(2, 3s)) : std::nullopt);
        REQUIRE(answer);
        CHECK(answer->outcome == JobOutcome::Refused);
    }
    fleet.runFor(15s);
    CHECK(fleet.stateOf(host, jobId(1)) == JobState::Running);
    CHECK(fleet.submit(host, 1) == JobOutcome::Accepted);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
}

TEST_CASE("a job that its pool doesn't know isn't answered for while the store can't say which pools its queue had")
{
    MovingFleet fleet;
    REQUIRE(fleet.submit("host-0", 1) == JobOutcome::Accepted);
    fleet.store.losesReadsUnder = "/marigold/queues/";
    fleet.moveQueue("hotels");
    const auto shown = fleet.call("host-0", JobVerb::Show, jobId(1));
    REQUIRE(shown);
    CHECK(shown->outcome == JobOutcome::Refused);
    CHECK(fleet.submit("host-0", 2) == JobOutcome::Refused);
    fleet.store.losesReadsUnder.clear();
    CHECK(fleet.stateOf("host-0", jobId(1)) == JobState::Running);
    CHECK(fleet.submit("host-0", 2) == JobOutcome::Accepted);
}

namespace {

/// Three steps of one task of 1 s, one after the other.
JobSpec threeSteps()
{
    auto spec = oneStep(1, 1s);
    spec.steps.resize(3, spec.steps.front());
    spec.steps[1].after = { 0 };
    spec.steps[2].after = { 1 };
    return spec;
}

/// Removes all queues of the pool "desk"; the pool stays.
void removeQueuesOfDesk(MovingFleet& fleet)
{
    std::erase_if(fleet.configuration.queues, [](const auto& it) { return it.pool == "desk"; });
    ++fleet.configuration.version;
    fleet.publishConfiguration();
    fleet.runFor(100ms);
}

} // namespace

// No host claimed the pool any more once its owner was gone, and the job's last steps were never started.
TEST_CASE("the jobs of a pool that has lost its queues are finished, whatever becomes of its owner")
{
    for (const bool isKilled : { false, true }) {
        CAPTURE(isKilled);
        MovingFleet fleet(1s);
        REQUIRE(fleet.submit("host-0", 1, threeSteps()) == JobOutcome::Accepted);
        fleet.runFor(200ms);
        removeQueuesOfDesk(fleet);
        for (const auto* host : { "host-0", "host-1", "host-2" }) {
            if (!isKilled)
                fleet.hosts.at(host)->node->leave([] {});
            fleet.runFor(isKilled ? 10ms : 700ms);
            fleet.killHost(host);
            fleet.addHost(host);
        }
        fleet.runFor(15s);
        CHECK(fleet.runMonitor.starts == 3);
        CHECK(fleet.runMonitor.duplicateRuns == 0);
        CHECK_FALSE(fleet.ownerOf("desk").empty());
    }
}

TEST_CASE("a pool that has lost its queues is retired once nobody can ask for its jobs, and claimed when it gets a queue again")
{
    MovingFleet fleet(1s);
    const auto queues = fleet.configuration.queues;
    REQUIRE(fleet.submit("host-0", 1, threeSteps()) == JobOutcome::Accepted);
    removeQueuesOfDesk(fleet);
    fleet.runFor(110s);
    CHECK_FALSE(fleet.ownerOf("desk").empty());
    fleet.runFor(60s);
    CHECK(fleet.ownerOf("desk").empty());
    CHECK(fleet.store.state.read("/marigold/control/terms/desk", false, fleet.loop.now()).values.empty());
    fleet.configuration.queues = queues;
    ++fleet.configuration.version;
    fleet.publishConfiguration();
    fleet.runFor(2s);
    CHECK_FALSE(fleet.ownerOf("desk").empty());
    CHECK(fleet.submit("host-1", 2, threeSteps()) == JobOutcome::Accepted);
    fleet.runFor(5s);
    CHECK(fleet.stateOf("host-1", jobId(2)) == JobState::Completed);
}

namespace {

/// The queue gets the pool "hotels" while one host without a duty is cut off from the store, so that it goes on with the version before.
struct LaggingFleet : MovingFleet {
    explicit LaggingFleet(bool hasRooms)
        : MovingFleet(20s, hasRooms)
    {
        REQUIRE(submit("host-0", 1) == JobOutcome::Accepted); // The homes are read with the version before, and kept.
        for (const auto& [name, host] : hosts) {
            if (name != ownerOf("desk") && name != ownerOf("hotels") && name != ownerOf("~fleet"))
                lagging = name;
        }
        if (lagging.empty()) { // Each host has a duty.
            addHost("host-3");
            runFor(500ms);
            lagging = "host-3";
        }
        current = ownerOf("desk");
        store.cutHosts.insert(lagging);
        moveQueue("hotels");
        runFor(1s); // In which the new pool gets an owner.
    }

    std::optional<JobOutcome> outcomeOf(const std::string& host, JobVerb verb, unsigned number)
    {
        const auto answer = call(host, verb, jobId(number), verb == JobVerb::Submit ? std::optional(oneStep(2, 20s)) : std::nullopt);
        return answer ? std::optional(answer->outcome) : std::nullopt;
    }

    /// Makes a call without waiting for its answer.
    std::shared_ptr<std::optional<JobOutcome>> callLater(const std::string& host, JobVerb verb, unsigned number)
    {
        auto outcome = std::make_shared<std::optional<JobOutcome>>();
        Ports::JobCall call;
        call.verb = verb;
        call.host = "desk.example";
        call.path = "/bookings/" + jobId(number);
        if (verb == JobVerb::Submit)
            call.spec = oneStep(2, 20s);
        hosts.at(host)->node->onJobCall(std::move(call), [outcome](const Ports::JobAnswer& it) { *outcome = it.outcome; });
        return outcome;
    }

    std::string lagging;
    std::string current; ///< A host that knows the newest version.
};

} // namespace

// The old pool's owner had read the homes before the new pool was one, and accepted the job a second time.
TEST_CASE("a job of a queue's new pool is one job also for a host that doesn't know of that pool yet")
{
    for (const bool hasRooms : { false, true }) {
        CAPTURE(hasRooms);
        LaggingFleet fleet(hasRooms);
        REQUIRE(fleet.outcomeOf(fleet.current, JobVerb::Submit, 2) == JobOutcome::Accepted);
        fleet.runFor(200ms);
        REQUIRE(fleet.runMonitor.starts == 4);
        CHECK(fleet.stateOf(fleet.lagging, jobId(2)) == JobState::Running);
        CHECK(fleet.outcomeOf(fleet.lagging, JobVerb::Submit, 2) == JobOutcome::Accepted);
        fleet.runFor(1s);
        CHECK(fleet.runMonitor.starts == 4);
        CHECK(fleet.runMonitor.duplicateRuns == 0);
    }
}

// Such a DELETE was answered 410 while the job ran to its end.
TEST_CASE("a job of a queue's new pool can be cancelled at a host that doesn't know of that pool yet")
{
    for (const bool hasRooms : { false, true }) {
        CAPTURE(hasRooms);
        LaggingFleet fleet(hasRooms);
        REQUIRE(fleet.outcomeOf(fleet.current, JobVerb::Submit, 2) == JobOutcome::Accepted);
        fleet.runFor(200ms);
        CHECK(fleet.outcomeOf(fleet.lagging, JobVerb::Cancel, 2) == JobOutcome::Cancelled);
        fleet.runFor(1s);
        CHECK(fleet.stateOf(fleet.current, jobId(2)) == JobState::Cancelled);
        for (const auto* worker : { "h0", "h1" })
            CHECK_FALSE(fleet.workers.at(worker)->isBusy());
    }
}

TEST_CASE("a job that was cancelled while it was unknown isn't accepted by another pool of its queue")
{
    for (const bool cancelsAtLagging : { false, true }) {
        for (const bool hasRooms : { false, true }) {
            CAPTURE(cancelsAtLagging);
            CAPTURE(hasRooms);
            LaggingFleet fleet(hasRooms);
            const auto canceller = cancelsAtLagging ? fleet.lagging : fleet.current;
            const auto submitter = cancelsAtLagging ? fleet.current : fleet.lagging;
            REQUIRE(fleet.outcomeOf(canceller, JobVerb::Cancel, 2) == JobOutcome::NoSuchJob);
            CHECK(fleet.outcomeOf(submitter, JobVerb::Submit, 2) == JobOutcome::Refused);
            CHECK(fleet.outcomeOf(submitter, JobVerb::Show, 2) == JobOutcome::NoSuchJob);
            fleet.runFor(1s);
            CHECK(fleet.runMonitor.starts == 2);
        }
    }
}

TEST_CASE("of two calls about one job that are under way at hosts with different versions, both can't be answered as if the other hadn't been made")
{
    for (const auto verb : { JobVerb::Submit, JobVerb::Cancel }) {
        for (const bool startsAtLagging : { false, true }) {
            for (unsigned delay = 0; delay <= 40; delay += 2) {
                CAPTURE(static_cast<int>(verb));
                CAPTURE(startsAtLagging);
                CAPTURE(delay);
                LaggingFleet fleet(false);
                const auto first = fleet.callLater(startsAtLagging ? fleet.lagging : fleet.current, JobVerb::Submit, 2);
                fleet.runFor(milliseconds(delay));
                const auto second = fleet.callLater(startsAtLagging ? fleet.current : fleet.lagging, verb, 2);
                fleet.runFor(3s);
                REQUIRE(*first);
                REQUIRE(*second);
                CHECK(fleet.runMonitor.duplicateRuns == 0);
                CHECK(fleet.runMonitor.starts <= 4);
                const bool isAcknowledgedCancel = *second == JobOutcome::NoSuchJob || *second == JobOutcome::Cancelled;
                if (!isAcknowledgedCancel)
                    continue;
                for (const auto& [id, worker] : fleet.workers) {
                    for (const auto& task : worker->runningTasks())
                        CHECK(task.job != jobId(2));
                }
            }
        }
    }
}
