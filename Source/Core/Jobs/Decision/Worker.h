#pragma once

/// State that a pool's owner keeps for each worker.

#include "Jobs/Decision/StartEvidence.h"
#include "Jobs/Model/FleetTypes.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace Jobs {

/// For which a worker gets no new runs after runs there have failed or stalled; doubles with each further failure.
inline constexpr milliseconds firstEjectionPause { 3000 };

/// Why a worker's runs can't be running any more.
enum class WorkerLoss {
    Lapsed, ///< Its lease ran out while it didn't answer: it was cut off, or has crashed.
    Crashed, ///< Its machine no longer runs it.
    Replaced, ///< The same, as its machine runs another worker.
    Ordered, ///< Its machine was moved or maintained.
    Restarted, ///< A new incarnation answers or is listed.
};

/// Lower-case name for logs, for example "crashed".
const char* nameOf(WorkerLoss);

/// A run that occupies capacity of a worker.
struct WorkerRun {
    /// What is known of the run's progress.
    enum class Phase {
        Ordered, ///< The start order may still be in flight.
        Confirmed, ///< The worker has confirmed the run, or an earlier owner recorded it.
        Stopping, ///< A stop order was issued.
        Uncertain, ///< Lost with an incarnation of the worker, whose next one may have carried the start out, or may yet do so.
    };
    RunNumber run = 0;
    Phase phase = Phase::Ordered;
    bool isStopOptional = false; ///< While Stopping: the order may be cancelled if too many tasks of the step would be unavailable.
    Resources reserved; ///< Counts against the worker's capacity; see reservedBy().
    bool isLasting = false;
    bool isFiller = false;
    milliseconds targetLatency { 0 };
    milliseconds estimate { 0 };
    std::string image;
    Common::Instant orderedAt {};
    Common::Instant sentAt {}; ///< The latest attempt of the start; zero while the order waits, for example for the store.
    Common::Instant firstSentAt {}; ///< The first attempt of the start.
    Common::Instant confirmedAt {}; ///< A poll sent later whose answer lacks the run proves that it is gone.
    Common::Instant progressAt {}; ///< When the percentage or the checkpoint last changed.
    std::string checkpoint; ///< Newest one reported; empty for none.
    std::uint64_t lastSeenPoll = 0; ///< Worker::pollAnswers at the latest poll answer that contained the run.
    unsigned percent = 0; ///< Of its work; 100 when a lasting task is serving.
    std::uint64_t measure = 0; ///< See Ports::RunningTask.
    unsigned throttlePercent = 100; ///< Share of full speed that a filler was set to.
    bool isShareUnknown = false; ///< Another share may have been set, by an order for an earlier incarnation.
    Common::Instant startedBy {}; ///< It had started by then; zero while that isn't known.
    Common::WallTime placedAfter {}; ///< Of an inherited run: see Task.
    bool isInherited = false; ///< Placed by an earlier owner, so that it may have started at any time, or never.
    bool isSuspect = false; ///< Its task may have crashed workers before; see CrashEvidence.h.
    bool mustBeAlone = false; ///< No other run may start beside it before it has outlived its start.
    bool isConfined = false; ///< Nothing else may run beside it; see CrashVerdict.
    bool isTriedInGroup = false; ///< Started with other doubtful suspects: a crash leaves open which of them has caused it.
    bool isProven = false; ///< It has outlived its start.
    bool hasUnansweredStart = false; ///< An attempt of the start wasn't answered, and may be carried out late.
    bool isStartedByOther = false; ///< The start was confirmed by an incarnation of the worker that hasn't answered a poll yet.
    Common::Instant uncertainUntil {}; ///< Of a run that is or was Uncertain: when it is taken for over without an answer. Zero otherwise.
    Common::Instant leasesEndAt {}; ///< The same: no incarnation can run it from then on if the worker gets no more calls.

    /// True when no attempt of the start was sent, so that the worker can't have the run.
    bool isUnsent() const { return !isInherited && sentAt == Common::Instant() && startedBy == Common::Instant(); }
    /// `answeredPollSentAt`: of the latest poll that the worker has answered.
    StartEvidence startEvidence(Common::Instant answeredPollSentAt) const
    {
        if (startedBy != Common::Instant())
            return StartEvidence::Confirmed;
        constexpr milliseconds arrivalLimit { 10 }; ///< Calls on different connections may overtake each other.
        const bool isMissing = !isInherited && firstSentAt != Common::Instant() && answeredPollSentAt > firstSentAt + arrivalLimit;
        return isUnsent() || isMissing ? StartEvidence::NotCarriedOut : StartEvidence::Sent;
    }
    bool isCrashCounted = false; ///< The crash of the incarnation that it was sent to has been counted; see CrashCounted.
    bool isUncertain() const { return uncertainUntil != Common::Instant(); }
    /// Whether a next incarnation of the worker may run it: no poll has shown that the one that is lost has carried the start out, or
    /// another attempt wasn't answered.
    bool mayRunInNextIncarnation() const
    {
        const bool isKnownToHaveStarted = lastSeenPoll > 0 || (startedBy != Common::Instant() && !isStartedByOther);
        return hasUnansweredStart || (!isUnsent() && !isKnownToHaveStarted);
    }
    /// From then on, the run may have started.
    Common::Instant mayHaveStartedAt() const { return std::max(orderedAt, sentAt); }
};

/// A start of a run that is over, and that may still be carried out if its worker restarts under its id, as the new incarnation can't tell
/// it from starts of its own. Runs of tasks that aren't over are Uncertain instead.
struct LateStart {
    RunNumber run = 0;
    Resources reserved;
    Common::Instant overSince {}; ///< When its run ended or was lost.
    Common::Instant refusedSince = Common::Instant::max(); ///< The new incarnation has confirmed a stop of the run.
};

/// A run that was lost with its worker.
struct LostRun {
    TaskKey task;
    RunNumber run = 0;
    bool isDoubtful = false; ///< Its start wasn't confirmed, or the worker may have been lost long after it.
    bool isProven = false; ///< Had outlived its start.
    bool isUnconfirmed = false; ///< It may have started immediately before the worker was lost, or not at all.
    milliseconds age { 0 }; ///< From its start to the loss; zero when doubtful.
    StartEvidence start = StartEvidence::Sent;
};

/// A run of a task of the step, in the phase Ordered.
WorkerRun makeRun(const StepSpec&, RunNumber, Common::Instant now);

/// A worker with the runs that occupy it.
struct Worker {
    WorkerEntry entry;
    bool isListed = true; ///< False when the worker is known only from the journal, or its entry was deleted.
    bool isResponsive = false; ///< Has answered a poll of this owner recently.
    bool isCordoned = false; ///< Gets no new runs, as it is to be emptied for maintenance or a move.
    Common::Instant drainsUntil {}; ///< A draining worker ends no earlier on order; zero while that isn't known.
    Common::Instant avoidUntil {}; ///< Gets no new runs until then, after a refusal.
    Common::Instant ejectedUntil {}; ///< Gets no new runs but trials until then, after failures.
    Common::Instant ejectedAt {}; ///< The latest failure or stall of a run while it is ejected, or for which it was.
    TaskKey trialTask {}; ///< The latest trial here: a run that is to show whether the ejected worker is sound again.
    RunNumber trialRun = 0; ///< Zero when there was none, or it has been decided.
    unsigned failuresInRow = 0; ///< Failed runs since the last one that was done.
    std::uint64_t pollAnswers = 0; ///< Number of poll answers handled so far.
    Common::Instant answeredPollSentAt {}; ///< When the latest poll that was answered had been sent.
    std::uint64_t lastEndNumber = 0; ///< Number of the newest reported end that was handled; starts over with each incarnation.
    std::map<TaskKey, WorkerRun> runs;
    Resources strays {}; ///< Occupied, at the last answer, by runs that aren't in `runs` and are being stopped.
    bool hasStrayOfUnknownSize = false;
    Resources largestCapacity; ///< Largest amounts that the worker has reported; its capacity may shrink and grow.
    Common::Instant failingSince {}; ///< When the first poll since the last answer failed; zero for none.
    Common::Instant aliveUntil {}; ///< While failing: it hadn't crashed before then.
    std::map<TaskKey, LateStart> unansweredStarts; ///< Of runs that are over here. Late starts once the worker has crashed or restarted.
    std::map<TaskKey, LateStart> lateStarts; ///< At most one of a task.
    bool mustStopLateStarts = false; ///< With the next poll answer, as orders sent before a loss have expired.
    bool mustSettleRuns = false; ///< Runs became uncertain at the latest loss, since which no poll was answered.
    Common::Instant lapsedSince {}; ///< When the first poll failed before the lease lapsed.
    std::vector<LostRun> lapsedRuns; ///< Lost when the lease lapsed; evidence if the worker turns out to have crashed.

    /// True when new runs may be placed on the worker.
    bool isSchedulable(Common::Instant now) const { return isUsable() && !isAvoided(now); }
    /// True when a trial may be placed on the worker, which gets no other new runs: it is ejected, and no trial is under way.
    bool isOpenForTrial(Common::Instant now) const { return isUsable() && avoidUntil <= now && ejectedUntil > now && !hasTrial(); }
    bool isAvoided(Common::Instant now) const { return avoidUntil > now || ejectedUntil > now; }
    bool isTrial(const TaskKey& key, RunNumber run) const { return trialRun != 0 && trialRun == run && trialTask == key; }
    bool hasTrial() const
    {
        const auto it = trialRun == 0 ? runs.end() : runs.find(trialTask);
        return it != runs.end() && it->second.run == trialRun;
    }
    /// Whether the worker could get new runs, apart from being avoided.
    bool isUsable() const
    {
        const bool mayHaveCrashed = failingSince != Common::Instant() && !runs.empty();
        return isListed && isResponsive && !mayHaveCrashed && !hasStrayOfUnknownSize && !isCordoned && entry.state == WorkerEntry::State::Ready;
    }
    /// True while a run whose task is suspected of crashing workers hasn't outlived its start here.
    bool isTestingSuspect() const
    {
        return std::ranges::any_of(runs, [](const auto& it) { return it.second.isSuspect && !it.second.isProven; });
    }
    /// The same for a run that no other may start beside.
    bool isTestingAlone() const
    {
        return std::ranges::any_of(runs, [](const auto& it) { return it.second.mustBeAlone && !it.second.isProven; });
    }
    bool hasConfinedRun() const
    {
        return std::ranges::any_of(runs, [](const auto& it) { return it.second.isConfined; });
    }
    bool hasOnlyConfinedRuns() const
    {
        return !runs.empty() && std::ranges::all_of(runs, [](const auto& it) { return it.second.isConfined; });
    }
    bool hasUnprovenRuns() const
    {
        return std::ranges::any_of(runs, [](const auto& it) { return !it.second.isProven; });
    }
    /// True while a run started less than `spacing` ago, or may be about to start.
    bool hasStartWithin(milliseconds spacing, Common::Instant now) const
    {
        constexpr milliseconds unconfirmedLimit { 500 }; // After that, the worker isn't answering.
        return std::ranges::any_of(runs, [&](const auto& entry) {
            const auto& run = entry.second;
            if (run.isProven || run.isInherited)
                return false;
            return now - run.orderedAt < (run.startedBy == Common::Instant() ? unconfirmedLimit : spacing);
        });
    }
    Resources reserved() const
    {
        Resources sum = strays;
        for (const auto& [key, it] : runs)
            sum += it.reserved;
        for (const auto& [key, it] : lateStarts)
            sum += it.reserved;
        return sum;
    }
    /// Capacity that no run has reserved; zero where more is reserved than there is.
    Resources room() const
    {
        Resources free = entry.capacity;
        free -= reserved();
        return free;
    }
};

} // namespace Jobs
