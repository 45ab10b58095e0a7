/// Tests of workers whose capacity shrinks and grows while they run tasks. The workers start whatever they are ordered to.

#include "JobFleet.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <random>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;

namespace {

/// How long a smaller capacity may remain unnoticed, by the platform's rules: its contact time and one heartbeat.
constexpr std::chrono::milliseconds shrinkGrace { 4000 };

/// A fleet whose workers' capacities are changed, and which counts starts that exceed them.
class ShrinkingFleet : public JobFleet {
public:
    explicit ShrinkingFleet(unsigned hostCount = 1, unsigned workerCount = 1, unsigned cores = 4)
        : JobFleet(hostCount, workerCount, cores)
    {
        configuration.pools.front().refusesOverload = false;
        for (auto& it : workers)
            it.second->onStarted = [this, id = it.first](std::uint64_t milliCores) { onStarted(id, milliCores); };
        for (const auto& [id, worker] : workers)
            m_capacities[id].push_back({ loop.now(), worker->entry.capacity.milliCores });
        settle();
    }

    void setCores(const std::string& id, unsigned cores)
    {
        workers.at(id)->entry.capacity.milliCores = cores * 1000ULL;
        m_capacities[id].push_back({ loop.now(), cores * 1000ULL });
        publishWorker(id);
    }

    void submit(unsigned number, const JobSpec& spec)
    {
        const auto answer = call(hosts.begin()->first, JobVerb::Submit, jobId(number), spec);
        REQUIRE(answer);
        CHECK(answer->outcome == JobOutcome::Accepted);
    }

    unsigned excess = 0; ///< Starts over the largest capacity within the grace time.
    std::chrono::milliseconds grace = shrinkGrace;

private:
    struct Capacity {
        Common::Instant since;
        std::uint64_t milliCores = 0;
    };

    void onStarted(const std::string& id, std::uint64_t milliCores)
    {
        std::uint64_t allowed = 0;
        const auto& history = m_capacities.at(id);
        for (std::size_t n = 0; n < history.size(); ++n) {
            const bool isCurrent = n + 1 == history.size() || history[n + 1].since + grace >= loop.now();
            allowed = isCurrent ? std::max(allowed, history[n].milliCores) : allowed;
        }
        excess += milliCores > allowed ? 1 : 0;
    }

    std::map<std::string, std::deque<Capacity>> m_capacities;
};

} // namespace

TEST_CASE("no task starts on a worker whose capacity has shrunk below what runs there, and tasks start again once it grows")
{
    ShrinkingFleet fleet;
    fleet.grace = 100ms;
    fleet.setRunTime(1s);
    fleet.submit(1, oneStep(12, 1s));
    fleet.runFor(200ms);
    fleet.setCores("w0", 1);
    fleet.runFor(6s);
    CHECK(fleet.excess == 0);
    CHECK(fleet.runMonitor.starts >= 8);
    fleet.setCores("w0", 8);
    fleet.runFor(3s);
    CHECK(fleet.stateOf("host-0", jobId(1)) == JobState::Completed);
    CHECK(fleet.excess == 0);
}

TEST_CASE("the capacity of a run that is being stopped isn't given to another one")
{
    ShrinkingFleet fleet;
    fleet.grace = 0ms;
    fleet.setRunTime(20s);
    fleet.workers.at("w0")->stopTime = 900ms;
    fleet.submit(1, oneStep(4, 20s));
    fleet.submit(2, oneStep(4, 20s));
    fleet.runFor(500ms);
    CHECK(fleet.call("host-0", JobVerb::Cancel, jobId(1))->outcome == JobOutcome::Cancelled);
    fleet.runFor(3s);
    CHECK(fleet.excess == 0);
    CHECK(fleet.runMonitor.starts == 8);
}

TEST_CASE("a new owner leaves room for runs of a job that was cancelled before it took over")
{
    ShrinkingFleet fleet(3);
    fleet.grace = 0ms;
    fleet.setRunTime(20s);
    fleet.workers.at("w0")->stopTime = 900ms;
    fleet.submit(1, oneStep(4, 20s));
    fleet.submit(2, oneStep(4, 20s));
    fleet.runFor(500ms);
    const auto owner = fleet.ownerOf("desk");
    const auto other = std::ranges::find_if(fleet.hosts, [&owner](const auto& it) { return it.first != owner; })->first;
    fleet.workers.at("w0")->isPartitioned = true;
    CHECK(fleet.call(other, JobVerb::Cancel, jobId(1))->outcome == JobOutcome::Cancelled);
    fleet.killHost(owner);
    fleet.workers.at("w0")->isPartitioned = false;
    fleet.runFor(10s);
    CHECK(fleet.excess == 0);
    CHECK(fleet.runMonitor.running[{ jobId(2), 0, 0, 0 }] == 1);
}

TEST_CASE("a start that wasn't answered isn't repeated on a worker whose capacity has shrunk meanwhile")
{
    ShrinkingFleet fleet;
    fleet.grace = 500ms;
    fleet.setRunTime(20s);
    fleet.hosts.at("host-0")->workers->startsToLose = 2;
    fleet.submit(1, oneStep(4, 20s));
    fleet.runFor(50ms);
    fleet.setCores("w0", 2);
    fleet.runFor(4s);
    CHECK(fleet.excess == 0);
    fleet.setCores("w0", 4);
    fleet.runFor(2s);
    CHECK(fleet.runMonitor.starts == 4);
}

TEST_CASE("a job that needs more than a worker's capacity at the moment is accepted, and runs once it has grown")
{
    ShrinkingFleet fleet;
    fleet.setCores("w0", 1);
    fleet.runFor(500ms);
    fleet.submit(1, oneStep(1, 500ms, 3000));
    fleet.runFor(2s);
    CHECK(fleet.runMonitor.starts == 0);
    fleet.setCores("w0", 4);
    fleet.runFor(2s);
    CHECK(fleet.stateOf("host-0", jobId(1)) == JobState::Completed);
}

TEST_CASE("capacities that shrink and grow at random, beside lost and late starts, cancels and lost owners, are never exceeded")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        ShrinkingFleet fleet(4, 5, 8);
        fleet.setRunTime(900ms);
        for (auto& [id, worker] : fleet.workers)
            worker->stopTime = 600ms;
        unsigned jobs = 0;
        for (unsigned tick = 0; tick < 60; ++tick) {
            fleet.submit(++jobs, oneStep(1 + static_cast<unsigned>(random() % 12), 900ms));
            if (random() % 2 == 0) {
                const auto cores = static_cast<unsigned>(random() % 9);
                fleet.setCores("w" + std::to_string(random() % 5), cores);
            }
            if (random() % 5 == 0)
                fleet.call(fleet.hosts.begin()->first, JobVerb::Cancel, jobId(1 + static_cast<unsigned>(random() % jobs)));
            auto& port = *std::next(fleet.hosts.begin(), static_cast<std::ptrdiff_t>(random() % fleet.hosts.size()))->second->workers;
            if (random() % 4 == 0)
                port.startsToDelay = 1;
            if (random() % 4 == 0)
                port.startAnswersToLose = 3;
            if (tick == 20 || tick == 40) {
                if (const auto owner = fleet.ownerOf("desk"); !owner.empty())
                    fleet.killHost(owner);
                fleet.runFor(4s);
            }
            fleet.runFor(250ms);
        }
        CHECK(fleet.excess == 0);
        CHECK(fleet.runMonitor.duplicateRuns == 0);
        for (unsigned n = 0; n < 5; ++n)
            fleet.setCores("w" + std::to_string(n), 8);
        fleet.runFor(60s);
        for (unsigned n = 1; n <= jobs; ++n)
            CHECK(isFinal(fleet.stateOf(fleet.hosts.begin()->first, jobId(n))));
    }
}
