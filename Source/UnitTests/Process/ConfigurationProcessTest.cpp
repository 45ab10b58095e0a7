/// The operators' configuration during an outage of the store, and when two operators publish at the same time.

#include "Process/FleetLoad.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace ProcessTests;

namespace {

constexpr int exitFailed = 1;
constexpr int exitConflict = 4;

} // namespace

TEST_CASE("while the store is down, requests are served, publishing fails, restarted hosts stay unready and no host reverts to an older revision")
{
    Fleet fleet({ .basePort = 28600 });
    auto& hosts = fleet.hosts();
    const auto revision = fleet.revision(hosts[0]);
    REQUIRE(revision > 0);
    FleetLoad load({ &hosts[2] }, 8, { { "lesson-booking", false, 20 }, { "roster-reading", true, 20 } });
    REQUIRE(load.waitForMore(50));
    fleet.setStoreFault("down");
    CHECK(load.waitForMore(300));
    const std::string objects = fleet.writeObjects(2);
    CHECK(fleet.ctl({ "publish", objects, "--reason", "store down", "--timeout", "5" }) == exitFailed);
    const auto records = load.stop();
    const Tally sum = tally(records, fleet.runs());
    MESSAGE(sum.text());
    CHECK(sum.hasNoViolations());
    CHECK(sum.done == records.size());
    for (auto* it : { &hosts[0], &hosts[1] }) {
        it->process.kill();
        fleet.startHost(*it);
        // The host answers, but must not become ready in 100 polls.
        CHECK(eventually([&] { return get(it->url("/ready")).complete; }));
        for (unsigned i = 0; i < 100; ++i) {
            CHECK_FALSE(fleet.ready(*it));
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
    }
    CHECK(fleet.revision(hosts[2]) == revision);
    fleet.setStoreFault("up");
    CHECK(eventually([&] { return fleet.allReady(); }));
    for (const auto& it : hosts)
        CHECK(fleet.revision(it) == revision);
    CHECK(fleet.ctl({ "publish", objects, "--reason", "store up", "--wait" }) == 0);
    for (const auto& it : hosts)
        CHECK(fleet.revision(it) == revision + 1);
}

TEST_CASE("when two operators publish on the same base, exactly one succeeds and the other gets a conflict")
{
    Fleet fleet({ .basePort = 28700 });
    for (unsigned round = 0; round < 5; ++round) {
        const auto base = fleet.revision(fleet.hosts()[0]);
        const auto publish = [&](unsigned weight) {
            return fleet.startCtl({ "publish", fleet.writeObjects(weight), "--base", std::to_string(base), "--reason", "race" });
        };
        Process first = publish(10 + 2 * round);
        Process second = publish(11 + 2 * round);
        const int codes[] = { first.exitCode().value_or(-1), second.exitCode().value_or(-1) };
        CHECK_MESSAGE(std::min(codes[0], codes[1]) == 0, fleet.ctlOutput());
        CHECK(std::max(codes[0], codes[1]) == exitConflict);
        REQUIRE(eventually([&] {
            return std::all_of(fleet.hosts().begin(), fleet.hosts().end(), [&](const auto& it) { return fleet.revision(it) == base + 1; });
        }));
    }
}
