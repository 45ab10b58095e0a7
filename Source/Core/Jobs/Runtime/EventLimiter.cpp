#include "Jobs/Runtime/EventLimiter.h"

#include "Jobs/Runtime/Events.h"

#include <utility>

namespace Jobs {

namespace {

    constexpr std::chrono::seconds interval { 1 };

} // namespace

EventLimiter::EventLimiter(std::string component)
    : m_component(std::move(component))
{
}

void EventLimiter::write(LogEvent event, Common::Instant now)
{
    auto& kind = m_kinds[event.event];
    if (kind.writtenAt != Common::Instant() && now - kind.writtenAt < interval) {
        ++kind.leftOut;
        return;
    }
    kind.writtenAt = now;
    if (const auto leftOut = std::exchange(kind.leftOut, 0); leftOut > 0)
        event.fields.emplace_back("suppressed", std::to_string(leftOut));
    writeEvent(m_component, event);
}

} // namespace Jobs
