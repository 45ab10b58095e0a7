#include "Jobs/Runtime/Events.h"

#include "Common/Time.h"
#include "Kernel/Logging.h"

#include <array>
#include <cstdio>
#include <ctime>

namespace Jobs {

namespace {

    void appendQuoted(std::string& line, const std::string& text)
    {
        line += '"';
        for (const char c : text) {
            if (c == '"' || c == '\\')
                line += '\\';
            line += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
        }
        line += '"';
    }

    void appendField(std::string& line, const char* name, const std::string& value)
    {
        line += ",\"";
        line += name;
        line += "\":";
        appendQuoted(line, value);
    }

    /// The current time as ISO 8601 in UTC, with milliseconds.
    std::string formatUtcTime()
    {
        const auto now = Common::wallNow().time_since_epoch().count();
        const auto seconds = static_cast<std::time_t>(now / 1000);
        std::tm parts {};
        gmtime_r(&seconds, &parts);
        std::array<char, 40> buf {};
        const auto n = std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%S", &parts);
        std::snprintf(buf.data() + n, buf.size() - n, ".%03dZ", static_cast<int>(now % 1000));
        return buf.data();
    }

    /// Formats the JSON here, as the logging library's JSON layout took a quarter of the processor time of a busy pool owner;
    /// see docs/design/jobs.md.
    std::string formatLine(const std::string& component, const LogEvent& event)
    {
        std::string line = "{\"time\":\"" + formatUtcTime() + "\"";
        appendField(line, "component", component);
        appendField(line, "event", event.event);
        appendField(line, "id", event.id);
        for (const auto& [name, value] : event.fields)
            appendField(line, name, value);
        line += '}';
        return line;
    }

} // namespace

void writeEvent(const std::string& component, const LogEvent& event)
{
    if (Kernel::Logging::hasEventWriter()) {
        Kernel::Logging::writeEventLine(formatLine(component, event));
        return;
    }
    Kernel::LogContext context;
    context.requestId = event.id;
    for (const auto& [name, value] : event.fields)
        context.fields.push_back({ name, value });
    Kernel::Logging::write(Kernel::LogLevel::Info, component, event.event, context);
}

} // namespace Jobs
