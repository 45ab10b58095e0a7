#pragma once

/// Time types shared by every library: the clock of the decision core and wall-clock stamps.

#include <chrono>

namespace Common {

/// Clock that goes on counting while the machine sleeps (CLOCK_BOOTTIME), so that a lease
/// can't seem valid after a suspend. The decision core never reads it: callers pass instants in.
struct BootClock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): the standard names it.

    /// Microseconds since boot, suspended time included.
    static time_point now();
};

/// A point on the boot clock of one host; never compared between hosts.
using Instant = BootClock::time_point;

/// A point in civil time, in milliseconds since the Unix epoch; compared between hosts only with a skew allowance.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// One moment on both clocks, as events are handed to decision cores.
struct Moment {
    Instant now {};
    WallTime wall {};
};

/// The wall clock now, in milliseconds.
WallTime wallNow();

} // namespace Common
