#pragma once

/// Rate limit for events of faults that repeat, so that they don't fill the log.

#include "Common/Time.h"
#include "Jobs/Decision/PoolOutput.h"

#include <map>
#include <string>
#include <string_view>

namespace Jobs {

/// Writes each kind of event at most once a second. The next event written after suppressed ones has their number in the field
/// "suppressed". Not thread-safe.
class EventLimiter {
public:
    /// `component` is that of writeEvent(). Events are of the same kind when their names are equal.
    explicit EventLimiter(std::string component);

    /// Writes the event, or counts it as suppressed.
    void write(LogEvent, Common::Instant now);

private:
    struct Kind {
        Common::Instant writtenAt {};
        unsigned suppressed = 0;
    };

    std::string m_component;
    std::map<std::string_view, Kind> m_kinds; ///< By event name; the views are safe because names are string literals.
};

} // namespace Jobs
