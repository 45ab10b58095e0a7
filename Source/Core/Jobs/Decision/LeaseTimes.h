#pragma once

/// Bounds on how long a worker may run something under a lease, on the owner's clock.

#include <chrono>

namespace Jobs {

/// From when a call is sent until it can't be carried out by a worker any more: its connection is closed once it has timed out.
inline constexpr std::chrono::milliseconds longestCall { 1800 }; // A poll of 1 s, and 0.8 s until it times out.
inline constexpr std::chrono::milliseconds longestOrder { 700 }; ///< The same of a start, stop or throttle order.

/// Maximum time on the owner's clock that a lease of that length on the worker's clock lasts.
constexpr std::chrono::milliseconds maximumSpanOf(std::chrono::milliseconds lease)
{
    constexpr int slowestPermille = 980; // Workers' clocks are up to 2% slow.
    constexpr int permille = 1000;
    constexpr std::chrono::milliseconds margin { 250 }; // For killing the runs of a lapsed lease, and for timers.
    return lease * permille / slowestPermille + margin;
}

} // namespace Jobs
