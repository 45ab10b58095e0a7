#include "Clock.h"

#include <thread>

namespace Ctl {

Common::Instant SystemClock::now() { return Common::BootClock::now(); }

void SystemClock::sleep(std::chrono::milliseconds duration) { std::this_thread::sleep_for(duration); }

} // namespace Ctl
