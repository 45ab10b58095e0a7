/// Tests of the record by which a holder of the fleet duty goes on from the peaks that the one before detected.

#include "Jobs/Fleet/PeakRecord.h"
#include "EventLog.h"
#include "Jobs/Runtime/ForecastStore.h"
#include "Jobs/Runtime/StoreKeys.h"
#include "PeakFleet.h"

#include <doctest/doctest.h>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

const std::string forecastKey = StoreKeys::forecast;

/// A holder that has seen peaks of a, b and c, 10 s apart; that of d is due 30 s after the first.
struct ThreePeaks : PeakFleet {
    ThreePeaks()
    {
        acquire("host-0");
        runFor(3s);
        for (const std::string pool : { "a", "b", "c" })
            peak(pool, 10s);
    }

    std::string record() { return store.state.read(forecastKey, false, store.now()).values.at(0).value; }
};

} // namespace

TEST_CASE("peaks: a record gives another host the same peaks, at their age")
{
    const Common::Moment at { Instant(1h), Common::WallTime(1700000000s) };
    const std::vector<Peak> peaks { { "a", at.now - 20s, 1500000 }, { "b:2", at.now - 10s, 900000 }, { "c", at.now - 150ms, 40000 } };
    const Common::Moment later { Instant(5min), at.wall + 3s };
    const auto record = parsePeaks(formatPeaks(peaks, at), later);
    REQUIRE(record.peaks.size() == 3);
    CHECK(record.peaks[0].pool == "a");
    CHECK(record.peaks[0].startsAt == later.now - 23s);
    CHECK(record.peaks[1].pool == "b:2");
    CHECK(record.peaks[1].milliCores == 900000);
    CHECK(record.peaks[2].startsAt == later.now - 3150ms);
}

TEST_CASE("peaks: a record that can't be read, is from the future or too old is left out")
{
    const Common::Moment at { Instant(1h), Common::WallTime(1700000000s) };
    for (const std::string text : { "", "2 1:2:a", "1 x", "1 12:", "1 12:13", "1 12:13:", "1 -5:3:a", "1 12:1e9:a", "1 99999999999999999999:1:a", "1  12:13:a" }) {
        CAPTURE(text);
        const auto record = parsePeaks(text, at);
        CHECK(record.peaks.empty());
        CHECK(std::string(record.fault) == "unreadable");
    }
    CHECK(std::string(parsePeaks("1", at).fault) == "empty");
    const auto recordOf = [&at](milliseconds age) { return formatPeaks({ { "a", at.now - age, 1000 } }, at); };
    CHECK(std::string(parsePeaks(recordOf(-5s), at).fault) == "from-the-future");
    CHECK(std::string(parsePeaks(recordOf(11min), at).fault) == "too-old");
    // Clocks of two hosts differ a little.
    REQUIRE(parsePeaks(recordOf(-500ms), at).peaks.size() == 1);
    CHECK(parsePeaks(recordOf(-500ms), at).peaks[0].startsAt == at.now);
}

TEST_CASE("a new holder of the fleet duty goes on from the peaks of the one before")
{
    const EventLog log;
    ThreePeaks fleet;
    const auto expectedBefore = log.all("peak-expected").size();
    fleet.acquire("host-1");
    fleet.runFor(500ms);
    CHECK(log.last("forecast-inherited").id == "host-1");
    CHECK(log.last("forecast-inherited").number("peaks") == 3);
    REQUIRE(log.all("peak-expected").size() == expectedBefore + 1);
    CHECK(log.last("peak-expected").id == "d");
    CHECK(log.last("peak-expected").number("milliCores") > 1000000);
    fleet.peak("d", 5s);
    CHECK(std::abs(log.last("peak-started").number("errorMs")) < 1000);
    // The next holder knows the peak that began last, and takes its demand for that peak and not for another one.
    fleet.demands["d"] = 1500000;
    fleet.acquire("host-2");
    fleet.runFor(2s);
    CHECK(log.last("forecast-inherited").number("peaks") == 4);
    CHECK(log.all("peak-started").size() == 4);
    CHECK(log.last("peak-expected").id == "a");
}

TEST_CASE("a holder of the fleet duty that finds no record, or an odd one, expects nothing and says so")
{
    const std::vector<std::pair<std::string, std::string>> records { { "", "" }, { "1 what is this", "unreadable" }, { "1 999999999999999:5:a", "from-the-future" }, { "1 1000:500000:a", "too-old" } };
    for (const auto& it : records) {
        CAPTURE(it.first);
        const EventLog log;
        PeakFleet fleet;
        fleet.loop.runFor(1s);
        if (!it.first.empty())
            fleet.store.put(forecastKey, it.first);
        fleet.acquire("host-0");
        fleet.runFor(20s);
        CHECK(log.all("peak-expected").empty());
        CHECK(log.all("forecast-inherited").empty());
        const auto leftOut = log.all("forecast-left-out");
        REQUIRE(leftOut.size() == (it.first.empty() ? 0 : 1));
        if (!it.first.empty())
            CHECK(leftOut[0].at("reason") == it.second);
    }
}

TEST_CASE("the holder of the fleet duty writes its peaks to the store once a peak")
{
    PeakFleet fleet;
    fleet.acquire("host-0");
    fleet.runFor(3s);
    const auto before = fleet.store.writes;
    for (const std::string pool : { "a", "b", "c", "d", "a" })
        fleet.peak(pool, 10s);
    CHECK(fleet.store.writes - before == 5);
}

TEST_CASE("a peak that begins while the store is silent is dated from its beginning, and is in the record once the store answers")
{
    const EventLog log;
    ThreePeaks fleet;
    fleet.mayOrder = false;
    fleet.store.isDown = true;
    fleet.peak("d", 5s);
    CHECK(log.last("peak-started").id == "d");
    CHECK(std::abs(log.last("peak-started").number("errorMs")) < 1000);
    fleet.store.isDown = false;
    fleet.runFor(10s);
    CHECK(fleet.record().find(":d") != std::string::npos);
}

TEST_CASE("a holder of the fleet duty that has lost it doesn't replace the record of the next one")
{
    ThreePeaks fleet;
    PeakForecast forecast;
    FakeStorePort port(fleet.store, "host-9");
    fleet.store.put(Ownership::keyOf("~fleet"), "host-9 1");
    ForecastStore former({ fleet.loop, port, "host-9", forecast, {} }, static_cast<Fence>(fleet.store.state.revision()));
    former.begin();
    fleet.runFor(100ms);
    fleet.acquire("host-1");
    fleet.runFor(100ms);
    const auto record = fleet.record();
    for (auto time = 0ms; time < 4s; time += 200ms)
        forecast.observe("a", time < 2s ? 1000 : 900000, fleet.loop.now() + time);
    former.update();
    fleet.runFor(2s);
    CHECK(fleet.record() == record);
}

namespace {

/// Pools "desk" and "camp" that peak in turns, every 8 s.
struct TurnsFleet : JobFleet {
    TurnsFleet()
        : JobFleet(3, 4, 8)
    {
        auto queue = configuration.queues.front();
        queue.name = "camps";
        queue.prefix = "/camps/";
        queue.pool = "camp";
        configuration.queues.push_back(queue);
        configuration.pools.push_back({ "camp", false, true });
        for (unsigned n = 0; n < 4; ++n) {
            const auto id = "c" + std::to_string(n);
            addWorker(id, "n" + std::to_string(n), 8)->entry.pool = "camp";
            machines["n" + std::to_string(n)].pool = "camp";
            publishWorker(id);
        }
        settle();
        runFor(2s);
    }

    void peak(const std::string& path)
    {
        Ports::JobCall it;
        it.verb = Ports::JobVerb::Submit;
        it.host = "desk.example";
        it.path = path + jobId(++jobs);
        it.callerTimeout = 3s;
        it.spec = oneStep(100);
        hosts.begin()->second->node->onJobCall(std::move(it), [this](const auto& answer) { accepted += answer.outcome == Ports::JobOutcome::Accepted ? 1 : 0; });
    }

    unsigned jobs = 0;
    unsigned accepted = 0;
};

} // namespace

TEST_CASE("a day on which the fleet duty changes hands between peaks and during one keeps its forecast")
{
    const EventLog log;
    TurnsFleet fleet;
    for (unsigned turn = 0; turn < 8; ++turn) {
        fleet.peak(turn % 2 == 0 ? "/bookings/" : "/camps/");
        fleet.runFor(turn == 4 ? 700ms : 4s);
        if (turn == 2 || turn == 4) {
            const auto holder = fleet.ownerOf("~fleet");
            REQUIRE(!holder.empty());
            fleet.killHost(holder);
            fleet.addHost("host-" + std::to_string(3 + turn));
        }
        fleet.runFor(turn == 4 ? 7300ms : 4s);
    }
    CHECK(fleet.accepted == 8);
    CHECK(log.all("forecast-inherited").size() == 2);
    const auto started = log.all("peak-started");
    REQUIRE(started.size() == 8);
    for (std::size_t n = 0; n < started.size(); ++n) {
        CAPTURE(n);
        CHECK(started[n].id == (n % 2 == 0 ? "desk" : "camp"));
        if (n > 2)
            CHECK(std::abs(started[n].number("errorMs")) <= 800);
    }
}
