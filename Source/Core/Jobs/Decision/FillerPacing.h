#pragma once

/// Share of its speed at which a filler works beside tasks that serve users. Answers the load pattern in which the
/// users' latency rises within seconds, by an amount that differs from image to image: throttle at once and hard,
/// let go in small steps.

#include <chrono>

namespace Jobs {

/// Worst latency beside a filler, as a part of its target.
struct LatencyPressure {
    std::chrono::milliseconds latency { 0 };
    std::chrono::milliseconds target { 0 };
};

/// Share to set, in percent, given the present one.
unsigned pacedShare(unsigned presentPercent, const LatencyPressure&);

} // namespace Jobs
