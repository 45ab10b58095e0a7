#pragma once

/// What a pool's owner knows of one worker.

#include "Jobs/Model/FleetTypes.h"

#include <map>
#include <string>

namespace Jobs {

/// A run that occupies room on a worker.
struct WorkerRun {
    /// How far the run is known to be.
    enum class Phase {
        Ordered, ///< The start may be under way.
        Confirmed, ///< It was started, or was recorded by an earlier owner.
        Stopping,
    };
    RunNumber run = 0;
    Phase phase = Phase::Ordered;
    bool isStopOptional = false; ///< While Stopping: withdrawn if the step would miss more tasks than it may.
    Resources reserved;
    bool isLasting = false;
    bool isFiller = false;
    milliseconds targetLatency { 0 };
    milliseconds estimate { 0 };
    std::string image;
    Common::Instant orderedAt {};
    Common::Instant confirmedAt {}; ///< A look that was sent later and doesn't show the run proves that it is gone.
    Common::Instant progressAt {}; ///< When the percentage or the checkpoint last changed.
    std::string checkpoint; ///< Newest one seen.
    std::uint64_t seenIn = 0; ///< Number of the latest look that showed it.
    unsigned percent = 0;
    std::uint64_t measure = 0; ///< See Ports::RunningTask.
    unsigned throttlePercent = 100;
};

/// The run of a task of that step, just ordered.
WorkerRun makeRun(const StepSpec&, RunNumber, Common::Instant now);

/// A worker with the runs that occupy it.
struct Worker {
    WorkerEntry entry;
    bool isListed = true; ///< False for one that is only known from the journal, or whose entry went away.
    bool isOpen = false; ///< Has answered a look of this owner lately.
    bool isCordoned = false; ///< Takes no new runs, for maintenance or a move.
    Common::Instant avoidUntil {}; ///< After refusals and failures.
    unsigned failuresInRow = 0; ///< Runs that failed since the last one that was done.
    std::uint64_t looks = 0; ///< Answers taken so far.
    std::uint64_t endsSeen = 0; ///< Number of the newest end handled, of this incarnation.
    std::map<TaskKey, WorkerRun> runs;

    bool mayTake(Common::Instant now) const
    {
        return isListed && isOpen && !isCordoned && entry.state == WorkerEntry::State::Ready && avoidUntil <= now;
    }
    /// Capacity that no run occupies.
    Resources room() const
    {
        Resources free = entry.capacity;
        for (const auto& [key, it] : runs)
            free -= it.reserved;
        return free;
    }
};

} // namespace Jobs
