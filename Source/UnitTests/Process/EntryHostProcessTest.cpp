/// Entry hosts that are killed, frozen or gracefully stopped under load.

#include "Process/FleetLoad.h"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>

using namespace ProcessTests;

namespace {

constexpr std::chrono::minutes heldRequestTimeout { 2 };

const std::vector<RequestKind> mixedKinds { { "lesson-booking", false, 50 }, { "roster-reading", true, 50 }, { "roster-reading", false, 50 } };

bool inView(const FleetHost& viewer, const std::string& host)
{
    const Json::Value status = get(viewer.operatorUrl("/v1/status")).json();
    REQUIRE_FALSE(status["members"].empty());
    for (const auto& it : status["members"]) {
        if (it == host)
            return true;
    }
    return false;
}

} // namespace

TEST_CASE("after an entry host is killed, no non-idempotent request runs twice and every attempt ends by an answer or a broken connection")
{
    Fleet fleet({ .basePort = 28000, .hosts = 4, .dataCentres = 2 });
    FleetLoad load(fleet.allHosts(), 24, mixedKinds);
    REQUIRE(load.waitForMore(200));
    FleetHost& killed = fleet.ownerOf("desk");
    killed.process.kill();
    CHECK(load.waitForMore(400));
    fleet.startHost(killed);
    CHECK(eventually([&] { return fleet.ready(killed); }));
    CHECK(load.waitForMore(100));
    const auto records = load.stop();
    const Tally sum = tally(records, fleet.runs());
    MESSAGE(sum.text());
    CHECK(sum.hasNoViolations());
    CHECK(sum.broken > 0);
    // The fleet has recovered: all hosts, including the restarted one, answer their requests.
    CHECK(eventually([&] {
        const auto afterRestart = sendAtOnce(fleet.allHosts(), std::vector<RequestKind>(12), [](const auto&) {});
        return tally(afterRestart, fleet.runs()).done == afterRestart.size();
    }));
}

TEST_CASE("an entry host that was frozen beyond its view lease with requests queued and running violates no guarantee when it resumes")
{
    Fleet fleet({ .basePort = 28100 });
    // More concurrent requests than the pool has slots, so that some wait in its owner's queue.
    FleetLoad load(fleet.allHosts(), 72, { { "lesson-booking", false, 250 }, { "roster-reading", false, 250 } });
    REQUIRE(load.waitForMore(100));
    FleetHost& frozen = fleet.ownerOf("desk");
    frozen.process.signal(SIGSTOP);
    const bool removed = eventually([&] {
        return std::all_of(fleet.hosts().begin(), fleet.hosts().end(), [&](const auto& it) { return it.name == frozen.name || !inView(it, frozen.name); });
    });
    CHECK(load.waitForMore(40));
    // Freezes until a caller has given up on the host, however soon the others remove it from the view.
    const bool abandoned = eventually([&] { return load.broken() > 0; });
    frozen.process.signal(SIGCONT);
    CHECK(removed);
    CHECK(abandoned);
    CHECK(load.waitForMore(200));
    CHECK(eventually([&] { return fleet.ready(frozen); }));
    const auto records = load.stop();
    const Tally sum = tally(records, fleet.runs());
    MESSAGE(sum.text());
    CHECK(sum.hasNoViolations());
    CHECK(sum.broken > 0); // Attempts of callers that waited for the frozen host.
}

TEST_CASE("a graceful stop answers every request in flight, and the host reports not ready until it exits")
{
    Fleet fleet({ .basePort = 28200 });
    FleetHost& stopped = fleet.ownerOf("desk");
    // Runs end when the test lets them, because callers may start further apart than any fixed run time.
    const std::vector<RequestKind> kinds(18, { "lesson-booking", false, 50, heldRequestTimeout });
    bool everReady = false;
    std::optional<int> code;
    fleet.setRunFault("hold");
    const auto records = sendAtOnce(fleet.allHosts(), kinds, [&](const auto&) {
        CHECK(eventually([&] { return fleet.runningTotal() == kinds.size(); }, std::chrono::seconds(10)));
        stopped.process.signal(SIGTERM);
        CHECK(eventually([&] { return !fleet.ready(stopped); }));
        // A host that doesn't wait exits before it logs a second event.
        CHECK(eventually([&] {
            everReady = fleet.ready(stopped) || everReady;
            return fleet.logCount(stopped, "waiting for requests in flight") > 1;
        }));
        CHECK(fleet.runningTotal() == kinds.size());
        fleet.setRunFault("none");
        std::thread watcher([&] { code = stopped.process.exitCode(); });
        while (get(stopped.url("/ready")).complete)
            everReady = fleet.ready(stopped) || everReady;
        watcher.join();
    });
    CHECK_FALSE(everReady);
    CHECK(code == 0);
    const Tally sum = tally(records, fleet.runs());
    MESSAGE(sum.text());
    CHECK(sum.hasNoViolations());
    CHECK(sum.done == kinds.size());
}
