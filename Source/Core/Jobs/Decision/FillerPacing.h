#pragma once

/// Controls the speed of filler tasks that share a worker with tasks that serve users. The users' latency can rise within
/// seconds, by an amount that differs from image to image. So fillers are throttled hard as soon as latency nears its target,
/// and released in small steps.

#include <chrono>

namespace Jobs {

/// The latency on a filler's worker that is highest in relation to its target, and that target (zero when no users are served).
struct LatencyPressure {
    std::chrono::milliseconds latency { 0 };
    std::chrono::milliseconds target { 0 };
};

/// Returns the share of full speed to set for a filler, in percent, from its current share; zero pauses it. Call it once for
/// each latency measurement.
unsigned pacedShare(unsigned currentPercent, const LatencyPressure&);

} // namespace Jobs
