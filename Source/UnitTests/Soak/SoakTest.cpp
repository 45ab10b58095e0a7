/// Short seeded soaks for CI: the real program as processes, faults from outside.

#include "SoakFleet.h"

#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <string>
#include <unistd.h>

namespace {

/// Two runs of the tests on one machine use other ports.
unsigned firstPort()
{
    constexpr unsigned lowest = 20000;
    constexpr unsigned runs = 400;
    constexpr unsigned portsEach = 20;
    return lowest + static_cast<unsigned>(getpid()) % runs * portsEach;
}

SoakResult runSeed(std::uint64_t seed)
{
    std::signal(SIGPIPE, SIG_IGN);
    SoakSettings settings;
    settings.seed = seed;
    settings.faults = std::chrono::seconds(6);
    settings.firstPort = firstPort();
    settings.program = MARIGOLD_HOST_PROGRAM;
    settings.logDirectory = (std::filesystem::temp_directory_path() / ("marigold-soak-" + std::to_string(getpid()) + "-" + std::to_string(seed))).string();
    std::filesystem::create_directories(settings.logDirectory);
    auto result = SoakFleet(settings).run();
    if (result.broken.empty())
        std::filesystem::remove_all(settings.logDirectory);
    return result;
}

} // namespace

TEST_CASE("jobs survive kills, freezes, stops, store outages, crashed workers and bad connections: accepted ones complete, none runs twice")
{
    const auto result = runSeed(1);
    for (const auto& it : result.broken)
        FAIL_CHECK(it);
    CHECK(result.accepted > 0);
}
