#pragma once

/// Tells crashes that tasks may have caused from those with a cause outside, such as a power or network failure. Designed for fleets in which
/// many workers crash within moments of each other: a task runs on one worker, so that it explains one of these crashes at most. Workers on
/// which no task has just started are a control group: where these crash as well, about as large a share of the others does so anyway. As tasks
/// of one job may all crash their workers, and late, workers without a task of the job are a second one.

#include "Common/Time.h"
#include "Jobs/Model/JobTypes.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Jobs {

using std::chrono::milliseconds;

/// A task that was lost in a crash, with what the crash has added to its tally.
struct CrashedTask {
    TaskKey task;
    unsigned unexplained = 0;
    bool isSuspect = false;
    bool countsToConvict = false; ///< The crash was just after a start that was carried out.
    bool isFound = false; ///< The verdict is guilty or confined, or the task is confined already.
    bool isExplanation = false; ///< See CrashVerdict.
    bool isNewlyLikely = false; ///< The crash has made it a likely suspect.
    double expected = 0; ///< See CrashWitness.
    milliseconds age { 0 }; ///< From its start to the crash.
};

/// The crash of one worker.
struct WorkerCrash {
    std::uint64_t number = 0; ///< In the CrashHistory.
    std::string worker;
    bool hadRecentStart = false; ///< A task that had just started there may explain it.
    std::vector<CrashedTask> tasks;
};

/// What is known of a crash once those of the same moment are known as well.
struct SettledCrash {
    WorkerCrash crash;
    std::vector<bool> isOutside; ///< By task: the cause is most likely outside the tasks.
    bool isOutsideAll = false; ///< The same for all of them; false where there are none.
    std::size_t crashed = 0; ///< Workers that crashed together, of all that were up.
    std::size_t workers = 0;
    std::size_t crashedAfterStart = 0; ///< The part of them on which a task had just started, of all such workers.
    std::size_t workersAfterStart = 0;
};

/// Collects crashes until those of the same moment are known.
class CrashBursts {
public:
    /// Workers that are up.
    struct Workers {
        std::map<std::string, bool> hadRecentStart;
        std::map<JobId, std::size_t> countByJob; ///< Those with a task of the job.
    };

    /// True when no crash about that time is known: add() then needs the other workers.
    bool isFirst(Common::Instant crashedAt) const;
    /// Returns when the crash is settled.
    Common::Instant add(WorkerCrash, Common::Instant crashedAt, Common::Instant now, Workers others = {});
    /// Returns the crashes that are due. `silentSince` says since when workers don't answer that aren't known to have crashed: those that fell
    /// silent together with the others have most likely crashed as well, which is found out late where they have no runs.
    std::vector<SettledCrash> settle(Common::Instant now, const std::map<std::string, Common::Instant>& silentSince = {});
    /// When settle() has to run next.
    std::optional<Common::Instant> nextSettlement() const;

private:
    struct Burst {
        Common::Instant first;
        Common::Instant last;
        Common::Instant settleAt;
        Workers others; ///< Those that haven't crashed.
        std::size_t crashed = 0;
        std::size_t crashedAfterStart = 0;
        std::map<JobId, std::size_t> crashedByJob;
        std::vector<WorkerCrash> unsettled;
        std::size_t silent = 0; ///< See settle().
        std::size_t silentAfterStart = 0;

        bool includes(Common::Instant) const;
        void countSilent(const std::map<std::string, Common::Instant>& silentSince);
        bool isOutside(const CrashedTask&) const;
        std::size_t workersAfterStart() const;
        SettledCrash settled(WorkerCrash) const;
    };

    std::deque<Burst> m_bursts; ///< Some are kept for crashes that are found out late.
};

} // namespace Jobs
