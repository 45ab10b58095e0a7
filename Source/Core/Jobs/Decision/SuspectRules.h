#pragma once

/// The rules for suspects, tasks that may have crashed their workers: in which state one is, on which workers and beside what it may start
/// there, and when it is given up. PoolCore, Placement and CrashEvidence apply them.

#include "Common/Time.h"
#include "Jobs/Model/JobTypes.h"

#include <array>
#include <chrono>
#include <cstddef>

namespace Jobs {

using std::chrono::milliseconds;

inline constexpr milliseconds provenAfter { 200 }; ///< Age at which a run has outlived its start.
inline constexpr milliseconds reliableAfter { 10000 }; ///< Age from which earlier crashes no longer count against the task.
inline constexpr milliseconds maximumIsolationWait { 1500 }; ///< The platform allows 3 s without a run where there is capacity.
inline constexpr milliseconds maximumConfinedWait { 3000 }; ///< With the longest delay before a restart, less than the 9 s that the platform allows.
inline constexpr milliseconds overdueWait { 5000 };
inline constexpr milliseconds workerReturnTime { 4000 }; ///< About the time from a crash until the machine has a worker again.
inline constexpr unsigned guiltyUnexplained = 5; ///< Crashes that nothing else explains, late ones as well, unless some are to be expected.

/// State of a task: whether it may crash its worker, so that it must be kept apart from others.
enum class Suspicion {
    None,
    Some, ///< Other starts on the worker must be spaced from its own.
    Strong, ///< No other run may start on its worker before it has outlived its start.
    Grouped, ///< The same, apart from other such tasks that start there at the same time.
    Doubtful, ///< The same, apart from a limited number of other such tasks.
    Confined, ///< No other run may be on its worker before it counts as reliable, except confined ones that have no other place.
};

/// What the state of a task depends on.
struct SuspectFacts {
    CrashTally tally;
    bool isDoubtful = false; ///< Its tally counts a crash of a worker on which it may not have started.
    bool isLikely = false; ///< Nothing else explained an earlier crash.
    bool isConfined = false;
    bool isLasting = false;
    bool isSpaced = false; ///< Starts are spaced, so that only the latest one before a crash is suspected.
    Common::Instant::duration waited { 0 }; ///< For a worker.

    bool hasWaitedTooLong() const { return waited > maximumIsolationWait; }
};

/// What a worker is open to.
struct Openings {
    bool others = false; ///< Tasks that aren't suspected.
    bool spaced = false; ///< Suspects beside runs whose starts are spaced.
    bool alone = false; ///< Suspects beside runs that have outlived their starts.
    bool group = false; ///< Suspects in the state Grouped.
    bool doubtful = false; ///< More suspects in the state Doubtful.
    bool confined = false; ///< Suspects in the state Confined, beside others like them.

    bool overlaps(const Openings& it) const { return (others && it.others) || (spaced && it.spaced) || (alone && it.alone) || (group && it.group) || (doubtful && it.doubtful) || (confined && it.confined); }
};

/// What holds in one state.
struct SuspectRule {
    Suspicion state = Suspicion::None;
    bool (*holds)(const SuspectFacts&) = nullptr;
    Openings admittedBy; ///< It may start on workers that are open to one of these.
    Openings keptOn; ///< On others it starts in the next state that holds.
    bool needsEmptyWorker = false; ///< Unless that is open to confined ones.
    bool startsAlone = false; ///< No others may start beside it before it has outlived its start.
    bool hasCompany = false; ///< Apart from suspects in the same state that start there at the same time.

    /// Whether a worker with these openings admits a task in this state.
    bool admits(const Openings& openings, bool isEmpty) const { return admittedBy.overlaps(openings) && allowsRunsOn(openings, isEmpty); }
    /// Whether the runs that are on the worker may stay beside the task.
    bool allowsRunsOn(const Openings& openings, bool isEmpty) const { return isEmpty || !needsEmptyWorker || openings.confined; }
};

/// The states in the order in which they are tried: a task is in the first one that holds.
using SuspectRules = std::array<SuspectRule, 6>;
const SuspectRules& suspectRules();
const SuspectRule& ruleOf(Suspicion);

/// The state on a worker that is set aside for suspects.
Suspicion suspicionOf(const SuspectFacts&);
/// The state on a worker that isn't: a lasting suspect that has waited too long is placed like others.
Suspicion placementSuspicionOf(const SuspectFacts&);
/// The state in which the task starts on a worker with these openings.
Suspicion startSuspicionOf(const SuspectFacts&, const Openings&, bool isEmpty);

/// Use of the workers that may be set aside for suspects.
struct QuarantineUse {
    std::size_t workers = 0; ///< Including those that have crashed under suspects and aren't back.
    std::size_t inUse = 0; ///< Those, and the workers that run a suspect that hasn't outlived its start.
    std::size_t chosen = 0; ///< Set aside by the current decision.
    bool isTesting = false; ///< A suspect that hasn't outlived its start runs somewhere.
    bool isTestingAlone = false; ///< One that must start alone does.
    bool isOverdue = false; ///< A suspect has waited for longer than `overdueWait`.
};

/// Whether another worker may be set aside, for a suspect in that state.
bool maySetAside(const QuarantineUse&, Suspicion);
/// The number of suspects in the state Doubtful that start together where so many wait.
std::size_t doubtfulGroupSize(std::size_t waiting);

/// What a crash says about one of its suspects.
enum class Blame {
    Sole, ///< Nothing else explains it, or only suspects that were tried together with it.
    Shared,
    Explained, ///< Another start was closer to it.
};

/// True when the task is a suspect also of a crash that another start explains, as it has crashed several times since it last outlived one.
bool isSuspectedThoughExplained(const CrashTally& before);
/// Whether the latest crash, which the tally includes, convicts the task, if enough of those before do as well. `isDoubtful`: it may not have
/// started on the worker; `wasDoubtful`: that holds for an earlier crash.
bool isConvicted(const CrashTally&, Blame, bool isDoubtful, bool wasDoubtful);
/// True when so many crashes are left unexplained that the task must not be started again. Where workers also crash by themselves, so often
/// that `expected` of these crashes are to be expected under any task, more are needed.
bool isTooOften(const CrashTally&, double expected);
/// The same for a task that is suspected; see isConvicted().
bool isGuilty(const CrashTally&, bool isConvicted, double expected);
/// From a crash under a confined task to its next start.
milliseconds restartDelay(const CrashTally&);

} // namespace Jobs
