#pragma once

/// Keeps a fault that repeats from filling the log.

#include "Common/Time.h"
#include "Jobs/Decision/PoolOutput.h"

#include <map>
#include <string>
#include <string_view>

namespace Jobs {

/// Writes each kind of event once a second at most, with the number of those left out before it. Used on one thread.
class EventLimiter {
public:
    /// `component` as for writeEvent(). Events are of one kind when their names are the same.
    explicit EventLimiter(std::string component);

    void write(LogEvent, Common::Instant now);

private:
    struct Kind {
        Common::Instant writtenAt {};
        unsigned leftOut = 0;
    };

    std::string m_component;
    std::map<std::string_view, Kind> m_kinds; ///< Names of events are literals.
};

} // namespace Jobs
