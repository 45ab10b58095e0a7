#pragma once

/// Structured logs through log4cxx, set up in code.

#include "Common/Result.h"
#include "Kernel/EventWriter.h"
#include "Kernel/KernelError.h"
#include "Kernel/Settings.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Kernel {

/// Severity of an event.
enum class LogLevel {
    Trace,
    Debug,
    Info,
    Warn,
    Error,
};

/// A named value of an event, beside the ones of the context.
struct LogField {
    std::string name;
    std::string value;
};

/// What an event is about; unset members are left out.
struct LogContext {
    std::string requestId;
    std::optional<std::uint64_t> revision; ///< Of the configuration.
    std::string duty; ///< Name of the duty under whose lease the event happened.
    std::vector<LogField> fields;
};

/// Sets up log4cxx for the process. Events may be written from any thread while it lives.
class Logging {
public:
    /// Opens the console or file appender. Fails when the level is unknown or the file can't be written.
    static Common::Result<std::unique_ptr<Logging>, KernelError> create(const LoggingSection&);

    /// Flushes and closes the appender.
    ~Logging();
    Logging(const Logging&) = delete;
    Logging& operator=(const Logging&) = delete;

    /// True when the settings want lines of JSON made elsewhere on the buffered standard output.
    static bool hasEventWriter();
    /// Writes one such line, where they are wanted.
    static void writeEventLine(std::string_view json);

    /// Writes one event to the logger of a component, for example "moves".
    static void write(LogLevel, const std::string& component, const std::string& message, const LogContext& = {});

private:
    Logging() = default;

    std::unique_ptr<EventWriter> m_events;
};

} // namespace Kernel
