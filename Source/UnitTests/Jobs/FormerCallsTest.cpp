/// Tests of calls that were meant for a worker's former incarnation and are carried out late by the next one, other than plain starts.
/// FormerLifeTest.cpp has those.

#include "FormerCallsFleet.h"
#include "Jobs/Decision/PoolCore.h"

#include <array>
#include <doctest/doctest.h>
#include <optional>
#include <variant>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::WorkerRefusal;

namespace {

constexpr std::array fates { OwnerFate::Alive, OwnerFate::Replaced, OwnerFate::KilledAndBack };

constexpr std::array lateTimes { 150ms, 400ms, 690ms };
constexpr std::array latePollTimes { 150ms, 600ms, 1100ms, 1400ms, 1690ms };

/// A late poll lengthens the next incarnation's lease, tasks are started there `startAfter` later, and it is cut off.
void checkLateLease(OwnerFate fate, milliseconds lateBy, milliseconds startAfter)
{
    CAPTURE(static_cast<int>(fate));
    CAPTURE(lateBy.count());
    CAPTURE(startAfter.count());
    FormerCallsFleet fleet(3, hostsFor(fate), 20s);
    fleet.onWorkerAdded = [](FakeWorker& it) { it.clockPermille = 980; };
    fleet.runFor(20s);
    restartWithLateCall(fleet, WorkerCall::Poll, lateBy);
    fleet.runFor(lateBy + startAfter);
    REQUIRE(fleet.callsToNextIncarnation() == 1);
    fleet.submit(1, oneStep(6, 20s));
    for (unsigned n = 0; n < 50 && fleet.runMonitor.starts < 6; ++n)
        fleet.runFor(1ms);
    fleet.runFor(4ms);
    fleet.workers.at("w0")->isPartitioned = true;
    fleet.meet(fate);
    fleet.runFor(12s);
    fleet.workers.at("w0")->isPartitioned = false;
    fleet.runFor(50s);
    fleet.checkDone(1);
}

} // namespace

TEST_CASE("a late poll for a worker's former incarnation doesn't make an end of the next one be forgotten unseen, so that its task runs again")
{
    for (const auto lateBy : latePollTimes) {
        for (const auto runTime : { 30ms, 120ms, 500ms }) {
            for (const auto entryDelay : { 0ms, 1500ms }) {
                CAPTURE(lateBy.count());
                CAPTURE(runTime.count());
                CAPTURE(entryDelay.count());
                FormerCallsFleet fleet(1, 1, runTime);
                fleet.entryDelay = entryDelay;
                fleet.submit(1, oneStep(4, runTime));
                fleet.runFor(runTime); // The next poll but one acknowledges the ends.
                restartWithLateCall(fleet, WorkerCall::Poll, lateBy);
                fleet.submit(2, oneStep(4, runTime));
                fleet.runFor(60s);
                fleet.checkDone(2);
            }
        }
    }
}

namespace {

constexpr auto shortRun = 60ms;

/// A poll that acknowledges ends and a start are late. Returns how many of them the next incarnation has carried out.
unsigned playLatePollAndStart(milliseconds pollLateBy, milliseconds startLateBy, milliseconds entryDelay)
{
    CAPTURE(pollLateBy.count());
    CAPTURE(startLateBy.count());
    CAPTURE(entryDelay.count());
    FormerCallsFleet fleet(1, 1, shortRun);
    fleet.entryDelay = entryDelay;
    fleet.submit(1, oneStep(3, shortRun));
    fleet.makeLate(WorkerCall::Start, startLateBy);
    fleet.submit(2, oneStep(1, shortRun));
    restartWithLateCall(fleet, WorkerCall::Poll, pollLateBy);
    fleet.runFor(60s);
    fleet.checkDone(2);
    return fleet.callsToNextIncarnation();
}

/// Whether the late poll comes after the end of the late start's run, and before the owner's first poll of the next incarnation.
bool isPollBetween(milliseconds pollLateBy, milliseconds startLateBy, milliseconds entryDelay)
{
    return entryDelay > 0ms && pollLateBy > startLateBy + shortRun && pollLateBy < 700ms;
}

} // namespace

TEST_CASE("a late poll and a late start for a worker's former incarnation don't make a task run again whose end nobody has seen")
{
    unsigned carriedOut = 0;
    for (const auto pollLateBy : latePollTimes) {
        for (const auto startLateBy : lateTimes) {
            for (const auto entryDelay : { 0ms, 1500ms }) {
                if (!isPollBetween(pollLateBy, startLateBy, entryDelay))
                    carriedOut += playLatePollAndStart(pollLateBy, startLateBy, entryDelay);
            }
        }
    }
    CHECK(carriedOut > 0);
}

// Nothing tells the owner of the end that its poll has acknowledged.
TEST_CASE("a late poll for a worker's former incarnation that comes after the end of a late start's run doesn't make its task run again")
{
    for (const auto pollLateBy : { 500ms, 600ms, 690ms }) {
        for (const auto startLateBy : { 150ms, 400ms }) {
            REQUIRE(isPollBetween(pollLateBy, startLateBy, 1500ms));
            playLatePollAndStart(pollLateBy, startLateBy, 1500ms);
        }
    }
}

TEST_CASE("tasks aren't started elsewhere under a lease that a late poll for a worker's former incarnation gave the next one")
{
    for (const auto fate : fates) {
        for (const auto lateBy : latePollTimes) {
            for (const auto startAfter : { 1ms, 50ms, 200ms, 500ms, 900ms })
                checkLateLease(fate, lateBy, startAfter);
        }
    }
}

namespace {

/// The next incarnation refuses a late start, which lengthens its lease, and is cut off as soon as the owner has started a task there.
void checkLeaseOfRefusedStart(OwnerFate fate, WorkerRefusal refusal, milliseconds lateBy, milliseconds entryDelay)
{
    CAPTURE(static_cast<int>(fate));
    CAPTURE(static_cast<int>(refusal));
    CAPTURE(lateBy.count());
    CAPTURE(entryDelay.count());
    FormerCallsFleet fleet(4, hostsFor(fate), 20s); // The others have room for all tasks.
    fleet.entryDelay = entryDelay;
    fleet.onWorkerAdded = [refusal](FakeWorker& it) {
        it.clockPermille = 980;
        it.startsToRefuse = refusal == WorkerRefusal::NoRoom ? 1 : 0;
        if (refusal == WorkerRefusal::StaleRun)
            it.stop({ { it.entry.id, it.entry.address }, { jobId(1), 0, 0, 0 }, 1, 0 }, [](const Ports::WorkerAnswer&) {});
    };
    fleet.runFor(20s);
    fleet.makeLate(WorkerCall::Start, lateBy);
    fleet.submit(1, oneStep(6, 20s));
    fleet.awaitLateCall(WorkerCall::Start);
    fleet.crashWorker("w0");
    fleet.runFor(lateBy + 1ms);
    CHECK(fleet.callsToNextIncarnation() == 1);
    fleet.submit(2, oneStep(4, 20s));
    for (unsigned n = 0; n < 2000 && !fleet.workers.at("w0")->isBusy(); ++n)
        fleet.runFor(1ms);
    REQUIRE(fleet.workers.at("w0")->isBusy());
    fleet.runFor(4ms);
    fleet.workers.at("w0")->isPartitioned = true;
    fleet.meet(fate);
    fleet.runFor(12s);
    fleet.workers.at("w0")->isPartitioned = false;
    fleet.runFor(90s);
    fleet.checkDone(2);
}

} // namespace

TEST_CASE("tasks aren't started elsewhere under a lease that a refused late start for a worker's former incarnation gave the next one")
{
    for (const auto refusal : { WorkerRefusal::NoRoom, WorkerRefusal::StaleRun }) {
        for (const auto fate : fates) {
            for (const auto lateBy : { 102ms, 104ms, 110ms, 400ms, 690ms }) {
                for (const auto entryDelay : { 0ms, 1500ms })
                    checkLeaseOfRefusedStart(fate, refusal, lateBy, entryDelay);
            }
        }
    }
}

TEST_CASE("a late stop for a worker's former incarnation doesn't leave a task of the next one without a run")
{
    unsigned carriedOut = 0;
    for (const auto fate : fates) {
        for (const auto startLateBy : lateTimes) {
            for (const auto stopLateBy : { 50ms, 300ms, 690ms }) {
                for (const auto entryDelay : { 0ms, 1500ms }) {
                    CAPTURE(static_cast<int>(fate));
                    CAPTURE(startLateBy.count());
                    CAPTURE(stopLateBy.count());
                    FormerCallsFleet fleet(1, hostsFor(fate), 3s);
                    fleet.entryDelay = entryDelay;
                    fleet.makeLate(WorkerCall::Start, startLateBy);
                    fleet.makeLate(WorkerCall::Stop, stopLateBy, 2);
                    fleet.submit(1, oneStep(2, 3s));
                    fleet.awaitLateCall(WorkerCall::Start);
                    fleet.port().callsToRefuse = 1; // The next attempt, after which the run is stopped.
                    fleet.runFor(startLateBy > 400ms ? 600ms : 20ms);
                    fleet.crashWorker("w0");
                    fleet.runFor(900ms);
                    fleet.meet(fate);
                    fleet.runFor(60s);
                    carriedOut += fleet.callsToNextIncarnation();
                    fleet.checkDone(1);
                }
            }
        }
    }
    CHECK(carriedOut > 0);
}

TEST_CASE("ends of a worker's next incarnation count although the former one has listed ends of the same numbers")
{
    for (const auto lateBy : lateTimes) {
        for (const auto entryDelay : { 0ms, 300ms, 1500ms }) {
            for (const unsigned endsBefore : { 1U, 4U }) {
                CAPTURE(lateBy.count());
                CAPTURE(entryDelay.count());
                CAPTURE(endsBefore);
                FormerCallsFleet fleet(1, 1, 200ms);
                fleet.entryDelay = entryDelay;
                fleet.submit(1, oneStep(endsBefore, 200ms));
                fleet.runFor(1s);
                fleet.makeLate(WorkerCall::Start, lateBy, 3);
                fleet.submit(2, oneStep(3, 200ms));
                fleet.awaitLateCall(WorkerCall::Start);
                fleet.crashWorker("w0");
                fleet.submit(3, oneStep(3, 200ms));
                fleet.runFor(60s);
                fleet.checkDone(3);
                CHECK(fleet.runMonitor.done.size() == endsBefore + 6);
            }
        }
    }
}

namespace {

/// A pool with one worker, which has restarted under its id, and whose next incarnation has carried a filler's start out.
struct TakenUpFiller {
    TakenUpFiller()
    {
        core.finishLoad(at());
        entry.id = "w0";
        entry.address = "w0:1";
        entry.incarnation = 1000;
        entry.capacity = { 4000, 16000, 0 };
        core.onWorkerListed(entry, at());
        poll(1000, false);
        auto filler = oneStep(1, 20s);
        filler.steps.front().isFiller = true;
        core.submit(jobId(1), {}, filler, at());
        core.decide(at());
        for (const auto& it : core.takeOutput().orders) {
            if (const auto* order = std::get_if<StartRun>(&it))
                start = *order;
        }
        REQUIRE(start.worker == "w0");
        core.onStartSent(start, at());
        core.onStartAnswer(start, {}, at());
    }

    void poll(std::uint64_t incarnation, bool hasRun)
    {
        now += 300ms;
        Ports::PollAnswer answer;
        answer.answer.status = Ports::WorkerStatus::Done;
        answer.incarnation = incarnation;
        if (hasRun)
            answer.running.push_back({ start.task, start.run, "", ++percent, 0 });
        core.onPollAnswer("w0", answer, now - 1ms, at());
    }

    Common::Moment at() const { return { now, Common::WallTime(2000s) + std::chrono::duration_cast<milliseconds>(now.time_since_epoch()) }; }

    PoolCore core { PoolLimits {} };
    WorkerEntry entry;
    Common::Instant now { 1h };
    StartRun start;
    unsigned percent = 0;
};

} // namespace

TEST_CASE("a filler that a worker's next incarnation runs isn't left at the speed that a late throttle order set")
{
    TakenUpFiller it;
    bool isStopped = false;
    SUBCASE("taken up from the poll that shows the restart") { }
    SUBCASE("taken up from the first poll after the entry shows the restart")
    {
        it.entry.incarnation = 2000;
        it.core.onWorkerListed(it.entry, it.at());
    }
    it.core.takeOutput();
    it.poll(2000, true);
    std::optional<ThrottleRun> order;
    for (const auto& given : it.core.takeOutput().orders) {
        if (const auto* throttle = std::get_if<ThrottleRun>(&given))
            order = *throttle;
        isStopped = isStopped || std::holds_alternative<StopRun>(given);
    }
    CHECK_FALSE(isStopped);
    REQUIRE(order);
    CHECK(order->percent == 100);
    CHECK(it.core.needsThrottle(*order));
}
