/// Tests of pools in which one queue's tasks crash more workers than its jobs can be tried on.

#include "JobFleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <random>
#include <vector>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobOutcome;
using std::chrono::milliseconds;

namespace {

/// Twelve workers that two queues share: "bookings", of which a share of the jobs crashes its workers, and "sound".
class SharedFleet : public JobFleet {
public:
    struct Submission {
        JobId id;
        Common::Instant at {};
        Common::Instant endedAt {}; ///< Zero while tasks are left.
        Ports::JobAnswer answer;
        bool isOfSound = false;
        bool isCrashing = false;
    };

    explicit SharedFleet(std::uint64_t seed)
        : JobFleet(3, 12, 16)
        , m_random(seed)
    {
        auto queue = configuration.queues.front();
        queue.name = "sound";
        queue.prefix = "/sound/";
        configuration.queues.push_back(queue);
        ++configuration.version;
        publishConfiguration();
        closesConnections = true;
        for (auto& [id, worker] : workers)
            worker->closesConnections = true;
        setRunTime(640ms);
        settle();
    }

    /// Submits ten jobs of eight tasks a second to "bookings" and two to "sound", for that long.
    void run(milliseconds length, double crashingShare)
    {
        const auto end = loop.now() + length;
        for (unsigned n = 0; loop.now() < end; ++n) {
            std::bernoulli_distribution crashes(crashingShare);
            submit("/bookings/", false, crashes(m_random));
            if (n % 5 == 0)
                submit("/sound/", true, false);
            for (int part = 0; part < 10; ++part) {
                runFor(10ms);
                noteEnds();
            }
        }
    }

    void runOut(milliseconds length)
    {
        for (const auto end = loop.now() + length; loop.now() < end;) {
            runFor(10ms);
            noteEnds();
        }
    }

    std::vector<std::shared_ptr<Submission>> submissions;
    static constexpr unsigned tasks = 8; ///< Of each job.

private:
    void submit(const std::string& prefix, bool isOfSound, bool isCrashing)
    {
        const auto submission = std::make_shared<Submission>();
        submissions.push_back(submission);
        submission->id = jobId(static_cast<unsigned>(submissions.size()));
        submission->at = loop.now();
        submission->isOfSound = isOfSound;
        submission->isCrashing = isCrashing;
        if (isCrashing)
            runMonitor.crashing.insert({ submission->id, 0, 0, static_cast<unsigned>(m_random() % tasks) });
        Ports::JobCall call;
        call.verb = Ports::JobVerb::Submit;
        call.host = "desk.example";
        call.path = prefix + submission->id;
        call.callerTimeout = 3000ms;
        call.spec = oneStep(tasks, 640ms, 880);
        hosts.begin()->second->node->onJobCall(std::move(call), [submission](const Ports::JobAnswer& it) { submission->answer = it; });
    }

    void noteEnds()
    {
        for (const auto& it : submissions) {
            TaskKey key { it->id, 0, 0, 0 };
            while (it->endedAt == Common::Instant() && key.index < tasks && runMonitor.done.contains(key))
                ++key.index;
            if (key.index == tasks)
                it->endedAt = loop.now();
        }
    }

    std::mt19937_64 m_random;
};

/// Three times the objective of the jobs.
constexpr milliseconds usefulFor { 3 * (2 * 640 + 1000) };

using Submissions = std::vector<std::shared_ptr<SharedFleet::Submission>>;

bool isRefused(const SharedFleet::Submission& it) { return it.answer.outcome == JobOutcome::Refused && it.answer.reason == "source-crashes-workers"; }

unsigned countRefused(const Submissions& submissions, bool isOfSound, Common::Instant from, Common::Instant until)
{
    const auto counts = [&](const auto& it) { return it->isOfSound == isOfSound && it->at >= from && it->at < until && isRefused(*it); };
    return static_cast<unsigned>(std::ranges::count_if(submissions, counts));
}

} // namespace

TEST_CASE("of the sound jobs that are accepted from a queue that crashes its workers at most 1 in 20 end too late to be of use")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        SharedFleet fleet(seed);
        fleet.run(30s, 0.4);
        fleet.runOut(14s);
        unsigned accepted = 0;
        unsigned late = 0;
        for (const auto& it : fleet.submissions) {
            if (it->isOfSound || it->isCrashing || it->answer.outcome != JobOutcome::Accepted)
                continue;
            ++accepted;
            late += it->endedAt == Common::Instant() || it->endedAt - it->at > usefulFor ? 1 : 0;
        }
        const auto refused = countRefused(fleet.submissions, false, {}, fleet.loop.now());
        CAPTURE(seed);
        CAPTURE(refused);
        CAPTURE(accepted);
        CHECK(late * 20 <= accepted);
        CHECK(accepted > 0);
    }
}

TEST_CASE("beside a queue that crashes its workers and is refused, nothing of another queue of the pool is refused")
{
    SharedFleet fleet(1);
    fleet.run(20s, 0.4);
    CHECK(countRefused(fleet.submissions, false, {}, fleet.loop.now()) > 0);
    CHECK(countRefused(fleet.submissions, true, {}, fleet.loop.now()) == 0);
}

TEST_CASE("refusals to a queue that crashes its workers end soon after the crashes have ended")
{
    SharedFleet fleet(2);
    fleet.run(20s, 0.4);
    REQUIRE(countRefused(fleet.submissions, false, {}, fleet.loop.now()) > 0);
    fleet.run(10s, 0);
    const auto recovered = fleet.loop.now();
    fleet.run(10s, 0);
    CHECK(countRefused(fleet.submissions, false, recovered, fleet.loop.now()) == 0);
}

TEST_CASE("a new owner refuses nothing to a queue that crashes its workers before it has measured for 2 s")
{
    SharedFleet fleet(3);
    fleet.run(20s, 0.4);
    REQUIRE(countRefused(fleet.submissions, false, {}, fleet.loop.now()) > 0);
    const auto killedAt = fleet.loop.now();
    fleet.killHost(fleet.ownerOf("desk"));
    fleet.run(8s, 0.4);
    CHECK(countRefused(fleet.submissions, false, killedAt, killedAt + 2s) == 0);
}

TEST_CASE("while a queue is refused, its known jobs are answered as accepted, and lasting and scheduled ones are taken")
{
    SharedFleet fleet(1);
    const auto caller = fleet.hosts.begin()->first;
    const auto submit = [&](unsigned number, JobSpec spec) { return fleet.call(caller, Ports::JobVerb::Submit, jobId(number), std::move(spec)); };
    const auto known = submit(100000, oneStep(8, 640ms, 880));
    REQUIRE(known);
    REQUIRE(known->outcome == JobOutcome::Accepted);
    fleet.run(6s, 0.4);
    unsigned number = 100001;
    auto answer = submit(number, oneStep(8, 640ms, 880));
    for (; answer && answer->outcome == JobOutcome::Accepted && number < 101000; answer = submit(++number, oneStep(8, 640ms, 880)))
        fleet.run(100ms, 0.4);
    REQUIRE(answer);
    REQUIRE(answer->outcome == JobOutcome::Refused);
    CHECK(answer->reason == "source-crashes-workers");
    CHECK(answer->retryAfter >= 1s);
    CHECK(answer->retryAfter <= 15s);
    CHECK(submit(100000, oneStep(8, 640ms, 880))->outcome == JobOutcome::Accepted);
    CHECK(submit(200000, longRunningStep(1))->outcome == JobOutcome::Accepted);
    auto scheduled = oneStep(8, 640ms, 880);
    scheduled.repeatCount = 2;
    scheduled.firstRun = fleet.loop.wallNow() + 30s;
    scheduled.interval = 1s;
    CHECK(submit(200001, std::move(scheduled))->outcome == JobOutcome::Accepted);
}

// Such a task waits for another worker, not for those that the queue's other tasks use.
TEST_CASE("a queue that crashes its workers isn't refused beside idle workers, as a task of it waits that none of them can take")
{
    SharedFleet fleet(1);
    const auto caller = fleet.hosts.begin()->first;
    fleet.run(4s, 0.4);
    fleet.runOut(4s);
    auto unplaceable = oneStep(1, 640ms, 880);
    unplaceable.steps.front().requiredLabel = "missing";
    const auto waiting = fleet.call(caller, Ports::JobVerb::Submit, jobId(100000), std::move(unplaceable));
    REQUIRE(waiting);
    REQUIRE(waiting->outcome == JobOutcome::Accepted);
    fleet.runOut(9s);
    const auto answer = fleet.call(caller, Ports::JobVerb::Submit, jobId(100001), oneStep(100, 640ms, 880));
    REQUIRE(answer);
    CHECK(answer->outcome == JobOutcome::Accepted);
}
