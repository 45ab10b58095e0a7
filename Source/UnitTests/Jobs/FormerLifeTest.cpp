/// Tests of calls that were meant for a worker's former incarnation and are carried out by the next one, which has the same id.

#include "EventLog.h"
#include "JobFleet.h"
#include "Jobs/Runtime/WorkerClock.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <functional>
#include <string>

using namespace Jobs;
using namespace std::chrono_literals;
using Ports::JobOutcome;
using Ports::JobVerb;

namespace {

constexpr auto never = 1h;

/// When what happens. All but the submission count from the return of the workers that crash.
struct FormerLifeOrder {
    milliseconds submittedAfterCrash { 5 };
    milliseconds downTime { 600 };
    milliseconds entryDelay { 0 };
    milliseconds cutAfter { never };
    milliseconds killAfter { never }; ///< Of the pool's owner.
    milliseconds crashAgainAfter { never };
    unsigned sound = 1; ///< Workers that don't crash.
};

/// Two workers crash while they are being given tasks, and are back under their ids while calls to them are still under way.
class FormerLifeDay : public JobFleet {
public:
    explicit FormerLifeDay(const FormerLifeOrder& order)
        : JobFleet(3, 2 + order.sound)
        , m_order(order)
    {
        keepsWorkerIds = true;
        settle();
        setRunTime(runTime);
        downTime = order.downTime;
        entryDelay = order.entryDelay;
        for (const auto& [name, host] : hosts)
            host->workers->opensConnections = true;
    }

    void play(milliseconds time = 45s)
    {
        const bool isSubmittedBefore = m_order.submittedAfterCrash < 0ms;
        if (isSubmittedBefore) {
            submit();
            runFor(-m_order.submittedAfterCrash);
        }
        crashBoth();
        const auto crashedAt = loop.now();
        if (!isSubmittedBefore) {
            runFor(m_order.submittedAfterCrash);
            submit();
        }
        const auto at = [&](milliseconds time, auto action) {
            if (time < never)
                loop.after(std::max(0ms, std::chrono::duration_cast<milliseconds>(crashedAt + m_order.downTime + time - loop.now())), action);
        };
        at(m_order.cutAfter, [this] { setCut(true); });
        at((m_order.cutAfter < never) ? m_order.cutAfter + 9s : milliseconds(never), [this] { setCut(false); });
        at(m_order.killAfter, [this] {
            if (const auto owner = ownerOf("desk"); !owner.empty())
                killHost(owner);
        });
        at(m_order.crashAgainAfter, [this] { crashBoth(); });
        runFor(time);
    }

    /// All tasks have been done, and none has run twice.
    void check()
    {
        CHECK(runMonitor.duplicateRuns == 0);
        CHECK(stateOf(hosts.begin()->first, jobId(1)) == JobState::Completed);
    }

    static constexpr milliseconds runTime = 12s;
    static constexpr unsigned tasks = 9;

private:
    static constexpr std::array crashing { "w0", "w1" };

    void crashBoth()
    {
        for (const auto* id : crashing) {
            if (!workers.at(id)->isCrashed)
                crashWorker(id);
        }
    }

    void setCut(bool isCut)
    {
        for (const auto* id : crashing)
            workers.at(id)->isPartitioned = isCut;
    }

    void submit()
    {
        const auto answer = call(ownerOf("desk"), JobVerb::Submit, jobId(1), oneStep(tasks, runTime));
        REQUIRE(answer);
        REQUIRE(answer->outcome == JobOutcome::Accepted);
    }

    FormerLifeOrder m_order;
};

void play(const FormerLifeOrder& order)
{
    CAPTURE(order.submittedAfterCrash.count());
    CAPTURE(order.downTime.count());
    CAPTURE(order.entryDelay.count());
    CAPTURE(order.cutAfter.count());
    CAPTURE(order.killAfter.count());
    CAPTURE(order.crashAgainAfter.count());
    CAPTURE(order.sound);
    FormerLifeDay day(order);
    day.play();
    day.check();
}

constexpr std::array submissions { -15ms, 5ms, 100ms, 300ms };
constexpr std::array entryDelays { 0ms, 100ms, 1500ms };

} // namespace

TEST_CASE("a task whose start reaches the next incarnation of its worker doesn't run twice")
{
    for (const auto submitted : submissions) {
        for (const auto down : { 100ms, 400ms, 600ms, 900ms }) {
            for (const auto entry : entryDelays) {
                for (const unsigned sound : { 0U, 1U, 4U })
                    play({ submitted, down, entry, never, never, never, sound });
            }
        }
    }
}

TEST_CASE("a task whose start reaches the next incarnation of its worker doesn't run twice when that one is cut off soon after")
{
    for (const auto submitted : submissions) {
        for (const auto down : { 100ms, 600ms }) {
            for (const auto entry : entryDelays) {
                for (const auto cut : { 3ms, 12ms, 60ms, 250ms, 800ms, 2000ms })
                    play({ submitted, down, entry, cut, never, never, 4 });
            }
        }
    }
}

TEST_CASE("a task whose start reaches the next incarnation of its worker doesn't run twice when the pool's owner is killed soon after")
{
    for (const auto submitted : submissions) {
        for (const auto entry : entryDelays) {
            for (const auto cut : { milliseconds(never), 12ms, 60ms, 250ms, 2000ms }) {
                for (const auto kill : { 1ms, 10ms, 60ms, 500ms, 1400ms })
                    play({ submitted, 600ms, entry, cut, kill, never, 4 });
            }
        }
    }
}

TEST_CASE("a task whose start reaches the next incarnation of its worker doesn't run twice when that one crashes as well")
{
    for (const auto submitted : submissions) {
        for (const auto entry : entryDelays) {
            for (const auto crash : { 5ms, 20ms, 100ms, 700ms, 2500ms }) {
                for (const auto cut : { milliseconds(never), 1000ms, 3500ms })
                    play({ submitted, 300ms, entry, cut, never, crash, 4 });
            }
        }
    }
}

TEST_CASE("an answer by an incarnation of which the owner doesn't know is logged, and its beginning once it is known")
{
    EventLog log;
    FormerLifeDay day({ 100ms, 400ms, 1500ms });
    day.play();
    CHECK(log.last("answered-by-other-incarnation").number("clockMs") < 1000);
    CHECK_FALSE(log.all("incarnation-began").empty());
}

TEST_CASE("the clock of an answer shows whether it is that of the incarnation that gave the previous one")
{
    const Instant start { 1h };
    constexpr auto time = 100000ms;
    WorkerClock clock(start, 5s);
    CHECK(clock.isOfThisIncarnation(start, start, Ports::WorkerTime(1)));
    clock.recordAnswer(start, start + 10ms, Ports::WorkerTime(time));
    for (const auto later : { 50ms, 1000ms, 20000ms }) {
        const auto sent = start + 10ms + later;
        CHECK(clock.isOfThisIncarnation(sent, sent + 10ms, Ports::WorkerTime(time + later)));
        CHECK(clock.isOfThisIncarnation(sent, sent + 10ms, Ports::WorkerTime(time + later * 98 / 100)));
        CHECK(clock.isOfThisIncarnation(sent, sent + 700ms, Ports::WorkerTime(time + later + 700ms)));
        CHECK_FALSE(clock.isOfThisIncarnation(sent, sent + 10ms, Ports::WorkerTime(time + later + 100ms)));
        CHECK_FALSE(clock.isOfThisIncarnation(sent, sent + 10ms, Ports::WorkerTime(time + later * 95 / 100 - 30ms)));
        CHECK_FALSE(clock.isOfThisIncarnation(sent, sent + 10ms, Ports::WorkerTime(300)));
    }
    // Sent before the previous answer came, and overtaken by it.
    CHECK(clock.isOfThisIncarnation(start - 200ms, start + 20ms, Ports::WorkerTime(time - 200ms)));
}

// Regression: the poll that was to find out about the incarnation waited there for an end of a run, for up to 1 s.
TEST_CASE("an incarnation that the owner doesn't know is polled without a wait as soon as it has answered an order")
{
    EventLog log;
    FormerLifeDay day({ 100ms, 400ms, 1500ms, never, never, never, 0 });
    std::optional<Instant> answeredAt;
    std::optional<Instant> knownAt;
    std::function<void()> sample = [&] {
        if (!answeredAt && !log.all("answered-by-other-incarnation").empty())
            answeredAt = day.loop.now();
        if (!knownAt && !log.all("incarnation-began").empty())
            knownAt = day.loop.now();
        day.loop.after(10ms, sample);
    };
    sample();
    day.play(3s);
    REQUIRE(answeredAt);
    REQUIRE(knownAt);
    CHECK(*knownAt - *answeredAt <= 50ms);
}

TEST_CASE("tasks that a worker's next incarnation runs aren't suspected of the crash of the former one")
{
    for (const auto entry : entryDelays) {
        CAPTURE(entry.count());
        EventLog log;
        FormerLifeDay day({ 100ms, 400ms, entry, never, never, never, 0 });
        day.play();
        CHECK(log.all("task-suspected").empty());
        CHECK(day.runMonitor.starts == FormerLifeDay::tasks);
    }
}

// Regression: its entry was deleted between the lapse and the end of the uncertain runs, and its session was kept.
TEST_CASE("a worker isn't polled any more once its entry is gone and nothing can run there")
{
    for (auto unlistedAfter = 3000ms; unlistedAfter <= 8s; unlistedAfter += 250ms) {
        CAPTURE(unlistedAfter.count());
        JobFleet fleet(3, 6);
        fleet.settle();
        fleet.setRunTime(12s);
        fleet.workers.at("w0")->isPartitioned = true;
        REQUIRE(fleet.call(fleet.ownerOf("desk"), JobVerb::Submit, jobId(1), oneStep(24, 12s)));
        fleet.runFor(unlistedAfter);
        fleet.unpublishWorker("w0");
        fleet.runFor(30s);
        auto& polls = fleet.hosts.at(fleet.ownerOf("desk"))->workers->polls;
        const auto before = polls["w0"];
        fleet.runFor(60s);
        CHECK(polls["w0"] == before);
    }
}

TEST_CASE("a run whose repeated start was refused as an old one may still be run by the next incarnation if an attempt wasn't answered")
{
    WorkerRun run;
    run.phase = WorkerRun::Phase::Confirmed;
    run.confirmedAt = Instant { 1h };
    CHECK_FALSE(run.mayRunInNextIncarnation());
    run.hasUnansweredStart = true;
    CHECK(run.mayRunInNextIncarnation());
    run.lastSeenPoll = 3;
    CHECK(run.mayRunInNextIncarnation());
    run.hasUnansweredStart = false;
    CHECK_FALSE(run.mayRunInNextIncarnation());
}
