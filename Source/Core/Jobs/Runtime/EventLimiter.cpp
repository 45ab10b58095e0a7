#include "Jobs/Runtime/EventLimiter.h"

#include "Jobs/Runtime/Events.h"

#include <utility>

namespace Jobs {

namespace {

    constexpr std::chrono::seconds minimumInterval { 1 };

} // namespace

EventLimiter::EventLimiter(std::string component)
    : m_component(std::move(component))
{
}

void EventLimiter::write(LogEvent event, Common::Instant now)
{
    auto& kind = m_kinds[event.event];
    if (kind.writtenAt != Common::Instant() && now - kind.writtenAt < minimumInterval) {
        ++kind.suppressed;
        return;
    }
    kind.writtenAt = now;
    if (const auto suppressed = std::exchange(kind.suppressed, 0); suppressed > 0)
        event.fields.emplace_back("suppressed", std::to_string(suppressed));
    writeEvent(m_component, event);
}

} // namespace Jobs
