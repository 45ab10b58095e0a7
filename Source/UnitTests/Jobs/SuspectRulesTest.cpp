/// Tests of the rules for tasks that are suspected of crashing their workers, explored at small size.

#include "Jobs/Decision/SuspectRules.h"
#include "JobFleet.h"
#include "Jobs/Decision/CrashEvidence.h"
#include "Jobs/Decision/PoolCore.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

/// A core with workers that answer at once, and run what they are given without an end.
class IdlePool {
public:
    explicit IdlePool(const std::vector<JobRecord>& records)
    {
        core.load(records);
        core.finishLoad(at);
    }

    void addWorker(const std::string& id, std::uint64_t milliCores)
    {
        WorkerEntry entry;
        entry.id = id;
        entry.machine = "m-" + id;
        entry.address = "127.0.0.1:1";
        entry.capacity = { milliCores, 64000, 0 };
        core.onWorkerListed(entry, at);
        core.onPollAnswer(id, m_polls[id], at.now, at);
    }

    /// Polls and decides every 100 ms, and returns the workers to which starts were ordered.
    std::vector<std::string> decideFor(std::chrono::milliseconds time)
    {
        std::vector<std::string> started;
        for (auto passed = 0ms; passed <= time; passed += 100ms) {
            core.decide(at);
            for (const auto& it : core.takeOutput().orders) {
                if (const auto* start = std::get_if<StartRun>(&it)) {
                    core.onStartSent(*start, at);
                    core.onStartAnswer(*start, { Ports::WorkerStatus::Done, Ports::WorkerRefusal::None, {} }, at);
                    m_polls[start->worker].running.push_back({ start->task, start->run, {}, 1, 0 });
                    started.push_back(start->worker);
                }
            }
            at = { at.now + 100ms, at.wall + 100ms };
            for (const auto& [id, answer] : m_polls)
                core.onPollAnswer(id, answer, at.now, at);
        }
        return started;
    }

    PoolCore core { PoolLimits {} };
    Moment at { Instant(1h), Common::WallTime(1000h) };

private:
    std::map<std::string, Ports::PollAnswer> m_polls;
};

/// A waiting suspect, as a pool's owner finds it in the journal.
struct Suspect {
    unsigned crashes = 0;
    bool isDoubtful = false;
    bool isLikely = false;
    bool isLasting = false;
    bool isConfined = false;
};

std::vector<Suspect> suspectsOfAllKinds()
{
    std::vector<Suspect> kinds;
    for (unsigned flags = 0; flags < 16; ++flags) {
        const bool isLasting = (flags & 4U) != 0;
        if (!isLasting && (flags & 8U) != 0)
            continue;
        for (unsigned crashes = 1; crashes <= 3; ++crashes)
            kinds.push_back({ crashes, (flags & 1U) != 0, (flags & 2U) != 0, isLasting, (flags & 8U) != 0 });
    }
    return kinds;
}

/// Records of a journal with that suspect, the only task of the job with that number.
std::vector<JobRecord> recordsOf(unsigned number, const Suspect& suspect)
{
    JobAccepted job;
    job.job = jobId(number);
    job.spec = suspect.isLasting ? longRunningStep(1) : oneStep(1);
    const TaskKey task { job.job, 0, 0, 0 };
    std::vector<JobRecord> records { job, TaskSuspected { task, { suspect.crashes, suspect.crashes, suspect.crashes } }, SuspicionGraded { task, suspect.isDoubtful, suspect.isLikely } };
    if (suspect.isConfined)
        records.emplace_back(TaskConfined { task, true });
    return records;
}

constexpr std::array bothWays { false, true };

/// Calls `check` with all combinations of facts, with tallies of up to `mostCrashes`.
template<typename Check>
void forAllFacts(unsigned mostCrashes, const Check& check)
{
    SuspectFacts facts;
    for (facts.tally.suspected = 0; facts.tally.suspected <= mostCrashes; ++facts.tally.suspected) {
        for (facts.tally.sinceProven = facts.tally.suspected; facts.tally.sinceProven <= mostCrashes; ++facts.tally.sinceProven) {
            for (unsigned flags = 0; flags < 32; ++flags) {
                facts.isDoubtful = (flags & 1U) != 0;
                facts.isLikely = (flags & 2U) != 0;
                facts.isConfined = (flags & 4U) != 0;
                facts.isLasting = (flags & 8U) != 0 || facts.isConfined;
                facts.isSpaced = (flags & 16U) != 0;
                for (const auto waited : { 0ms, maximumIsolationWait, maximumIsolationWait + 1ms, overdueWait + 1ms }) {
                    facts.waited = waited;
                    check(facts);
                }
            }
        }
    }
}

/// The openings of a worker that has no runs and was set aside for a task in that state.
Openings openingsFor(Suspicion state, bool isSpaced)
{
    Worker worker;
    auto candidate = candidateOf(worker);
    candidate.isQuarantined = true;
    candidate.takesGroup = state == Suspicion::Grouped;
    candidate.takesStrongSuspects = state != Suspicion::Grouped;
    candidate.takesSuspects = candidate.takesStrongSuspects || isSpaced;
    return candidate.openings();
}

/// A task beside another one on a worker that crashes.
struct Crash {
    bool isDoubtful = false;
    bool isProven = false; ///< The task had outlived its start.
    bool isBesideNewRun = false;
    bool isByItself = false; ///< The machine's workers crash by themselves.
    bool isSpaced = false; ///< Starts are spaced.
    bool isLatest = false; ///< The task started within the time that explains a crash, if starts are spaced.
    StartEvidence start = StartEvidence::Confirmed;
};

std::vector<Crash> crashesOfAllKinds()
{
    std::vector<Crash> crashes;
    for (unsigned flags = 0; flags < 64; ++flags) {
        for (const auto start : { StartEvidence::Sent, StartEvidence::Confirmed })
            crashes.push_back({ (flags & 1U) != 0, (flags & 2U) != 0, (flags & 4U) != 0, (flags & 8U) != 0, (flags & 16U) != 0, (flags & 32U) != 0, start });
    }
    return crashes;
}

/// What the rules know of a task after some crashes, and what really happened.
struct History {
    CrashTally tally;
    bool wasDoubtful = false;
    bool isLikely = false;
    unsigned nearStart = 0; ///< Crashes since it last outlived a start, before which it hadn't.
    unsigned confirmed = 0; ///< The part of them under starts that were carried out.
    unsigned unexplained = 0; ///< All crashes under it in which nothing else had just started.

    auto values() const { return std::tuple(tally.unexplained, tally.suspected, tally.sinceProven, tally.unconfirmed, wasDoubtful, isLikely, nearStart, confirmed, unexplained); }
    bool operator<(const History& it) const { return values() < it.values(); }
};

CrashVerdict judge(const History& history, const Crash& crash, bool isLasting)
{
    CrashWitness task { { jobId(1), 0, 0, 0 }, history.tally, crash.isDoubtful, crash.isProven };
    task.wasDoubtful = history.wasDoubtful;
    task.isLikely = history.isLikely;
    task.start = crash.start;
    task.isLasting = isLasting;
    task.age = crash.isLatest ? 10ms : 50ms;
    task.isUnconfirmed = crash.isDoubtful && crash.isLatest;
    const CrashWitness beside { { jobId(2), 0, 0, 0 }, {}, false, !crash.isBesideNewRun };
    return judgeCrash({ task, beside }, crash.isByItself, crash.isSpaced ? 20ms : 0ms).front();
}

History after(History it, const Crash& crash, const CrashVerdict& verdict)
{
    const bool isNearStart = !crash.isProven;
    it.nearStart = isNearStart ? it.nearStart + 1 : 0;
    it.confirmed = isNearStart ? it.confirmed + (crash.start == StartEvidence::Confirmed ? 1 : 0) : 0;
    it.unexplained += crash.start == StartEvidence::Confirmed ? 1 : 0;
    // A task that has outlived its start was cleared before the crash.
    it.wasDoubtful = isNearStart && (it.wasDoubtful || (crash.isDoubtful && it.tally.suspected == 0));
    it.isLikely = isNearStart && (it.isLikely || verdict.isExplanation);
    it.tally = verdict.tally;
    return it;
}

/// Explores all sequences of up to `length` crashes, and calls `check` with the history before and after each, and the verdict. Stops where
/// the task is given up.
template<typename Check>
std::size_t exploreCrashes(unsigned length, bool isLasting, const Check& check)
{
    std::size_t explored = 0;
    std::set<History> histories { History {} };
    for (unsigned n = 0; n < length; ++n) {
        std::set<History> next;
        for (const auto& history : histories) {
            for (const auto& crash : crashesOfAllKinds()) {
                auto before = history;
                if (crash.isProven)
                    before.tally.suspected = before.tally.sinceProven = before.tally.unconfirmed = 0;
                const auto verdict = judge(before, crash, isLasting);
                const auto result = after(before, crash, verdict);
                check(result, verdict);
                ++explored;
                if (!verdict.isGuilty)
                    next.insert(result);
            }
        }
        histories = std::move(next);
    }
    return explored;
}

} // namespace

TEST_CASE("each state of a task has one rule, and a task without suspected crashes is kept apart from nothing")
{
    std::set<Suspicion> states;
    for (const auto& it : suspectRules())
        CHECK(states.insert(it.state).second);
    forAllFacts(6, [](const SuspectFacts& facts) {
        const bool isSuspect = facts.tally.suspected > 0 || facts.isConfined;
        const bool isKeptApart = suspicionOf(facts) != Suspicion::None;
        // Only suspects wait, as far as the rules know.
        REQUIRE((facts.waited > 0ms || isKeptApart == isSuspect));
        REQUIRE((isKeptApart || !isSuspect));
        REQUIRE((suspicionOf(facts) == Suspicion::Confined) == facts.isConfined);
    });
}

TEST_CASE("a worker that is set aside for a suspect admits it, and the suspect starts there as the worker was set aside for")
{
    forAllFacts(6, [](const SuspectFacts& facts) {
        const auto state = suspicionOf(facts);
        if (state == Suspicion::None)
            return;
        const auto openings = openingsFor(state, facts.isSpaced);
        REQUIRE(ruleOf(state).admits(openings, true));
        REQUIRE(startSuspicionOf(facts, openings, true) == state);
        REQUIRE(!ruleOf(Suspicion::None).admits(openings, true));
    });
}

TEST_CASE("one suspect at least may be tried in a pool of any size, and a lasting one that has waited for long is placed like others")
{
    for (std::size_t workers = 1; workers <= 12; ++workers) {
        for (std::size_t crashed = 0; crashed < workers; ++crashed) {
            forAllFacts(2, [&](const SuspectFacts& facts) {
                const auto state = suspicionOf(facts);
                if (state == Suspicion::None)
                    return;
                const QuarantineUse use { workers, crashed, 0, false, false, facts.waited > overdueWait };
                // However many workers have crashed under suspects, the wait is limited.
                const bool isLimited = facts.waited <= overdueWait || maySetAside(use, state);
                REQUIRE(isLimited);
                REQUIRE((crashed > 0 || maySetAside(use, state)));
                REQUIRE((!facts.isLasting || facts.waited <= maximumIsolationWait || placementSuspicionOf(facts) == Suspicion::None));
            });
        }
    }
}

// The platform allows 3 s for a task with free capacity. A confined one is held back longer after a crash, and may be alone on its worker.
TEST_CASE("two suspects of any kinds in a pool of up to three idle workers both start within 3 s of when they may")
{
    const auto kinds = suspectsOfAllKinds();
    for (const auto& first : kinds) {
        for (const auto& second : kinds) {
            // Two confined ones in a pool of one are in the next case.
            for (unsigned workers = first.isConfined && second.isConfined ? 2 : 1; workers <= 3; ++workers) {
                for (const bool isSpaced : bothWays) {
                    auto records = recordsOf(1, first);
                    for (auto& it : recordsOf(2, second))
                        records.push_back(std::move(it));
                    if (isSpaced)
                        records.emplace_back(CrashAgesLearnt { { 10ms }, Common::WallTime(1000h) });
                    IdlePool pool(records);
                    for (unsigned n = 0; n < workers; ++n)
                        pool.addWorker("w" + std::to_string(n), 16000);
                    const auto delayOf = [](const Suspect& it) { return it.isConfined ? restartDelay({ it.crashes, it.crashes, it.crashes }) : 0ms; };
                    const auto started = pool.decideFor(std::max(delayOf(first), delayOf(second)) + 3s).size();
                    if (started == 2)
                        continue;
                    CAPTURE(first.crashes);
                    CAPTURE(first.isDoubtful);
                    CAPTURE(first.isLikely);
                    CAPTURE(first.isLasting);
                    CAPTURE(first.isConfined);
                    CAPTURE(second.crashes);
                    CAPTURE(second.isDoubtful);
                    CAPTURE(second.isLikely);
                    CAPTURE(second.isLasting);
                    CAPTURE(second.isConfined);
                    CAPTURE(workers);
                    CAPTURE(isSpaced);
                    CHECK(started == 2);
                }
            }
        }
    }
}

// The platform allows 9 s without a run for a task that was restarted.
TEST_CASE("two confined suspects in a pool of one idle worker both start within 9 s")
{
    auto records = recordsOf(1, { .crashes = 2, .isLasting = true, .isConfined = true });
    for (auto& it : recordsOf(2, { .crashes = 2, .isLasting = true, .isConfined = true }))
        records.push_back(std::move(it));
    IdlePool pool(records);
    pool.addWorker("w0", 16000);
    CHECK(pool.decideFor(9s).size() == 2);
}

TEST_CASE("workers that are set aside for suspects leave some to other tasks, except in a pool of one")
{
    for (std::size_t workers = 1; workers <= 100; ++workers) {
        for (const bool isOverdue : bothWays) {
            for (const auto& rule : suspectRules()) {
                QuarantineUse use { workers, 0, 0, false, false, isOverdue };
                while (use.chosen < workers && maySetAside(use, rule.state))
                    ++use.chosen;
                REQUIRE(use.chosen >= 1);
                REQUIRE((workers == 1 || use.chosen < workers));
            }
        }
    }
}

TEST_CASE("no sequence of crashes starts a task that ends more than twice after the third crash just after a start")
{
    const auto explored = exploreCrashes(6, false, [](const History& history, const CrashVerdict& verdict) {
        REQUIRE((history.tally.sinceProven < 5 || verdict.isGuilty));
        REQUIRE(history.tally.sinceProven <= 5);
    });
    MESSAGE(explored << " crashes explored");
}

TEST_CASE("no sequence of crashes gives a task up before two of its starts that were carried out, or five of any, were followed by one")
{
    exploreCrashes(6, false, [](const History& history, const CrashVerdict& verdict) {
        if (!verdict.isGuilty)
            return;
        const bool isAllowed = history.confirmed >= 2 || history.nearStart >= 5 || history.unexplained >= 5;
        REQUIRE(isAllowed);
    });
}

TEST_CASE("no sequence of crashes gives a lasting task up")
{
    exploreCrashes(6, true, [](const History& history, const CrashVerdict& verdict) {
        REQUIRE(!verdict.isGuilty);
        // A crash that doesn't count to it leaves the task confined.
        REQUIRE((!verdict.isSuspect || history.tally.sinceProven < 5 || verdict.isConfined));
    });
    for (unsigned crashes = 0; crashes <= 20; ++crashes) {
        const auto delay = restartDelay({ crashes, crashes, crashes });
        CHECK(delay <= 4000ms);
        CHECK(delay >= restartDelay({ crashes - (crashes > 0 ? 1 : 0), 0, 0 }));
    }
}

// It was set aside for a group of suspects, which a confined one doesn't join.
TEST_CASE("a confined suspect that has waited for long starts on the first idle worker that has room for it")
{
    JobAccepted job;
    job.job = jobId(1);
    job.spec = longRunningStep(1);
    const TaskKey task { job.job, 0, 0, 0 };
    for (const bool isLikely : { false, true }) {
        CAPTURE(isLikely);
        IdlePool pool({ job, TaskSuspected { task, { 2, 2, 2 } }, SuspicionGraded { task, false, isLikely }, TaskConfined { task, true } });
        pool.addWorker("w-small", 500);
        REQUIRE(pool.decideFor(3s).empty());
        pool.addWorker("w-large", 16000);
        CHECK(pool.decideFor(0ms) == std::vector<std::string> { "w-large" });
    }
}
