/// A short soak test with a fixed seed for CI: real host processes under injected faults.

#include "SoakFleet.h"

#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <string>
#include <unistd.h>

namespace {

/// Depends on the process id, so that concurrent test runs on one machine rarely share ports.
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
    if (result.violations.empty())
        std::filesystem::remove_all(settings.logDirectory);
    return result;
}

} // namespace

TEST_CASE("accepted jobs complete and no task runs twice despite killed, frozen and stopped hosts, store outages, crashed workers and bad connections")
{
    const auto result = runSeed(1);
    for (const auto& it : result.violations)
        FAIL_CHECK(it);
    CHECK(result.accepted > 0);
}
