#pragma once

/// Finds the tasks that crash their workers. Designed for a few tasks that crash each worker within moments of their start, in a
/// pool where many others share these workers, and where some workers crash by themselves: a crash counts against tasks that had
/// only just started, and those are then started apart from each other and from tasks that aren't suspected.

#include "Common/Time.h"
#include "Jobs/Decision/StartEvidence.h"
#include "Jobs/Decision/SuspectRules.h"
#include "Jobs/Model/JobRecords.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Jobs {

/// A task that may have been running on a worker when it crashed.
struct CrashWitness {
    TaskKey task;
    CrashTally tally; ///< Before the crash.
    bool isDoubtful = false; ///< See LostRun; or it was lost in an earlier crash of the same machine.
    bool isProven = false; ///< Had outlived its start there.
    bool isGang = false; ///< Members of a gang start together and are suspected as one.
    bool isUnconfirmed = false; ///< See LostRun.
    bool wasDoubtful = false; ///< Its tally counts a crash of a worker on which it may not have started.
    milliseconds age { 0 }; ///< From its start to the crash; zero when doubtful.
    bool isLikely = false; ///< Nothing else explained an earlier crash.
    bool wasStopped = false; ///< Its job was cancelled or has failed, so that it isn't started again.
    double expected = 0; ///< Crashes that are to be expected by chance: see CrashHistory::expectedOf().
    StartEvidence start = StartEvidence::Confirmed;
    bool isLasting = false;
    bool isConfined = false; ///< It has crashed its workers too often to run beside others.
};

/// What follows from a crash for one witness.
struct CrashVerdict {
    CrashTally tally;
    bool isSuspect = false;
    bool isGuilty = false; ///< The task must not be started again. Never set for a task that lasts.
    bool isConfined = false; ///< In place of that: the task must run alone on its worker.
    bool isExplanation = false; ///< Nothing else explains the crash.
    bool isExcuse = false; ///< It may have caused the crash, though it isn't suspected: it was stopped, or is confined.
};

/// One verdict for each witness, in their order. Suspects are those that hadn't outlived their starts. On a worker that is known to
/// crash by itself more evidence is needed. Where a `window` is known (zero otherwise), only those that may have
/// started less than that before the crash are suspected, if there are any, and those that have crashed several times since they last
/// outlived a start, whatever explains these crashes. Tasks that were stopped aren't suspected, but a crash that one may have caused
/// isn't held against its machine, and the others aren't suspected alone. A crash under a confined task isn't held against its machine
/// either. Likely suspects that were tried together are guilty after two crashes. No task is guilty before two workers have crashed
/// under starts of it that convict (see StartEvidence.h), or five under any.
std::vector<CrashVerdict> judgeCrash(const std::vector<CrashWitness>&, bool crashesByItself, milliseconds window = milliseconds(0));

/// Estimates how soon after its start a task crashes its worker, from the tasks that were failed for it, and from that the minimum time
/// between starts on one worker at which a crash has a single suspect.
class StartSpacing {
public:
    /// A task was given up that had crashed its worker `age` after its start.
    void learn(milliseconds age);
    /// Replaces what was learnt by what an earlier owner had.
    void restore(const std::vector<milliseconds>& ages) { m_ages.assign(ages.begin(), ages.end()); }
    /// What was learnt, the oldest first.
    std::vector<milliseconds> ages() const { return { m_ages.begin(), m_ages.end() }; }
    /// A worker has crashed, and tasks are suspected.
    void onCrash(Common::Instant at) { m_latestCrash = std::max(m_latestCrash, at); }
    /// Zero when starts needn't be spaced: there was no such crash lately, or tasks crash their workers too late for that.
    milliseconds at(Common::Instant now) const;
    /// Tasks that started longer before a crash don't explain it. Zero while that isn't known, or starts aren't spaced.
    milliseconds window(Common::Instant now) const;

private:
    std::deque<milliseconds> m_ages; ///< Of the latest tasks given up.
    Common::Instant m_latestCrash {}; ///< May be an earlier owner's.
};

/// Remembers recent crashes by machine, and whether a task explains them. Bounded; forgets crashes after ten minutes.
class CrashHistory {
public:
    /// By witness, how much its tally grew by the crash. A witness whose `suspected` grew may explain it.
    using Witnesses = std::map<TaskKey, CrashTally>;

    /// `isTest`: a task was on the worker that had been suspected before. `isExcused`: a task that was stopped or is confined may have caused the crash.
    /// `otherMachines`: the number of the pool's other machines at that time. Returns the crash's number.
    std::uint64_t add(const std::string& machine, Witnesses, bool isTest, Common::Instant now, bool isExcused = false, std::size_t otherMachines = 0);
    /// The cause of the crash was outside the tasks: it counts neither against these nor for others, nor for its machine.
    void excuse(std::uint64_t crash);
    /// The task has outlived its start: it explains no crash. Returns the other tasks of crashes that are left without a suspect.
    std::set<TaskKey> acquit(const TaskKey&);
    /// The task has crashed the workers on which it was suspected, and those whose crashes count against it and have no suspect. Returns what
    /// doesn't count against the other tasks any more.
    Witnesses convict(const TaskKey&);
    /// Crashes of the machine's workers that no task explains so far.
    std::size_t countOf(const std::string& machine) const;
    /// Crashes of one machine's workers: what countOf() and crashedByItself() return.
    struct MachineCrashes {
        std::size_t count = 0;
        bool isByItself = false;
    };
    /// Of all machines that have crashed, for passes over many workers. The names belong to this object.
    std::unordered_map<std::string_view, MachineCrashes> byMachine() const;
    /// Crashes since then under tasks that had been suspected before.
    std::size_t countOfTests(Common::Instant since) const;
    /// How many of the latest `unexplained` crashes, which count against the task, are to be expected of a worker that crashes as often as the
    /// others have since the first of these: crashes elsewhere that no task explains, each divided by the number of other machines at that
    /// time. Those under a task that was on about as many such workers aren't taken into account, as it may have caused them.
    double expectedOf(const TaskKey&, unsigned unexplained) const;
    /// True when the task is a witness of an earlier crash of the machine's worker.
    bool isWitness(const std::string& machine, const TaskKey&) const;
    /// True when a crash of the machine's worker is left without a suspect.
    bool crashedByItself(const std::string& machine) const;
    /// Drops crashes that are too long ago.
    void forget(Common::Instant now);

private:
    struct Crash;

    struct Crash {
        std::uint64_t number = 0;
        std::string machine;
        Witnesses witnesses;
        Common::Instant at;
        bool isExcused = false;
        std::size_t otherMachines = 0;

        /// False when nothing but a task that was stopped or is confined may explain it.
        bool isCounted() const { return !isExcused || hasSuspects(); }
        bool isByItself() const { return !isExcused && !hasSuspects(); }
        bool hasSuspects() const;
    };

    std::uint64_t m_lastNumber = 0;
    std::deque<Crash> m_crashes;
    std::deque<Common::Instant> m_tests; ///< Times of crashes under tasks that had been suspected before.
};

} // namespace Jobs
