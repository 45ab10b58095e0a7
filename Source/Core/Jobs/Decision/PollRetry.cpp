#include "Jobs/Decision/PollRetry.h"

#include <algorithm>

namespace Jobs {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds initialBusyDelay { 60 }; ///< A lost answer costs little; the worker answers in a few milliseconds.
    constexpr milliseconds maximumBusyDelay { 1000 };
    constexpr milliseconds initialIdleDelay { 500 };
    constexpr milliseconds maximumIdleDelay { 2000 }; ///< Plus the timeout of a poll in flight: when a worker that was cut off is used again.
    constexpr milliseconds goneDelay { 10000 }; ///< Longer than an entry outlives its worker.
    constexpr unsigned maximumDoublings = 5;

} // namespace

milliseconds pollRetryDelay(unsigned failedPolls, WorkerUse use)
{
    const int factor = 1 << std::min(failedPolls, maximumDoublings);
    switch (use) {
    case WorkerUse::Busy:
        return std::min(maximumBusyDelay, initialBusyDelay * factor);
    case WorkerUse::Idle:
        return std::min(maximumIdleDelay, initialIdleDelay * factor);
    case WorkerUse::Gone:
        break;
    }
    return goneDelay;
}

} // namespace Jobs
