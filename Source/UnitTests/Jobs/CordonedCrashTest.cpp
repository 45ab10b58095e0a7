/// Tests of crashes of workers that are to be emptied, or that drain: which of them count against their tasks.

#include "JobFleet.h"
#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <utility>
#include <variant>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

/// A pool of workers that confirm every start, and a job with one task.
class CordonedPool {
public:
    CordonedPool()
    {
        JobAccepted accepted;
        accepted.job = jobId(1);
        accepted.queue = "bookings";
        accepted.maximumAttempts = 3;
        accepted.acceptedAt = at().wall;
        accepted.spec = oneStep(1, 20s);
        core.load({ accepted });
        core.finishLoad(at());
        for (unsigned n = 0; n < 12; ++n)
            list("w" + std::to_string(n));
    }

    /// The worker becomes known, or reports a change.
    void list(const std::string& worker, WorkerEntry::State state = WorkerEntry::State::Ready, milliseconds drainRemaining = 0ms)
    {
        WorkerEntry entry;
        entry.id = worker;
        entry.machine = "m-" + worker;
        entry.address = "127.0.0.1:1";
        entry.incarnation = 1;
        entry.capacity = { 16000, 64000, 0 };
        entry.state = state;
        entry.drainRemaining = drainRemaining;
        core.onWorkerListed(entry, at());
        core.onPollAnswer(worker, core.findWorker(worker)->pollAnswers == 0 ? Ports::PollAnswer() : running(), now, at());
    }

    /// The worker on which the task was started.
    std::string start(bool isConfirmed = true)
    {
        for (unsigned n = 0; n < 100; ++n, now += 100ms) {
            if (m_output.orders.empty())
                decide();
            for (const auto& order : std::exchange(m_output, {}).orders) {
                const auto* it = std::get_if<StartRun>(&order);
                if (!it)
                    continue;
                core.onStartSent(*it, at());
                if (isConfirmed)
                    core.onStartAnswer(*it, { Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, {} }, at());
                m_run = it->run;
                now += 10ms;
                return it->worker;
            }
        }
        FAIL("no start");
        return {};
    }

    /// Returns the number of crashes that were counted.
    std::ptrdiff_t lose(const std::string& worker, WorkerLoss loss)
    {
        core.onWorkerFailing(worker, now, at());
        core.onWorkerLost(worker, loss, at());
        now += 1s; // Crashes of one moment are judged together, after it.
        decide();
        return std::ranges::count_if(m_output.log, [](const auto& it) { return it.event == std::string("worker-crashed"); });
    }

    unsigned crashesOfTask() const { return core.jobs().find(jobId(1))->stepOf(task)->tasks.at(0).crashTally.sinceProven; }
    bool isGivenUp() const { return core.show(jobId(1)).state == JobState::Failed; }
    Moment at() const { return { now, Common::WallTime(2000s) }; }

    Instant now { 1h };
    PoolCore core { PoolLimits {} };
    const TaskKey task { jobId(1), 0, 0, 0 };

private:
    void decide()
    {
        core.decide(at());
        m_output = core.takeOutput();
    }

    Ports::PollAnswer running() const
    {
        Ports::PollAnswer answer;
        if (m_run > 0)
            answer.running.push_back({ task, m_run, "", 0, 0 });
        return answer;
    }

    RunNumber m_run = 0;
    PoolOutput m_output; ///< Of the latest decision.
};

} // namespace

TEST_CASE("a crash of a cordoned worker counts against the task that it ran")
{
    for (const auto loss : { WorkerLoss::Crashed, WorkerLoss::Restarted }) {
        CAPTURE(std::string(nameOf(loss)));
        CordonedPool pool;
        const auto worker = pool.start();
        pool.core.cordon({ worker }, pool.at());
        CHECK(pool.lose(worker, loss) == 1);
        CHECK(pool.crashesOfTask() == 1);
    }
}

// Seen on benjelloun-oukaimeden-grown, seed 3: a task was started once more after its third crash, as the second had been on a cordoned worker.
TEST_CASE("a task that crashes cordoned workers is given up after as many crashes as on other workers")
{
    const auto crashesUntilGivenUp = [](bool isCordoned) {
        CordonedPool pool;
        unsigned crashes = 0;
        for (; crashes < 8 && !pool.isGivenUp(); ++crashes) {
            const auto worker = pool.start();
            if (isCordoned)
                pool.core.cordon({ worker }, pool.at());
            pool.lose(worker, WorkerLoss::Crashed);
        }
        return crashes;
    };
    CHECK(crashesUntilGivenUp(true) == crashesUntilGivenUp(false));
}

TEST_CASE("a worker that is lost before its drain time is over has crashed")
{
    CordonedPool pool;
    const auto worker = pool.start();
    pool.list(worker, WorkerEntry::State::Draining, 2000ms);
    pool.now += 100ms;
    CHECK(pool.lose(worker, WorkerLoss::Crashed) == 1);
    CHECK(pool.crashesOfTask() == 1);
}

TEST_CASE("a worker that ends after it has drained counts as no crash")
{
    CordonedPool pool;
    const auto worker = pool.start();
    SUBCASE("when the time that it reported first is over")
    {
        pool.list(worker, WorkerEntry::State::Draining, 2000ms);
        pool.now += 2000ms;
    }
    SUBCASE("when a later report has shortened it")
    {
        pool.list(worker, WorkerEntry::State::Draining, 2000ms);
        pool.now += 100ms;
        pool.list(worker, WorkerEntry::State::Draining, 300ms);
        pool.now += 300ms;
    }
    SUBCASE("when it reported none")
    {
        pool.list(worker, WorkerEntry::State::Draining, 0ms);
    }
    CHECK(pool.lose(worker, WorkerLoss::Crashed) == 0);
    CHECK(pool.crashesOfTask() == 0);
}

TEST_CASE("a worker known first while it drains, by an entry that may be old, counts as no crash when it ends")
{
    CordonedPool pool;
    pool.core.cordon({ "w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9", "w10", "w11" }, pool.at());
    pool.list("new", WorkerEntry::State::Draining, 2000ms);
    pool.now += 100ms;
    CHECK(pool.lose("new", WorkerLoss::Crashed) == 0);
}

TEST_CASE("a machine that is moved or maintained on order isn't one that crashes")
{
    CordonedPool pool;
    SUBCASE("while its worker, cordoned and empty, is found to be replaced")
    {
        const auto worker = pool.start();
        const std::string empty = worker == "w0" ? "w1" : "w0";
        pool.core.cordon({ empty }, pool.at());
        CHECK(pool.lose(empty, WorkerLoss::Crashed) == 0);
        CHECK(pool.lose(empty, WorkerLoss::Restarted) == 0);
    }
    SUBCASE("before the start on its cordoned worker has arrived")
    {
        const auto worker = pool.start(false);
        pool.core.cordon({ worker }, pool.at());
        pool.now += 20ms;
        pool.core.onPollAnswer(worker, {}, pool.now - 1ms, pool.at()); // The run isn't there.
        REQUIRE_FALSE(pool.core.findWorker(worker)->runs.empty());
        CHECK(pool.lose(worker, WorkerLoss::Crashed) == 0);
    }
    SUBCASE("late, after tasks were placed on its worker again")
    {
        const auto worker = pool.start();
        CHECK(pool.lose(worker, WorkerLoss::Ordered) == 0);
        CHECK(pool.crashesOfTask() == 0);
    }
}
