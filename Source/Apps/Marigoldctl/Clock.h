#pragma once

/// Time as commands see it, so that waits can be tested without waiting.

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

/// The clock of this machine.
class SystemClock : public Clock {
public:
    Common::Instant now() override;
    void sleep(std::chrono::milliseconds) override;
};

} // namespace Ctl
