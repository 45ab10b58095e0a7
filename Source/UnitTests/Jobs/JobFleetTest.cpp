/// Whole fleets in virtual time: jobs are accepted once, run once and are shown as completed, despite killed hosts, network cuts
/// and outages of the store.

#include "JobFleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;

namespace {

/// The first host that doesn't own the pool.
std::string hostWithoutPool(const JobFleet& fleet)
{
    const auto owner = fleet.ownerOf("desk");
    for (const auto& [name, host] : fleet.hosts) {
        if (name != owner)
            return name;
    }
    return {};
}

void submit(JobFleet& fleet, const std::string& host, unsigned number, const Jobs::JobSpec& spec)
{
    const auto answer = fleet.call(host, JobVerb::Submit, jobId(number), spec);
    REQUIRE(answer);
    CHECK(answer->outcome == JobOutcome::Accepted);
}

} // namespace

TEST_CASE("a job that is submitted at a host other than the owner runs once and is shown as completed at every host")
{
    JobFleet fleet(3, 3);
    fleet.settle();
    const auto id = jobId(1);
    submit(fleet, hostWithoutPool(fleet), 1, oneStep(20));
    fleet.runFor(5s);
    for (const auto& [name, host] : fleet.hosts)
        CHECK(fleet.stateOf(name, id) == Jobs::JobState::Completed);
    CHECK(fleet.runMonitor.starts == 20);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
}

TEST_CASE("the same id submitted repeatedly, at several hosts and after completion, remains one job")
{
    JobFleet fleet(3, 3);
    fleet.settle();
    for (const auto& [name, host] : fleet.hosts)
        submit(fleet, name, 1, oneStep(4));
    fleet.runFor(4s);
    submit(fleet, "host-0", 1, oneStep(4));
    fleet.runFor(4s);
    CHECK(fleet.runMonitor.starts == 4);
}

TEST_CASE("a step starts within a few hundredths of a second of the end of the steps before it")
{
    JobFleet fleet(2, 2);
    fleet.settle();
    auto spec = oneStep(4);
    spec.steps.push_back(spec.steps.front());
    spec.steps.back().after = { 0 };
    submit(fleet, "host-0", 1, spec);
    fleet.runFor(450ms);
    CHECK(fleet.runMonitor.starts == 4);
    fleet.runFor(150ms);
    CHECK(fleet.runMonitor.starts == 8);
    fleet.runFor(600ms);
    CHECK(fleet.stateOf("host-0", jobId(1)) == Jobs::JobState::Completed);
}

TEST_CASE("when an owner is killed, the next one takes over all its jobs and no task runs twice")
{
    JobFleet fleet(3, 4);
    fleet.settle();
    for (unsigned n = 0; n < 20; ++n)
        submit(fleet, "host-" + std::to_string(n % 3), n, oneStep(6));
    const auto owner = fleet.ownerOf("desk");
    fleet.killHost(owner);
    fleet.runFor(20s);
    const auto next = fleet.ownerOf("desk");
    REQUIRE(!next.empty());
    for (unsigned n = 0; n < 20; ++n)
        CHECK(fleet.stateOf(next, jobId(n)) == Jobs::JobState::Completed);
    CHECK(fleet.runMonitor.starts == 120);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
}

TEST_CASE("when all hosts lose power at once, accepted jobs are completed and no task runs twice")
{
    JobFleet fleet(3, 4);
    fleet.settle();
    for (unsigned n = 0; n < 10; ++n)
        submit(fleet, "host-0", n, oneStep(6));
    for (unsigned n = 0; n < 3; ++n)
        fleet.killHost("host-" + std::to_string(n));
    fleet.runFor(1s);
    for (unsigned n = 0; n < 3; ++n)
        fleet.addHost("host-" + std::to_string(n));
    fleet.runFor(20s);
    for (unsigned n = 0; n < 10; ++n)
        CHECK(fleet.stateOf("host-1", jobId(n)) == Jobs::JobState::Completed);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
}

TEST_CASE("the lease of a crashed worker isn't extended, and its tasks run elsewhere once it has lapsed")
{
    JobFleet fleet(2, 3);
    fleet.settle();
    auto spec = longRunningStep(2);
    spec.steps.front().maximumPerWorker = 1;
    fleet.setRunTime(60s);
    submit(fleet, "host-0", 1, spec);
    fleet.runFor(500ms);
    REQUIRE(fleet.runMonitor.starts == 2);
    fleet.busyWorker().crash();
    fleet.runFor(9s);
    CHECK(fleet.runMonitor.starts == 3);
}

TEST_CASE("tasks of a worker whose machine is listed as down run elsewhere without waiting for the lease to lapse")
{
    JobFleet fleet(2, 3);
    fleet.settle();
    auto spec = longRunningStep(2);
    spec.steps.front().maximumPerWorker = 1;
    fleet.setRunTime(60s);
    submit(fleet, "host-0", 1, spec);
    fleet.runFor(500ms);
    auto& busy = fleet.busyWorker();
    busy.crash();
    fleet.machines.at(busy.entry.machine).state = Jobs::Machine::State::Down;
    fleet.runFor(4s);
    CHECK(fleet.runMonitor.starts == 3);
}

TEST_CASE("tasks of a worker that is cut off but still runs are started elsewhere only once they have surely ended")
{
    JobFleet fleet(2, 3);
    fleet.settle();
    fleet.setRunTime(30s);
    submit(fleet, "host-0", 1, oneStep(6, 30s));
    fleet.runFor(1s);
    fleet.workers.at("w1")->isPartitioned = true;
    fleet.runFor(12s);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
    CHECK(fleet.runMonitor.starts > 6);
    fleet.workers.at("w1")->isPartitioned = false;
    fleet.runFor(60s);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
    CHECK(fleet.stateOf("host-0", jobId(1)) == Jobs::JobState::Completed);
}

TEST_CASE("starts that are carried out late and not answered make no task run twice")
{
    JobFleet fleet(2, 3);
    fleet.settle();
    for (const auto& [name, host] : fleet.hosts)
        host->workers->startsToDelay = 4;
    submit(fleet, "host-0", 1, oneStep(8));
    fleet.runFor(15s);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
    CHECK(fleet.runMonitor.starts == 8);
    CHECK(fleet.stateOf("host-0", jobId(1)) == Jobs::JobState::Completed);
}

TEST_CASE("starts delayed by network cuts that arrive when the cut ends make no task run twice")
{
    for (unsigned seed = 1; seed <= 60; ++seed) {
        std::mt19937 random(seed);
        JobFleet fleet(2, 4);
        fleet.settle();
        for (const auto& [name, host] : fleet.hosts)
            host->workers->retransmitsStarts = true;
        for (unsigned n = 0; n < 60; ++n) {
            const auto tasks = 1 + static_cast<unsigned>(random() % 5);
            for (const auto& [id, worker] : fleet.workers) {
                worker->runTime = std::chrono::milliseconds(200 + random() % 900);
                if (random() % 40 == 0)
                    worker->isPartitioned = true;
                else if (random() % 30 == 0)
                    worker->isPartitioned = false;
            }
            fleet.call("host-0", JobVerb::Submit, jobId(n), oneStep(tasks));
            fleet.runFor(std::chrono::milliseconds(random() % 400));
        }
        for (const auto& [id, worker] : fleet.workers)
            worker->isPartitioned = false;
        fleet.runFor(30s);
        CAPTURE(seed);
        CHECK(fleet.runMonitor.duplicateRuns == 0);
        for (unsigned n = 0; n < 60; ++n)
            CHECK(fleet.stateOf("host-0", jobId(n)) == Jobs::JobState::Completed);
    }
}

TEST_CASE("an unanswered start whose run has ended before the retry isn't taken for one that never ran")
{
    JobFleet fleet(2, 3);
    fleet.settle();
    fleet.setRunTime(720ms);
    for (const auto& [name, host] : fleet.hosts)
        host->workers->startAnswersToLose = 4;
    // The end is listed, but not committed yet, when the second attempt is refused as old.
    fleet.store.delay = 120ms;
    submit(fleet, "host-0", 1, oneStep(6));
    fleet.runFor(8s);
    CHECK(fleet.runMonitor.starts == 6);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
    CHECK(fleet.stateOf("host-0", jobId(1)) == Jobs::JobState::Completed);
}

TEST_CASE("an unanswered start whose retry is refused is cancelled before the task is placed elsewhere")
{
    JobFleet fleet(2, 3);
    fleet.settle();
    fleet.setRunTime(5s);
    auto& owner = *fleet.hosts.at(fleet.ownerOf("desk"))->workers;
    owner.startsToDelay = 1;
    submit(fleet, "host-0", 1, oneStep(1, 5s));
    fleet.runFor(100ms);
    REQUIRE(!owner.delayedWorker.empty());
    fleet.workers.at(owner.delayedWorker)->startsToRefuse = 1;
    fleet.runFor(20s);
    CHECK(fleet.runMonitor.starts == 1);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
    CHECK(fleet.stateOf("host-0", jobId(1)) == Jobs::JobState::Completed);
}

TEST_CASE("a start that stays unanswered for a minute at a worker that answers polls is still retried")
{
    JobFleet fleet(2, 2);
    fleet.settle();
    for (const auto& [name, host] : fleet.hosts)
        host->workers->startsToLose = 45;
    submit(fleet, "host-0", 1, oneStep(1));
    fleet.runFor(90s);
    CHECK(fleet.stateOf("host-0", jobId(1)) == Jobs::JobState::Completed);
    CHECK(fleet.runMonitor.starts == 1);
}

TEST_CASE("commits that take effect late and whose answers are lost neither lose nor duplicate a job")
{
    JobFleet fleet(2, 3);
    fleet.settle();
    fleet.store.lateEffect = 1500ms;
    for (unsigned n = 0; n < 8; ++n) {
        fleet.store.answersToLose = n % 2;
        fleet.call("host-0", JobVerb::Submit, jobId(n), oneStep(3));
    }
    fleet.runFor(15s);
    for (unsigned n = 0; n < 8; ++n)
        CHECK(fleet.stateOf("host-1", jobId(n)) == Jobs::JobState::Completed);
    CHECK(fleet.runMonitor.starts == 24);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
}

TEST_CASE("during an outage of the store, jobs are refused at once with a retry time, and runs continue")
{
    JobFleet fleet(2, 2);
    fleet.settle();
    fleet.setRunTime(4s);
    submit(fleet, "host-0", 1, oneStep(4, 4s));
    fleet.runFor(500ms);
    fleet.store.isDown = true;
    fleet.call("host-0", JobVerb::Submit, jobId(2), oneStep(4));
    fleet.runFor(500ms);
    const auto before = fleet.loop.now();
    const auto refused = fleet.call(fleet.ownerOf("desk"), JobVerb::Submit, jobId(3), oneStep(4));
    REQUIRE(refused);
    CHECK(refused->outcome == JobOutcome::Refused);
    CHECK(refused->retryAfter > 0ms);
    CHECK(fleet.loop.now() - before <= 5ms);
    fleet.runFor(3s);
    fleet.store.isDown = false;
    fleet.runFor(8s);
    CHECK(fleet.stateOf("host-0", jobId(1)) == Jobs::JobState::Completed);
    CHECK(fleet.runMonitor.starts >= 4);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
    // Not stored, as the refusal said.
    const auto shown = fleet.call("host-0", JobVerb::Show, jobId(3));
    REQUIRE(shown);
    CHECK(shown->outcome == JobOutcome::NoSuchJob);
}

TEST_CASE("duties whose leases lapse during an outage of the store are acquired as soon as it is back")
{
    JobFleet fleet(4, 2);
    fleet.settle();
    fleet.store.isDown = true;
    fleet.runFor(6s);
    fleet.store.state.expireLeases(fleet.loop.now());
    fleet.store.isDown = false;
    fleet.runFor(4s);
    CHECK(!fleet.ownerOf("desk").empty());
    submit(fleet, "host-0", 1, oneStep(2));
    fleet.runFor(2s);
    CHECK(fleet.stateOf("host-1", jobId(1)) == Jobs::JobState::Completed);
}

TEST_CASE("an owner that is cut off from the store is replaced, and workers that know the next owner refuse its orders")
{
    JobFleet fleet(3, 3);
    fleet.settle();
    fleet.setRunTime(3s);
    for (unsigned n = 0; n < 4; ++n)
        submit(fleet, "host-0", n, oneStep(6, 3s));
    const auto old = fleet.ownerOf("desk");
    fleet.store.cutHosts = { old };
    fleet.runFor(8s);
    fleet.store.cutHosts.clear();
    fleet.runFor(30s);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
    for (unsigned n = 0; n < 4; ++n)
        CHECK(fleet.stateOf("host-0", jobId(n)) == Jobs::JobState::Completed);
}

TEST_CASE("a cancelled job's tasks stop, no more of them start, and it remains cancelled after a takeover")
{
    JobFleet fleet(2, 1);
    fleet.settle();
    fleet.setRunTime(20s);
    submit(fleet, "host-0", 1, oneStep(12, 20s));
    fleet.runFor(500ms);
    REQUIRE(fleet.runMonitor.starts == 4);
    const auto answer = fleet.call("host-1", JobVerb::Cancel, jobId(1));
    REQUIRE(answer);
    CHECK(answer->outcome == JobOutcome::Cancelled);
    fleet.killHost(fleet.ownerOf("desk"));
    fleet.runFor(10s);
    for (const auto& [task, running] : fleet.runMonitor.running)
        CHECK(running == 0);
    CHECK(fleet.runMonitor.starts == 4);
    CHECK(fleet.stateOf(fleet.hosts.begin()->first, jobId(1)) == Jobs::JobState::Cancelled);
}

TEST_CASE("a task that fails everywhere fails its job after the queue's maximum of attempts")
{
    JobFleet fleet(2, 3);
    fleet.settle();
    for (const auto& [id, worker] : fleet.workers)
        worker->failsAll = true;
    submit(fleet, "host-0", 1, oneStep(1));
    fleet.runFor(8s);
    CHECK(fleet.stateOf("host-0", jobId(1)) == Jobs::JobState::Failed);
    CHECK(fleet.runMonitor.starts == 3);
}

TEST_CASE("a worker that fails every run makes no job fail while other workers are healthy")
{
    JobFleet fleet(2, 4);
    fleet.settle();
    fleet.workers.at("w2")->failsAll = true;
    for (unsigned n = 0; n < 12; ++n)
        submit(fleet, "host-0", n, oneStep(4));
    fleet.runFor(20s);
    for (unsigned n = 0; n < 12; ++n)
        CHECK(fleet.stateOf("host-0", jobId(n)) == Jobs::JobState::Completed);
}

TEST_CASE("a host that stops hands its pool over within a fraction of a second and goes on forwarding calls")
{
    JobFleet fleet(3, 3);
    fleet.settle();
    submit(fleet, "host-0", 1, oneStep(6));
    const auto owner = fleet.ownerOf("desk");
    bool hasLeft = false;
    fleet.hosts.at(owner)->node->leave([&hasLeft] { hasLeft = true; });
    fleet.runFor(800ms);
    CHECK(hasLeft);
    const auto next = fleet.ownerOf("desk");
    CHECK(!next.empty());
    CHECK(next != owner);
    submit(fleet, owner, 2, oneStep(2));
    fleet.runFor(4s);
    CHECK(fleet.stateOf(owner, jobId(2)) == Jobs::JobState::Completed);
    CHECK(fleet.runMonitor.duplicateRuns == 0);
}
