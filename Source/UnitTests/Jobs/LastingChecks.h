#pragma once

/// Limits for what a lasting task that crashes its workers may cost other tasks; its job never fails for these crashes. They are derived
/// in docs/design/jobs.md, "When a task isn't started again", and from the platform's limit for a lasting task without a run.

#include "Standins/JobWorker.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <doctest/doctest.h>

/// The platform's limit for a lasting task without a run, where there is capacity.
constexpr std::chrono::seconds longestWithoutRun { 9 };

struct LastingBounds {
    /// Crashes after which it is confined at the latest: the second of those just after a start that was carried out, the fifth of any others.
    std::size_t mostBeforeConfined = 5;
    /// Crashes that may cost others runs. A suspect starts on a worker that is set aside, which has no runs where there is an idle one, so
    /// that only the first crash just after a start may; a confined task costs none.
    std::size_t mostCostly = 5;
    /// Suspects that may not even have started are tried in groups of about the square root of their number, and then one by one, so
    /// that the second crash may cost the others of a group.
    unsigned mostInDoubt = 0; ///< Such suspects: the tasks of the worker that crashed.
    std::size_t fewestCrashes = 2; ///< Two are the fewest that confine it.
    unsigned runsPerWorker = 0; ///< That a worker has room for.
    std::chrono::milliseconds time { 0 }; ///< In which it may have started.
    std::chrono::milliseconds downTime { 0 }; ///< Of a crashed worker.
    unsigned takeOvers = 0; ///< Each may hide a crash from the next owner, and the delay before the next start.
};

/// The number of crashes that are asked of a task that has to be started again within 9 s of each.
inline std::size_t fewestCrashesIn(std::chrono::milliseconds time, std::chrono::milliseconds crashDelay)
{
    return static_cast<std::size_t>(time / (longestWithoutRun + crashDelay));
}

/// The delay before a start of a confined task grows from 0.5 s after the second crash, doubled at each, to 4 s after the fifth.
inline std::size_t mostCrashesIn(const LastingBounds& bounds)
{
    constexpr std::size_t crashesToLongest = 5;
    auto crashes = bounds.mostBeforeConfined;
    for (auto passed = std::chrono::milliseconds(0);; ++crashes) {
        passed += std::chrono::milliseconds(500) * (1 << (std::clamp<std::size_t>(crashes, 2, crashesToLongest) - 2));
        if (passed > bounds.time)
            return crashes + bounds.takeOvers;
    }
}

inline unsigned mostLostIn(std::size_t crash, const LastingBounds& bounds)
{
    if (crash < bounds.mostCostly)
        return bounds.runsPerWorker - 1;
    return crash == 1 && bounds.mostInDoubt > 0 ? static_cast<unsigned>(std::ceil(std::sqrt(bounds.mostInDoubt))) - 1 : 0;
}

/// It crashes often enough to be confined, costs others no more runs than an unconfined task may until then and none since, and starts
/// only after its delay, which bounds the number of its crashes and keeps more than one worker from being down at a time.
inline void checkCosts(Standins::RunMonitor& monitor, const Jobs::TaskKey& task, const LastingBounds& bounds)
{
    const auto& lost = monitor.lostBeside[task];
    const auto& times = monitor.crashTimes[task];
    CAPTURE(task.job);
    CAPTURE(task.index);
    CHECK(lost.size() >= bounds.fewestCrashes);
    CHECK(lost.size() <= mostCrashesIn(bounds));
    for (std::size_t n = 0; n < lost.size(); ++n) {
        CAPTURE(n);
        CHECK(lost[n] <= mostLostIn(n, bounds));
        if (n >= 5)
            CHECK(times[n] - times[n - 1] >= bounds.downTime);
    }
}
