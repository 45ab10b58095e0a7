#pragma once

/// What the hosts of a test log, as fields.

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

    /// Value of a field that must be there.
    const std::string& at(const std::string& field) const;
    long number(const std::string& field) const { return std::stol(at(field)); }
};

/// Takes the process's log for as long as it lives. At most one at a time.
class EventLog {
public:
    EventLog();
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    /// Events of that name so far, in order.
    std::vector<LoggedEvent> all(const std::string& event) const;
    /// The newest of these; there must be one.
    LoggedEvent last(const std::string& event) const;
    /// Names of the events about an id so far, in order.
    std::vector<std::string> about(const std::string& id) const;

private:
    /// Events of lines that hold the text.
    std::vector<LoggedEvent> read(const std::string& text) const;

    std::filesystem::path m_directory;
    std::unique_ptr<Kernel::Logging> m_logging;
};
