#pragma once

/// Reads the events that the hosts of a test log.

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Kernel {
class Logging;
}

/// One logged event.
struct LoggedEvent {
    std::string component;
    std::string event;
    std::string id;
    std::map<std::string, std::string> fields;

    /// Value of a field; fails the test if it is missing.
    const std::string& at(const std::string& field) const;
    /// The same as a number.
    long number(const std::string& field) const { return std::stol(at(field)); }
};

/// Redirects the process's log to a temporary file during its lifetime. At most one at a time.
class EventLog {
public:
    EventLog();
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    /// All events of that name logged so far, in order.
    std::vector<LoggedEvent> all(const std::string& event) const;
    /// The newest of these; fails the test if there is none.
    LoggedEvent last(const std::string& event) const;
    /// Names of the events with that id logged so far, in order.
    std::vector<std::string> namesForId(const std::string& id) const;

private:
    /// Events of the lines that contain the text in quotes.
    std::vector<LoggedEvent> read(const std::string& text) const;

    std::filesystem::path m_directory;
    std::unique_ptr<Kernel::Logging> m_logging;
};
