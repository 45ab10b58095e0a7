/// Whole fleets under behaviour that the platform's protocol allows and that other tests don't cover; docs/PROOFS.md lists it.

#include "JobFleet.h"
#include "Jobs/Runtime/StoreKeys.h"

#include <doctest/doctest.h>
#include <iterator>
#include <random>
#include <string>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;
using std::chrono::milliseconds;

namespace {

constexpr unsigned jobTasks = 3;

/// What happens to the owner of the pool.
enum class OwnerLoss {
    None,
    Killed,
    Paused,
    CutFromStore,
};

constexpr OwnerLoss ownerLosses[] = { OwnerLoss::None, OwnerLoss::Killed, OwnerLoss::Paused, OwnerLoss::CutFromStore };

/// A fleet of three hosts and four workers whose callers submit each job again until it is accepted.
struct AllowedFleet : JobFleet {
    AllowedFleet()
        : JobFleet(3, 4)
    {
        setRunTime(300ms);
        keepsWorkerIds = true;
        store.endsBrokenWatches = true;
        settle();
    }

    /// Sends a submission to a host and sends it again after a second if it wasn't accepted.
    void submit(unsigned number, const std::string& host)
    {
        jobs = std::max(jobs, number);
        send(number, host, [this, number](JobOutcome outcome) {
            if (outcome != JobOutcome::Accepted)
                loop.after(1s, [this, number] { submit(number, std::next(hosts.begin(), number % static_cast<unsigned>(hosts.size()))->first); });
        });
    }

    /// Sends a submission whose answer nobody reads.
    void sendCopy(unsigned number, const std::string& host)
    {
        send(number, host, [](JobOutcome) {});
    }

    void submitNext() { submit(jobs + 1, std::next(hosts.begin(), jobs % static_cast<unsigned>(hosts.size()))->first); }

    /// The owner returns after 4 s, except for a host that was killed, which returns after 1 s.
    void lose(OwnerLoss loss)
    {
        const auto owner = ownerOf("desk");
        if (loss == OwnerLoss::None || owner.empty())
            return;
        if (loss == OwnerLoss::Killed) {
            killHost(owner);
            loop.after(1s, [this, owner] { addHost(owner); });
        } else if (loss == OwnerLoss::Paused) {
            pauseHost(owner);
            loop.after(4s, [this, owner] { hosts.contains(owner) ? resumeHost(owner) : void(); });
        } else {
            store.cutHosts.insert(owner);
            loop.after(4s, [this, owner] { store.cutHosts.erase(owner); });
        }
    }

    void check()
    {
        runFor(40s);
        CHECK(runMonitor.duplicateRuns == 0);
        unsigned unfinished = 0;
        for (unsigned n = 1; n <= jobs; ++n)
            unfinished += stateOf(hosts.begin()->first, jobId(n)) == JobState::Completed ? 0 : 1;
        CHECK(unfinished == 0);
    }

    unsigned jobs = 0;

private:
    void send(unsigned number, const std::string& host, std::function<void(JobOutcome)> callback)
    {
        Ports::JobCall it;
        it.verb = JobVerb::Submit;
        it.host = "desk.example";
        it.path = "/bookings/" + jobId(number);
        it.callerTimeout = 3s;
        it.spec = oneStep(jobTasks, 300ms);
        hosts.at(host)->node->onJobCall(std::move(it), [callback = std::move(callback)](const Ports::JobAnswer& answer) { callback(answer.outcome); });
    }
};

/// Submits jobs for 12 s while some of the owner's polls are carried out late.
void runWithLatePolls(AllowedFleet& fleet, unsigned seed, bool restarts)
{
    std::mt19937 random(seed);
    fleet.downTime = 50ms;
    for (unsigned tick = 0; tick < 120; ++tick) {
        fleet.submitNext();
        fleet.runFor(milliseconds(50 + random() % 100));
        const auto owner = fleet.ownerOf("desk");
        if (random() % 4 == 0 && !owner.empty())
            fleet.hosts.at(owner)->workers->pollsToDelay = 2;
        const auto id = "w" + std::to_string(random() % 4);
        if (restarts && random() % 10 == 0 && !fleet.workers.at(id)->isCrashed)
            fleet.crashWorker(id);
    }
}

} // namespace

TEST_CASE("commits that take effect seconds after their callers gave up, with a takeover between, neither lose nor repeat a job")
{
    for (const auto loss : ownerLosses) {
        for (auto lateEffect = 500ms; lateEffect <= 5s; lateEffect += 250ms) {
            CAPTURE(static_cast<int>(loss));
            CAPTURE(lateEffect.count());
            AllowedFleet fleet;
            fleet.store.lateEffect = lateEffect;
            fleet.store.losesAnswersUnder = StoreKeys::journals;
            for (unsigned n = 0; n < 6; ++n) {
                fleet.submitNext();
                fleet.runFor(50ms);
            }
            fleet.lose(loss);
            fleet.runFor(200ms);
            fleet.store.losesAnswersUnder.clear();
            for (unsigned n = 0; n < 40; ++n) {
                fleet.submitNext();
                fleet.runFor(150ms);
            }
            fleet.check();
        }
    }
}

TEST_CASE("claims of a pool that take effect seconds after they were given up don't lose its jobs")
{
    for (const auto loss : { OwnerLoss::Killed, OwnerLoss::Paused, OwnerLoss::CutFromStore }) {
        for (auto lateEffect = 500ms; lateEffect <= 5s; lateEffect += 250ms) {
            CAPTURE(static_cast<int>(loss));
            CAPTURE(lateEffect.count());
            AllowedFleet fleet;
            fleet.setRunTime(2s);
            fleet.store.lateEffect = lateEffect;
            for (unsigned n = 0; n < 6; ++n)
                fleet.submitNext();
            fleet.runFor(300ms);
            fleet.store.losesAnswersUnder = StoreKeys::owners;
            fleet.lose(loss);
            fleet.runFor(4s);
            fleet.store.losesAnswersUnder.clear();
            fleet.check();
        }
    }
}

TEST_CASE("a worker that restarts under its id twice between two polls neither loses nor repeats a task")
{
    for (const bool closesConnections : { false, true }) {
        for (auto firstCrash = 20ms; firstCrash <= 700ms; firstCrash += 40ms) {
            for (const auto between : { 11ms, 12ms, 13ms, 15ms, 40ms, 400ms }) {
                CAPTURE(closesConnections);
                CAPTURE(firstCrash.count());
                CAPTURE(between.count());
                AllowedFleet fleet;
                fleet.downTime = 10ms;
                fleet.closesConnections = closesConnections;
                for (const auto& [id, worker] : fleet.workers)
                    worker->closesConnections = closesConnections;
                for (unsigned n = 0; n < 10; ++n)
                    fleet.submitNext();
                fleet.runFor(firstCrash);
                fleet.crashWorker("w0");
                fleet.runFor(between);
                fleet.crashWorker("w0");
                fleet.runFor(100ms);
                for (unsigned n = 0; n < 10; ++n)
                    fleet.submitNext();
                fleet.check();
            }
        }
    }
}

TEST_CASE("what changes while the store has discarded its history is known after the next read")
{
    for (const auto loss : ownerLosses) {
        for (const auto silence : { 100ms, 600ms, 2000ms }) {
            CAPTURE(static_cast<int>(loss));
            CAPTURE(silence.count());
            AllowedFleet fleet;
            fleet.downTime = 100ms;
            fleet.store.pageSize = 2;
            for (unsigned n = 0; n < 10; ++n)
                fleet.submitNext();
            fleet.runFor(150ms);
            fleet.store.discardHistory(silence);
            fleet.crashWorker("w0");
            fleet.unpublishWorker("w1");
            fleet.lose(loss);
            fleet.runFor(silence / 2);
            fleet.addWorker("w9", "m9", 4);
            fleet.publishWorker("w9");
            fleet.publishWorker("w1");
            fleet.runFor(silence);
            fleet.store.discardHistory(silence);
            for (unsigned n = 0; n < 10; ++n)
                fleet.submitNext();
            fleet.check();
        }
    }
}

TEST_CASE("a submission that arrives again at other hosts during a takeover remains one job")
{
    for (const auto loss : ownerLosses) {
        for (const auto lossAfter : { 1ms, 5ms, 100ms, 700ms }) {
            CAPTURE(static_cast<int>(loss));
            CAPTURE(lossAfter.count());
            AllowedFleet fleet;
            for (unsigned n = 0; n < 4; ++n)
                fleet.submitNext();
            fleet.runFor(lossAfter);
            fleet.lose(loss);
            for (unsigned n = 0; n < 200; ++n) {
                fleet.sendCopy(1 + n % 4, std::next(fleet.hosts.begin(), n % static_cast<unsigned>(fleet.hosts.size()))->first);
                fleet.runFor(40ms);
            }
            fleet.check();
            CHECK(fleet.runMonitor.running.size() == std::size_t { fleet.jobs } * jobTasks);
        }
    }
}

TEST_CASE("leases that pause while the store is down leave each pool one owner, and its jobs are finished once")
{
    for (const auto loss : { OwnerLoss::None, OwnerLoss::Killed, OwnerLoss::Paused }) {
        for (auto outage = 500ms; outage <= 12s; outage += 500ms) {
            CAPTURE(static_cast<int>(loss));
            CAPTURE(outage.count());
            AllowedFleet fleet;
            fleet.setRunTime(2s);
            for (unsigned n = 0; n < 10; ++n)
                fleet.submitNext();
            fleet.runFor(200ms);
            fleet.store.pauseLeases();
            fleet.runFor(outage / 2);
            fleet.lose(loss);
            fleet.runFor(outage / 2);
            fleet.store.resume();
            for (unsigned n = 0; n < 10; ++n) {
                fleet.submitNext();
                fleet.runFor(100ms);
            }
            fleet.check();
        }
    }
}

TEST_CASE("polls that are carried out seconds late make no task run twice")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        AllowedFleet fleet;
        runWithLatePolls(fleet, seed, false);
        fleet.check();
    }
}

// The next incarnation forgets ends that its host hasn't seen: a poll names the worker's id, not its incarnation.
TEST_CASE("polls that are carried out seconds late make no task run twice on workers that restart under their ids")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        AllowedFleet fleet;
        runWithLatePolls(fleet, seed, true);
        fleet.check();
    }
}

TEST_CASE("calls that a store or a worker refuses for a while don't lose a job")
{
    for (const auto refused : { 300ms, 1500ms, 4000ms, 8000ms }) {
        CAPTURE(refused.count());
        AllowedFleet fleet;
        for (unsigned n = 0; n < 10; ++n)
            fleet.submitNext();
        fleet.runFor(50ms);
        fleet.store.refusedHosts = { fleet.ownerOf("desk") };
        for (const auto& [name, host] : fleet.hosts)
            host->workers->callsToRefuse = 5;
        for (auto time = 0ms; time < refused; time += 100ms) {
            fleet.submitNext();
            fleet.runFor(100ms);
        }
        fleet.store.refusedHosts.clear();
        fleet.check();
    }
}

TEST_CASE("the tasks of workers that are cut off and whose clocks are 2% slow aren't started elsewhere before their leases lapse")
{
    for (const auto loss : ownerLosses) {
        for (auto cutAfter = 0ms; cutAfter <= 2s; cutAfter += 100ms) {
            CAPTURE(static_cast<int>(loss));
            CAPTURE(cutAfter.count());
            AllowedFleet fleet;
            for (const auto& [id, worker] : fleet.workers)
                worker->clockPermille = 980;
            fleet.runFor(60s);
            fleet.setRunTime(15s);
            for (unsigned n = 0; n < 4; ++n)
                fleet.submitNext();
            fleet.runFor(100ms + cutAfter);
            REQUIRE(fleet.workers.at("w0")->isBusy());
            fleet.workers.at("w0")->isPartitioned = true;
            fleet.lose(loss);
            constexpr auto takeover = 2500ms;
            fleet.runFor(takeover + SessionLimits().takeoverLapse);
            CHECK(fleet.runMonitor.starts > std::size_t { fleet.jobs } * jobTasks);
            fleet.workers.at("w0")->isPartitioned = false;
            fleet.runFor(30s);
            fleet.check();
        }
    }
}
