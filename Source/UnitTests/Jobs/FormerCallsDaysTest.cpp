/// Tests of calls that a worker's next incarnation carries out for the former one, while other things happen: cancelled and failed jobs, gangs,
/// workers that are to be emptied, and other ways in which the worker returns.

#include "FormerCallsFleet.h"

#include <random>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobVerb;

namespace {

constexpr std::array lateTimes { 20ms, 150ms, 400ms, 690ms };
constexpr std::array entryDelays { 0ms, 300ms, 1500ms };
constexpr auto longRun = 6s;

/// Job 1 is submitted, and the first `lateStarts` starts at w0, which restarts, are carried out by its next incarnation.
void startLate(FormerCallsFleet& fleet, const JobSpec& spec, milliseconds lateBy, unsigned lateStarts = 1)
{
    fleet.makeLate(WorkerCall::Start, lateBy, lateStarts);
    fleet.submit(1, spec);
    fleet.awaitLateCall(WorkerCall::Start);
    fleet.crashWorker("w0");
}

/// Runs the play for each lateness and delay of the entry, and asserts that the next incarnation has carried a call out in one of them.
template<typename Play>
void playEach(Play play)
{
    unsigned carriedOut = 0;
    for (const auto lateBy : lateTimes) {
        for (const auto entryDelay : entryDelays) {
            CAPTURE(lateBy.count());
            CAPTURE(entryDelay.count());
            carriedOut += play(lateBy, entryDelay);
        }
    }
    CHECK(carriedOut > 0);
}

JobSpec gang(unsigned members)
{
    auto spec = oneStep(members, longRun);
    spec.steps.front().isGang = true;
    return spec;
}

} // namespace

TEST_CASE("a task whose start reaches the next incarnation of its worker runs no more once its job is cancelled")
{
    for (const auto cancelAfter : { 1ms, 60ms, 250ms, 500ms, 2000ms }) {
        CAPTURE(cancelAfter.count());
        playEach([&](milliseconds lateBy, milliseconds entryDelay) {
            FormerCallsFleet fleet(1, 1, longRun);
            fleet.entryDelay = entryDelay;
            startLate(fleet, oneStep(2, longRun), lateBy);
            fleet.runFor(cancelAfter);
            CHECK(fleet.call("host-0", JobVerb::Cancel, jobId(1)));
            fleet.submit(2, oneStep(2, longRun));
            fleet.runFor(3s); // For the restart to be known, and a stop.
            const auto starts = fleet.runMonitor.starts;
            CHECK_FALSE(fleet.runsAny(1));
            fleet.runFor(500ms);
            CHECK_FALSE(fleet.runsAny(1));
            fleet.runFor(40s);
            CHECK(starts <= fleet.runMonitor.starts);
            CHECK(fleet.stateOfJob(1) == JobState::Cancelled);
            CHECK(fleet.stateOfJob(2) == JobState::Completed);
            CHECK(fleet.runMonitor.duplicateRuns == 0);
            return fleet.callsToNextIncarnation();
        });
    }
}

TEST_CASE("a task whose start reaches the next incarnation of its worker runs no more once its job has failed")
{
    playEach([](milliseconds lateBy, milliseconds entryDelay) {
        FormerCallsFleet fleet(2, 1, 300ms);
        fleet.entryDelay = entryDelay;
        fleet.runMonitor.runTimes[jobId(1)] = 300ms;
        fleet.workers.at("w1")->failsAll = true;
        fleet.onWorkerAdded = [](FakeWorker& it) { it.hangs = true; };
        startLate(fleet, oneStep(5, 300ms), lateBy);
        fleet.runFor(20s);
        CHECK(fleet.stateOfJob(1) == JobState::Failed);
        CHECK_FALSE(fleet.runsAny(1));
        CHECK(fleet.runMonitor.duplicateRuns == 0);
        return fleet.callsToNextIncarnation();
    });
}

TEST_CASE("a gang ends and none of its members runs twice when the start of one reaches the next incarnation of its worker")
{
    for (const unsigned lateStarts : { 1U, 2U }) {
        CAPTURE(lateStarts);
        playEach([&](milliseconds lateBy, milliseconds entryDelay) {
            FormerCallsFleet fleet(3, 1, longRun);
            fleet.entryDelay = entryDelay;
            startLate(fleet, gang(8), lateBy, lateStarts);
            fleet.submit(2, oneStep(3, longRun));
            fleet.runFor(90s);
            fleet.checkDone(2);
            return fleet.callsToNextIncarnation();
        });
    }
}

TEST_CASE("a task whose start reaches the next incarnation of its worker ends once, also when that one drains and leaves")
{
    playEach([](milliseconds lateBy, milliseconds entryDelay) {
        FormerCallsFleet fleet(2, 1, longRun);
        fleet.entryDelay = entryDelay;
        fleet.onWorkerAdded = [](FakeWorker& it) { it.entry.state = WorkerEntry::State::Draining; };
        startLate(fleet, oneStep(4, longRun), lateBy);
        fleet.runFor(4s);
        fleet.downTime = 1h;
        fleet.crashWorker("w0");
        fleet.unpublishWorker("w0");
        fleet.runFor(90s);
        fleet.checkDone(1);
        return fleet.callsToNextIncarnation();
    });
}

TEST_CASE("a task whose start reaches the next incarnation of its worker ends once, also when that one is cordoned for maintenance")
{
    playEach([](milliseconds lateBy, milliseconds entryDelay) {
        FormerCallsFleet fleet(3, 1, longRun);
        fleet.entryDelay = entryDelay;
        startLate(fleet, oneStep(4, longRun), lateBy);
        fleet.publishWave({ 1, { "m0" }, 60s, 1 });
        fleet.runFor(90s);
        fleet.checkDone(1);
        CHECK_FALSE(fleet.maintained.empty());
        return fleet.callsToNextIncarnation();
    });
}

TEST_CASE("tasks end once when their worker returns at another address")
{
    for (const auto lateBy : lateTimes) {
        for (const auto entryDelay : entryDelays) {
            CAPTURE(lateBy.count());
            CAPTURE(entryDelay.count());
            FormerCallsFleet fleet(1, 1, longRun); // With no other place for the tasks.
            fleet.entryDelay = entryDelay;
            fleet.onWorkerAdded = [](FakeWorker& it) { it.entry.address += "2"; };
            startLate(fleet, oneStep(7, longRun), lateBy, 3);
            fleet.runFor(60s);
            fleet.checkDone(1);
        }
    }
}

TEST_CASE("tasks whose starts reach the next incarnation of their worker end once when it restarts twice within a second")
{
    for (const auto again : { 5ms, 60ms, 300ms, 700ms }) {
        CAPTURE(again.count());
        playEach([&](milliseconds lateBy, milliseconds entryDelay) {
            FormerCallsFleet fleet(2, 1, longRun);
            fleet.entryDelay = entryDelay;
            startLate(fleet, oneStep(7, longRun), lateBy, 3);
            fleet.runFor(fleet.downTime + again);
            fleet.crashWorker("w0");
            fleet.runFor(60s);
            fleet.checkDone(1);
            return fleet.callsToNextIncarnation();
        });
    }
}

TEST_CASE("tasks whose starts reach the next incarnation of their worker end once when its entry is deleted and comes back")
{
    for (const auto deletedAfter : { 1ms, 200ms, 800ms, 2000ms }) {
        for (const auto backAfter : { 500ms, 5000ms }) {
            CAPTURE(deletedAfter.count());
            CAPTURE(backAfter.count());
            playEach([&](milliseconds lateBy, milliseconds entryDelay) {
                FormerCallsFleet fleet(2, 1, longRun);
                fleet.entryDelay = entryDelay;
                startLate(fleet, oneStep(7, longRun), lateBy, 3);
                fleet.runFor(deletedAfter);
                fleet.unpublishWorker("w0");
                fleet.runFor(backAfter);
                fleet.publishWorker("w0");
                fleet.runFor(60s);
                fleet.checkDone(1);
                return fleet.callsToNextIncarnation();
            });
        }
    }
}

TEST_CASE("tasks with late starts end once when their worker never returns, or its machine runs another one")
{
    for (const bool isReplaced : { false, true }) {
        for (const auto lateBy : lateTimes) {
            for (const auto fate : { OwnerFate::Alive, OwnerFate::Replaced, OwnerFate::KilledAndBack }) {
                CAPTURE(isReplaced);
                CAPTURE(lateBy.count());
                CAPTURE(static_cast<int>(fate));
                FormerCallsFleet fleet(2, hostsFor(fate), longRun);
                fleet.keepsWorkerIds = false;
                fleet.downTime = isReplaced ? 100ms : 1h;
                startLate(fleet, oneStep(7, longRun), lateBy, 3);
                fleet.runFor(150ms);
                fleet.meet(fate);
                fleet.runFor(60s);
                fleet.checkDone(1);
            }
        }
    }
}

namespace {

/// A day in random order: calls of all kinds to w0 are late, it restarts, is cut off, and the owner is killed.
void playRandomDay(unsigned seed)
{
    std::mt19937 random(seed);
    const auto below = [&random](unsigned limit) { return static_cast<unsigned>(random() % limit); };
    FormerCallsFleet fleet(3, 3, milliseconds(100 + below(4000)));
    fleet.onWorkerAdded = [&](FakeWorker& it) { it.clockPermille = 980 + below(21); };
    const auto late = [&](WorkerCall call, const std::string& worker) -> std::optional<milliseconds> {
        if (worker != "w0" || below(4) != 0)
            return std::nullopt;
        return milliseconds(1 + below(call == WorkerCall::Poll ? 1690 : 690));
    };
    bool isLate = false;
    for (const auto& [name, host] : fleet.hosts)
        host->workers->lateness = [&](WorkerCall call, const std::string& worker) { return isLate ? late(call, worker) : std::nullopt; };
    const auto jobs = 3 + below(5);
    for (unsigned n = 1; n <= jobs; ++n) {
        isLate = true;
        fleet.submit(n, oneStep(1 + below(8), 1s));
        fleet.runFor(milliseconds(below(400)));
        fleet.downTime = milliseconds(20 + below(900));
        fleet.entryDelay = milliseconds(below(2) * below(1500));
        if (auto& worker = *fleet.workers.at("w0"); !worker.isCrashed && below(2) == 0)
            fleet.crashWorker("w0");
        fleet.runFor(milliseconds(below(1200)));
        isLate = below(2) == 0;
        fleet.workers.at("w0")->isPartitioned = below(4) == 0;
        fleet.runFor(milliseconds(below(3000)));
        fleet.workers.at("w0")->isPartitioned = false;
        if (fleet.hosts.size() > 2 && below(6) == 0)
            fleet.meet(OwnerFate::Replaced);
        fleet.runFor(milliseconds(fleet.ownerOf("desk").empty() ? 4000 : 100));
    }
    isLate = false;
    fleet.runFor(120s);
    fleet.checkDone(jobs);
}

} // namespace

TEST_CASE("on random days tasks end once while their worker's next incarnation carries out calls for the former one")
{
    for (unsigned seed = 1; seed <= 150; ++seed) {
        CAPTURE(seed);
        playRandomDay(seed);
    }
}
