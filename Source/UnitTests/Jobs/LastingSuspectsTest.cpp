/// Tests of lasting tasks that crash their workers, which are never given up, and of what they cost others.

#include "JobFleet.h"
#include "LastingChecks.h"

#include <array>
#include <doctest/doctest.h>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobVerb;

namespace {

/// A wait counts by the platform's rules after 3 s, if these and the 4 s before them are calm: the loss of an owner isn't.
constexpr auto calmTime = 7s;

class LastingFleet : public JobFleet {
public:
    LastingFleet(std::chrono::milliseconds crashDelay, unsigned owners, bool closes)
        : JobFleet(owners, 12, 16)
    {
        closesConnections = closes;
        onWorkerAdded = [crashDelay, closes](FakeWorker& worker) {
            worker.crashDelay = crashDelay;
            worker.closesConnections = closes;
            worker.startup = 300ms;
        };
        for (auto& [id, worker] : workers)
            onWorkerAdded(*worker);
        runMonitor.crashing.insert(task);
        setRunTime(10min);
        settle();
        for (unsigned n = 1; n <= 3; ++n)
            REQUIRE(call(hosts.begin()->first, JobVerb::Submit, jobId(n), longRunningStep(6)));
    }

    /// Kills the owner, where there is another one, and returns the longest time for which the task that crashes its workers had no
    /// run, of those that the platform's rules count.
    std::chrono::milliseconds play(std::chrono::seconds time, std::chrono::milliseconds killAt)
    {
        std::chrono::milliseconds longest { 0 };
        std::chrono::milliseconds current { 0 };
        bool isKilled = false;
        for (auto passed = 0ms; passed < time; passed += 10ms) {
            if (!isKilled && hosts.size() > 1 && passed >= killAt) {
                isKilled = true;
                const auto owner = ownerOf("desk");
                REQUIRE(!owner.empty());
                killHost(owner);
            }
            const auto before = starts();
            runFor(10ms);
            current = runMonitor.running[task] > 0 || starts() > before ? 0ms : current + 10ms;
            if (!isKilled || passed >= killAt + calmTime)
                longest = std::max(longest, current);
        }
        return longest;
    }

    JobState stateOf(unsigned job) { return JobFleet::stateOf(hosts.begin()->first, jobId(job)); }

    const TaskKey task { jobId(1), 0, 0, 0 };

private:
    unsigned starts() { return runMonitor.crashes[task]; }
};

/// Just after a start are the first 200 ms. Ten of the twelve workers are idle.
LastingBounds boundsOf(std::chrono::milliseconds crashDelay, bool closes)
{
    const bool isQuick = crashDelay < 200ms;
    return { .mostBeforeConfined = isQuick ? 2U : 5U, .mostCostly = isQuick ? 1U : 5U, .mostInDoubt = closes ? 0U : 16U, .fewestCrashes = fewestCrashesIn(60s, crashDelay), .runsPerWorker = 16, .time = 60s };
}

void checkIsStartedAgain(LastingFleet& fleet, const LastingBounds& bounds, std::chrono::milliseconds killAt)
{
    const auto longest = fleet.play(60s, killAt);
    CHECK(fleet.stateOf(1) == JobState::Running);
    checkCosts(fleet.runMonitor, fleet.task, bounds);
    CHECK(longest <= longestWithoutRun);
    for (unsigned n = 1; n <= 3; ++n) {
        for (unsigned index = n == 1 ? 1 : 0; index < 6; ++index)
            CHECK(fleet.runMonitor.running[{ jobId(n), 0, 0, index }] == 1);
    }
}

constexpr std::array crashDelays { 1ms, 10ms, 150ms, 1000ms, 4000ms };
constexpr std::array killTimes { 20000ms, 20500ms, 21000ms, 21500ms, 22000ms, 22500ms, 23000ms, 23500ms, 24000ms };

void checkTakeOver(std::chrono::milliseconds crashDelay, bool closes, std::chrono::milliseconds killAt)
{
    CAPTURE(crashDelay.count());
    CAPTURE(killAt.count());
    LastingFleet fleet(crashDelay, 2, closes);
    auto bounds = boundsOf(crashDelay, closes);
    bounds.downTime = fleet.downTime;
    bounds.takeOvers = 1;
    checkIsStartedAgain(fleet, bounds, killAt);
}

} // namespace

TEST_CASE("a lasting task that crashes its workers is started again and again, alone, on one worker at a time, and is never given up")
{
    for (const auto crashDelay : crashDelays) {
        for (const bool closes : { true, false }) {
            CAPTURE(crashDelay.count());
            CAPTURE(closes);
            LastingFleet fleet(crashDelay, 1, closes);
            auto bounds = boundsOf(crashDelay, closes);
            bounds.downTime = fleet.downTime;
            checkIsStartedAgain(fleet, bounds, 0ms);
        }
    }
}

TEST_CASE("a lasting task that crashes its workers is started again and again, alone, on one worker at a time, also by the next owner")
{
    for (const auto crashDelay : crashDelays) {
        for (const auto killAt : killTimes)
            checkTakeOver(crashDelay, true, killAt);
    }
}

TEST_CASE("a lasting task whose workers fall silent as they crash is started again and again, alone, on one worker at a time, also by the next owner")
{
    for (const auto crashDelay : crashDelays) {
        for (const auto killAt : killTimes)
            checkTakeOver(crashDelay, false, killAt);
    }
}

TEST_CASE("a lasting task whose workers fall silent as they crash is started again and again, alone, on one worker at a time, with the owner lost after 20 s")
{
    for (const auto crashDelay : crashDelays)
        checkTakeOver(crashDelay, false, killTimes.front());
}
