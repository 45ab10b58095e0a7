#pragma once

/// The clock that commands wait on; tests replace it by one that doesn't sleep.

#include "Common/Time.h"

#include <chrono>

namespace Ctl {

/// A monotonic clock that can sleep.
class Clock {
public:
    virtual ~Clock() = default;
    virtual Common::Instant now() = 0;
    virtual void sleep(std::chrono::milliseconds) = 0;
};

/// The boot clock of this machine, which also advances while the machine is suspended; sleep() blocks the thread.
class SystemClock : public Clock {
public:
    Common::Instant now() override;
    void sleep(std::chrono::milliseconds) override;
};

} // namespace Ctl
