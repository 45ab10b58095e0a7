#include "Jobs/Runtime/Events.h"

#include "Kernel/Logging.h"

namespace Jobs {

void writeEvent(const std::string& component, const LogEvent& event)
{
    Kernel::LogContext context;
    context.requestId = event.id;
    for (const auto& [name, value] : event.fields)
        context.fields.push_back({ name, value });
    Kernel::Logging::write(Kernel::LogLevel::Info, component, event.event, context);
}

} // namespace Jobs
