#include "Kernel/Logging.h"

#include <array>
#include <atomic>
#include <fstream>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/helpers/transcoder.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

namespace Kernel {

namespace {

    constexpr const char* loggerPrefix = "marigoldstile.";
    constexpr const char* textPattern = "%d{yyyy-MM-dd HH:mm:ss,SSS} %-5p %c %m%J%n";

    struct LevelEntry {
        const char* name;
        log4cxx::LevelPtr (*level)();
    };

    /// Indexed by LogLevel.
    const std::array<LevelEntry, 5> levels { {
        { "trace", log4cxx::Level::getTrace },
        { "debug", log4cxx::Level::getDebug },
        { "info", log4cxx::Level::getInfo },
        { "warn", log4cxx::Level::getWarn },
        { "error", log4cxx::Level::getError },
    } };

    log4cxx::LevelPtr levelOf(LogLevel level)
    {
        return levels.at(static_cast<std::size_t>(level)).level();
    }

    std::optional<LogLevel> levelNamed(const std::string& name)
    {
        for (std::size_t i = 0; i < levels.size(); ++i) {
            if (levels.at(i).name == name)
                return static_cast<LogLevel>(i);
        }
        return std::nullopt;
    }

    log4cxx::LogString logString(const std::string& text)
    {
        log4cxx::LogString converted;
        log4cxx::helpers::Transcoder::decodeUTF8(text, converted);
        return converted;
    }

    log4cxx::LayoutPtr makeLayout(bool json)
    {
        if (json)
            return std::make_shared<log4cxx::JSONLayout>();
        return std::make_shared<log4cxx::PatternLayout>(logString(textPattern));
    }

    log4cxx::AppenderPtr makeAppender(const LoggingSection& section)
    {
        const auto layout = makeLayout(section.json);
        if (!section.file.empty())
            return std::make_shared<log4cxx::FileAppender>(layout, logString(section.file), true);
        const auto target = section.standardOutput ? log4cxx::ConsoleAppender::getSystemOut() : log4cxx::ConsoleAppender::getSystemErr();
        return std::make_shared<log4cxx::ConsoleAppender>(layout, target);
    }

    constexpr std::size_t bytesPerEvent = 256; ///< Length of a long event line.

    /// Lowest level that is written. Without a Logging there is no output for lower ones either.
    std::atomic<LogLevel> lowestLevel { LogLevel::Info };

    /// Set while a Logging with buffered events exists.
    std::atomic<EventWriter*> eventWriter { nullptr };

    /// Checked first, because log4cxx reports a file that it can't open only by a printed warning.
    bool canWrite(const std::string& path)
    {
        return std::ofstream(path, std::ios::app).good();
    }

    /// Sets the diagnostic context of one event and removes it at the end of the scope.
    class ContextScope {
    public:
        explicit ContextScope(const LogContext& context)
        {
            add("requestId", context.requestId);
            add("revision", context.revision ? std::to_string(*context.revision) : std::string());
            add("duty", context.duty);
            for (const auto& field : context.fields)
                add(field.name, field.value);
        }

        ~ContextScope()
        {
            for (const auto& name : m_names)
                log4cxx::MDC::remove(name);
        }

        ContextScope(const ContextScope&) = delete;
        ContextScope& operator=(const ContextScope&) = delete;

    private:
        void add(const std::string& name, const std::string& value)
        {
            if (value.empty())
                return;
            log4cxx::MDC::putLS(logString(name), logString(value));
            m_names.push_back(name);
        }

        std::vector<std::string> m_names;
    };

} // namespace

Common::Result<std::unique_ptr<Logging>, KernelError> Logging::create(const LoggingSection& section)
{
    const auto level = levelNamed(section.level);
    if (!level)
        return KernelError("unknown log level \"" + section.level + "\"");
    if (!section.file.empty() && !canWrite(section.file))
        return KernelError("the log file " + section.file + " can't be written");
    const auto root = log4cxx::Logger::getRootLogger();
    root->removeAllAppenders();
    root->addAppender(makeAppender(section));
    root->setLevel(levelOf(*level));
    lowestLevel = *level;
    auto logging = std::unique_ptr<Logging>(new Logging);
    if (section.bufferedEvents > 0 && section.json && section.file.empty() && root->isInfoEnabled()) {
        logging->m_events = std::make_unique<EventWriter>(section.standardOutput ? STDOUT_FILENO : STDERR_FILENO, section.bufferedEvents * bytesPerEvent);
        eventWriter = logging->m_events.get();
    }
    return logging;
}

bool Logging::hasEventWriter()
{
    return eventWriter.load() != nullptr;
}

void Logging::writeEventLine(std::string_view json)
{
    if (auto* writer = eventWriter.load())
        writer->write(json);
}

Logging::~Logging()
{
    eventWriter = nullptr;
    log4cxx::LogManager::shutdown();
}

bool Logging::isEnabled(LogLevel level)
{
    return level >= lowestLevel.load();
}

void Logging::write(LogLevel level, const std::string& component, const std::string& message, const LogContext& context)
{
    const auto logger = log4cxx::Logger::getLogger(loggerPrefix + component);
    const auto threshold = levelOf(level);
    if (!logger->isEnabledFor(threshold))
        return;
    const ContextScope scope(context);
    logger->forcedLogLS(threshold, logString(message), log4cxx::spi::LocationInfo::getLocationUnavailable());
}

} // namespace Kernel
