#pragma once

/// Structured logging through log4cxx, configured in code.

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

/// A named value of an event, in addition to those of the context.
struct LogField {
    std::string name;
    std::string value;
};

/// Context of an event; unset members are omitted.
struct LogContext {
    std::string requestId;
    std::optional<std::uint64_t> revision; ///< Of the configuration.
    std::string duty; ///< Name of the duty under whose lease the event happened.
    std::vector<LogField> fields;
};

/// Configures log4cxx for the process; one instance at a time. Events may be written from any thread while it exists.
class Logging {
public:
    /// Opens the console or the log file. Fails when the level is unknown or the file can't be written.
    static Common::Result<std::unique_ptr<Logging>, KernelError> create(const LoggingSection&);

    /// Flushes and closes the output.
    ~Logging();
    Logging(const Logging&) = delete;
    Logging& operator=(const Logging&) = delete;

    /// True when the settings ask for buffered events and an EventWriter runs. The caller then formats its events as JSON
    /// and passes them to writeEventLine().
    static bool hasEventWriter();
    /// Queues one line of JSON for the EventWriter; does nothing when there is none.
    static void writeEventLine(std::string_view json);

    /// False when events of this level are dropped, so that their context needn't be formatted.
    static bool isEnabled(LogLevel);

    /// Writes one event to the logger of a component, for example "moves". Events below the configured level are dropped.
    static void write(LogLevel, const std::string& component, const std::string& message, const LogContext& = {});

private:
    Logging() = default;

    std::unique_ptr<EventWriter> m_events;
};

} // namespace Kernel
