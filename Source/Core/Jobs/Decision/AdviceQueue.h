#pragma once

/// Requests to the advice service, which accepts one at a time from each host. Designed for single requests that the service fails
/// on, or that take it down: each failure doubles the time until the request is repeated, while the others go on.

#include "Common/Time.h"
#include "Jobs/Decision/PoolOutput.h"

#include <list>
#include <optional>

namespace Jobs {

class AdviceQueue {
public:
    void add(AdviceRequest);
    /// The request to send now; nothing when one is in flight or none is due. It is in flight until one of the handlers is called.
    std::optional<AdviceRequest> next(Common::Instant now);
    /// The request in flight was answered.
    void onAnswered();
    /// The request in flight wasn't answered; it is repeated later.
    void onFailed(Common::Instant now);
    /// When the next request is due; nothing when there is none or one is in flight.
    std::optional<Common::Instant> nextAt() const;
    std::size_t size() const { return m_waiting.size() + (m_inFlight ? 1 : 0); }

private:
    struct Entry {
        AdviceRequest request;
        unsigned failures = 0;
        Common::Instant dueAt {};
    };

    std::list<Entry> m_waiting;
    std::optional<Entry> m_inFlight;
};

} // namespace Jobs
