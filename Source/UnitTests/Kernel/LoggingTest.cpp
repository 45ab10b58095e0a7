#include "Kernel/Logging.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <json/json.h>
#include <string>
#include <vector>

using Kernel::Logging;
using Kernel::LoggingSection;
using Kernel::LogLevel;

namespace {

/// Temporary directory, removed at the end of the test.
class TemporaryDirectory {
public:
    TemporaryDirectory()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "marigoldstile-log-XXXXXX").string();
        REQUIRE(mkdtemp(pattern.data()));
        m_path = pattern;
    }

    ~TemporaryDirectory() { std::filesystem::remove_all(m_path); }
    TemporaryDirectory(const TemporaryDirectory&) = delete;
    TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;

    std::string file(const std::string& name) const { return (m_path / name).string(); }

private:
    std::filesystem::path m_path;
};

std::vector<Json::Value> readEvents(const std::string& path)
{
    std::vector<Json::Value> events;
    std::ifstream stream(path);
    for (std::string line; std::getline(stream, line);) {
        Json::Value event;
        REQUIRE(Json::Reader().parse(line, event));
        events.push_back(event);
    }
    return events;
}

} // namespace

TEST_CASE("an event is one JSON line with its own context and none left over from earlier events")
{
    const TemporaryDirectory directory;
    LoggingSection section;
    section.file = directory.file("events.log");
    auto logging = Logging::create(section);
    REQUIRE(logging);
    Logging::write(LogLevel::Info, "moves", "host \"a\"\nmoved", { .requestId = "r-1", .revision = 12, .duty = "moves", .fields = { { "pool", "juniors" } } });
    Logging::write(LogLevel::Debug, "moves", "below the level");
    Logging::write(LogLevel::Error, "waves", "stopped");
    logging.take().reset();

    const auto events = readEvents(section.file);
    REQUIRE(events.size() == 2);
    CHECK(events[0]["message"].asString() == "host \"a\"\nmoved");
    CHECK(events[0]["logger"].asString() == "marigoldstile.moves");
    const auto& context = events[0]["context_map"];
    CHECK(context["requestId"].asString() == "r-1");
    CHECK(context["revision"].asString() == "12");
    CHECK(context["duty"].asString() == "moves");
    CHECK(context["pool"].asString() == "juniors");
    CHECK(events[1]["level"].asString() == "ERROR");
    CHECK_FALSE(events[1].isMember("context_map"));
}

TEST_CASE("a log file that can't be written and an unknown level are refused")
{
    const TemporaryDirectory directory;
    LoggingSection section;
    section.file = directory.file("absent/events.log");
    CHECK_FALSE(Logging::create(section));
    section = {};
    section.level = "loud";
    CHECK_FALSE(Logging::create(section));
}
