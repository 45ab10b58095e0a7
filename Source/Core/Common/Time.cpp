#include "Common/Time.h"

#include <ctime>

namespace Common {

BootClock::time_point BootClock::now()
{
    timespec ts {};
    clock_gettime(CLOCK_BOOTTIME, &ts);
    const auto elapsed = std::chrono::seconds(ts.tv_sec) + std::chrono::nanoseconds(ts.tv_nsec);
    return time_point(std::chrono::duration_cast<duration>(elapsed));
}

WallTime wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace Common
