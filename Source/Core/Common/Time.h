#pragma once

/// Time types shared by every library: a steady boot clock and wall-clock timestamps.

#include <chrono>

namespace Common {

/// Steady clock that keeps counting during suspend (CLOCK_BOOTTIME), so that a lease
/// can't appear valid after a resume. The decision core never reads it: callers pass instants in.
struct BootClock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the standard names it.

    /// Microseconds since boot, including time in suspend.
    static time_point now();
};

/// A point on one host's boot clock; never comparable between hosts.
using Instant = BootClock::time_point;

/// A point in wall-clock time, in milliseconds since the Unix epoch; compared between hosts only with a skew allowance.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// The same moment on both clocks; passed to decision cores with each event.
struct Moment {
    Instant now {};
    WallTime wall {};
};

/// Current wall-clock time.
WallTime wallNow();

} // namespace Common
