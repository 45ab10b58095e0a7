/// Tests of pools in which many workers crash at one moment, for a cause outside the tasks.

#include "Jobs/Decision/CrashBursts.h"
#include "WaveFleet.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <utility>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

/// Starts that may follow the third crash, by the platform's rules.
constexpr unsigned maximumCrashes = 5;

struct Bursts {
    std::chrono::milliseconds interval { 1500 };
    unsigned permille = 350; ///< Share of the workers that crash each time.
    unsigned owners = 1; ///< All but the last are killed in turn.
    unsigned jobsEach = 8; ///< Accepted each 100 ms.
};

/// Twelve bursts while short jobs of four tasks are submitted. Returns the number of jobs.
unsigned playBursts(WaveFleet& fleet, const Bursts& bursts)
{
    unsigned jobs = 0;
    const auto serve = [&](std::chrono::milliseconds time) {
        for (auto passed = 0ms; passed < time; passed += 100ms) {
            for (unsigned n = 0; n < bursts.jobsEach; ++n)
                fleet.submitLater(++jobs, oneStep(4, 700ms));
            fleet.runFor(100ms);
        }
    };
    serve(2s);
    for (unsigned n = 0; n < 12; ++n) {
        fleet.crashShare(bursts.permille);
        serve(bursts.interval);
        if (n % 4 == 3 && n / 4 + 1 < bursts.owners)
            fleet.killHost(fleet.ownerOf("desk"));
    }
    fleet.runFor(30s);
    return jobs;
}

/// Accepted jobs that aren't completed in the end, of six seeds.
unsigned unservedIn(const Bursts& bursts)
{
    unsigned unserved = 0;
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        WaveFleet fleet(seed);
        playBursts(fleet, bursts);
        CHECK(fleet.accepted.size() > 1000);
        for (const auto n : fleet.accepted)
            unserved += fleet.stateOf(n) == JobState::Completed ? 0 : 1;
    }
    return unserved;
}

/// Eight workers with suspects that have just started crash together, and one of those `withoutStart`. The other workers of twelve have a new task.
void checkAreHeldAgainstSuspects(unsigned withoutStart)
{
    constexpr unsigned suspects = 8;
    CAPTURE(withoutStart);
    const Instant at(1h);
    CrashBursts bursts;
    CrashBursts::Workers others;
    for (unsigned n = suspects; n < 12; ++n)
        others.hadRecentStart["w" + std::to_string(n)] = n >= suspects + withoutStart;
    const auto crashed = suspects + std::min(withoutStart, 1U);
    for (unsigned n = 0; n < crashed; ++n) {
        CrashedTask task { { jobId(n), 0, 0, 0 } };
        task.isSuspect = n < suspects;
        task.countsToConvict = n < suspects;
        WorkerCrash crash { n + 1, "w" + std::to_string(n), n < suspects, { task } };
        bursts.add(std::move(crash), at + n * 20ms, at + n * 20ms, n == 0 ? others : CrashBursts::Workers());
    }
    const auto settled = bursts.settle(at + 1s);
    REQUIRE(settled.size() == crashed);
    for (unsigned n = 0; n < suspects; ++n)
        CHECK(!settled[n].isOutsideAll);
}

} // namespace

TEST_CASE("every job is served while a third of the workers crash at once again and again, by themselves")
{
    CHECK(unservedIn({}) == 0);
}

TEST_CASE("every job is served while a third of the workers crash at once again and again and the owner is replaced")
{
    CHECK(unservedIn({ .owners = 2 }) == 0);
}

TEST_CASE("every job is served while a tenth of the workers crash at once again and again, by themselves")
{
    CHECK(unservedIn({ .interval = 1s, .permille = 100 }) == 0);
}

// All workers of a job that has one may crash by chance, however few crash.
TEST_CASE("every job is served while a fifth of the workers crash at once again and again, by themselves")
{
    CHECK(unservedIn({ .permille = 200 }) == 0);
}

TEST_CASE("every job is served while a fifth of the workers crash at once every second, by themselves")
{
    CHECK(unservedIn({ .interval = 1s, .permille = 200 }) == 0);
}

TEST_CASE("tasks that crash their workers are given up in time beside bursts of other crashes, and the other jobs are served")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        WaveFleet fleet(seed);
        for (unsigned n = 10; n <= 400; n += 40)
            fleet.runMonitor.crashing.insert({ jobId(n), 0, 0, n % 4 });
        const auto jobs = playBursts(fleet, { .jobsEach = 3 });
        for (const auto& [task, crashes] : fleet.runMonitor.crashes)
            CHECK(crashes <= maximumCrashes);
        for (unsigned n = 1; n <= jobs; ++n)
            CHECK(fleet.stateOf(n) == (fleet.runMonitor.crashing.contains({ jobId(n), 0, 0, n % 4 }) ? JobState::Failed : JobState::Completed));
    }
}

TEST_CASE("a step of tasks that crash their workers is given up in time beside bursts of other crashes, and the other jobs are served")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        WaveFleet fleet(seed);
        for (unsigned n = 0; n < 12; ++n)
            fleet.runMonitor.crashing.insert({ jobId(9999), 0, 0, n });
        fleet.submitLater(9999, oneStep(12, 700ms, 4000));
        const auto jobs = playBursts(fleet, { .permille = 200, .jobsEach = 3 });
        for (const auto& [task, crashes] : fleet.runMonitor.crashes)
            CHECK(crashes <= maximumCrashes);
        CHECK(fleet.stateOf(9999) == JobState::Failed);
        for (unsigned n = 1; n <= jobs; ++n)
            CHECK(fleet.stateOf(n) == JobState::Completed);
    }
}

TEST_CASE("in a burst of other crashes, a job whose workers all crash is taken for their cause, unless it has as few as may all crash by chance")
{
    constexpr unsigned workers = 100;
    constexpr unsigned small = 20; // Jobs with one worker each.
    const Instant at(1h);
    for (const unsigned large : { 2U, 12U }) {
        CAPTURE(large);
        CrashBursts bursts;
        CrashBursts::Workers others;
        const auto crashed = small + large;
        for (unsigned n = crashed; n < workers; ++n)
            others.hadRecentStart["w" + std::to_string(n)] = n % 4 != 0;
        for (unsigned n = 0; n < crashed; ++n) {
            CrashedTask task { { jobId(std::min(n, small)), 0, 0, n } };
            task.isSuspect = n % 4 != 0;
            bursts.add({ n + 1, "w" + std::to_string(n), task.isSuspect, { task } }, at, at, n == 0 ? others : CrashBursts::Workers());
        }
        const auto settled = bursts.settle(at + 1s);
        REQUIRE(settled.size() == crashed);
        for (unsigned n = 0; n < crashed; ++n) {
            if (n % 4 != 0)
                CHECK(settled[n].isOutsideAll == (n < small || large == 2));
        }
    }
}

// The tasks of a step start together, so that they crash their workers together.
TEST_CASE("a step of tasks that all crash their workers at one moment is given up in time")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        WaveFleet fleet(seed);
        for (unsigned n = 0; n < 12; ++n)
            fleet.runMonitor.crashing.insert({ jobId(1), 0, 0, n });
        for (unsigned n = 2; n <= 30; ++n)
            fleet.submitLater(n, oneStep(4, 700ms));
        fleet.submitLater(1, oneStep(12, 700ms, 4000));
        fleet.runFor(40s);
        for (const auto& [task, crashes] : fleet.runMonitor.crashes)
            CHECK(crashes <= maximumCrashes);
        CHECK(fleet.stateOf(1) == JobState::Failed);
        for (unsigned n = 2; n <= 30; ++n)
            CHECK(fleet.stateOf(n) == JobState::Completed);
    }
}

// In a backlogged pool, workers that return get tasks at once: those that get crashing ones crash together.
TEST_CASE("crashes of suspects aren't taken for ones with a cause outside where no worker is without a task that has just started")
{
    checkAreHeldAgainstSuspects(0);
}

TEST_CASE("crashes of suspects aren't taken for ones with a cause outside where a single worker without a task that has just started crashes")
{
    for (const unsigned withoutStart : { 1U, 2U, 3U })
        checkAreHeldAgainstSuspects(withoutStart);
}

// Connections to some workers are reset at the crash, the others stay silent until the machine list shows the crash.
TEST_CASE("every job is served while a third of the workers crash at once again and again and are found to have crashed one after the other")
{
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
        CAPTURE(seed);
        WaveFleet fleet(seed);
        unsigned workers = 0;
        const auto prepare = [&workers](FakeWorker& worker) {
            worker.closesConnections = ++workers % 3 == 0;
            worker.startup = 300ms;
        };
        fleet.onWorkerAdded = prepare;
        for (auto& [id, worker] : fleet.workers)
            prepare(*worker);
        playBursts(fleet, {});
        CHECK(fleet.accepted.size() > 1000);
        unsigned unserved = 0;
        for (const auto n : fleet.accepted)
            unserved += fleet.stateOf(n) == JobState::Completed ? 0 : 1;
        CHECK(unserved == 0);
    }
}
