#include "EventLog.h"

#include "Kernel/Logging.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <fstream>
#include <json/json.h>

const std::string& LoggedEvent::at(const std::string& field) const
{
    INFO(event, " has no field ", field);
    REQUIRE(fields.contains(field));
    return fields.at(field);
}

EventLog::EventLog()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "marigoldstile-events-XXXXXX").string();
    REQUIRE(mkdtemp(pattern.data()));
    m_directory = pattern;
    Kernel::LoggingSection section;
    section.file = (m_directory / "events.log").string();
    auto logging = Kernel::Logging::create(section);
    REQUIRE(logging);
    m_logging = logging.take();
}

EventLog::~EventLog()
{
    m_logging.reset();
    std::filesystem::remove_all(m_directory);
}

std::vector<LoggedEvent> EventLog::read(const std::string& text) const
{
    const std::string loggerPrefix = "marigoldstile.";
    std::vector<LoggedEvent> found;
    std::ifstream stream(m_directory / "events.log");
    for (std::string line; std::getline(stream, line);) {
        if (line.find('"' + text + '"') == std::string::npos)
            continue;
        Json::Value value;
        REQUIRE(Json::Reader().parse(line, value));
        LoggedEvent entry { value["logger"].asString().substr(loggerPrefix.size()), value["message"].asString(), {}, {} };
        for (const auto& name : value["context_map"].getMemberNames())
            entry.fields[name] = value["context_map"][name].asString();
        entry.id = entry.fields["requestId"];
        found.push_back(std::move(entry));
    }
    return found;
}

std::vector<LoggedEvent> EventLog::all(const std::string& event) const
{
    auto events = read(event);
    std::erase_if(events, [&event](const auto& it) { return it.event != event; });
    return events;
}

std::vector<std::string> EventLog::namesForId(const std::string& id) const
{
    std::vector<std::string> names;
    for (const auto& it : read(id)) {
        if (it.id == id)
            names.push_back(it.event);
    }
    return names;
}

LoggedEvent EventLog::last(const std::string& event) const
{
    const auto events = all(event);
    INFO("no event ", event);
    REQUIRE(!events.empty());
    return events.back();
}
