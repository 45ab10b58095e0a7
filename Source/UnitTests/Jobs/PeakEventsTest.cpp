/// Log events and metrics of the forecast of peaks.

#include "EventLog.h"
#include "Jobs/Runtime/JobMetrics.h"
#include "PeakFleet.h"

#include <doctest/doctest.h>

using namespace std::chrono_literals;

TEST_CASE("the holder of the fleet duty logs each peak and each forecast once")
{
    const EventLog log;
    PeakFleet fleet;
    fleet.acquire("host-0");
    fleet.runFor(3s);
    for (const std::string pool : { "a", "b", "c" })
        fleet.peak(pool, 10s);
    fleet.runFor(1s);
    fleet.peak("d", 5s);
    const auto started = log.all("peak-started");
    REQUIRE(started.size() == 4);
    CHECK(started[0].component == "fleet");
    CHECK(started[0].id == "a");
    CHECK(started[0].at("gapMs") == "none");
    CHECK(started[1].number("gapMs") > 9700);
    CHECK(started[1].number("gapMs") < 10300);
    CHECK(started[3].at("expectedPool") == "d");
    CHECK(started[3].number("errorMs") > 700);
    CHECK(started[3].number("errorMs") < 1300);
    CHECK(log.all("peak-expected").size() == 2);
    CHECK(log.all("peak-expected").front().id == "d");
    CHECK(fleet.forecastErrors.size() == 1);
}

TEST_CASE("metrics: the error of a forecast counts in either direction")
{
    const auto metrics = Jobs::JobMetrics::create();
    metrics->observeForecastError(-1500ms);
    metrics->observeForecastError(1500ms);
    CHECK(metrics->exposition().find("marigoldstile_peak_forecast_error_seconds_sum 3") != std::string::npos);
}
