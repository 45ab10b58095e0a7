/// Entry hosts that are killed, frozen or stopped under load.

#include "Process/FleetLoad.h"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>

using namespace ProcessTests;

namespace {

const std::vector<Question> bothKinds { { "lesson-booking", false, 50 }, { "roster-reading", true, 50 }, { "roster-reading", false, 50 } };

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

TEST_CASE("a killed entry host: nothing runs twice, and each try has one answer or a broken connection")
{
    Fleet fleet({ .basePort = 28000, .hosts = 4, .dataCentres = 2 });
    FleetLoad load(fleet.allHosts(), 24, bothKinds);
    REQUIRE(load.more(200));
    FleetHost& killed = fleet.ownerOf("desk");
    killed.process.kill();
    CHECK(load.more(400));
    fleet.startHost(killed);
    CHECK(eventually([&] { return fleet.ready(killed); }));
    CHECK(load.more(100));
    const auto asked = load.stop();
    const Tally sum = tally(asked, fleet.runs());
    MESSAGE(sum.text());
    CHECK(sum.promisesHold());
    CHECK(sum.broken > 0);
    // The fleet is whole again: each host, the restarted one too, gets its requests answered.
    CHECK(eventually([&] {
        const auto again = askAtOnce(fleet.allHosts(), std::vector<Question>(12), [] {});
        return tally(again, fleet.runs()).done == again.size();
    }));
}

TEST_CASE("an entry host frozen beyond its view lease with work queued and running does no harm when it wakes up")
{
    Fleet fleet({ .basePort = 28100 });
    // More at once than the slots of the pool: some wait in the queue of its owner.
    FleetLoad load(fleet.allHosts(), 72, { { "lesson-booking", false, 250 }, { "roster-reading", false, 250 } });
    REQUIRE(load.more(100));
    FleetHost& frozen = fleet.ownerOf("desk");
    frozen.process.signal(SIGSTOP);
    const bool removed = eventually([&] {
        return std::all_of(fleet.hosts().begin(), fleet.hosts().end(), [&](const auto& it) { return it.name == frozen.name || !inView(it, frozen.name); });
    });
    CHECK(load.more(40));
    // The freeze lasts until a caller gave up on the frozen host, however fast the others removed it.
    const bool abandoned = eventually([&] { return load.broken() > 0; });
    frozen.process.signal(SIGCONT);
    CHECK(removed);
    CHECK(abandoned);
    CHECK(load.more(200));
    CHECK(eventually([&] { return fleet.ready(frozen); }));
    const auto asked = load.stop();
    const Tally sum = tally(asked, fleet.runs());
    MESSAGE(sum.text());
    CHECK(sum.promisesHold());
    CHECK(sum.broken > 0); // Callers that waited on the frozen host.
}

TEST_CASE("a graceful stop answers every request in flight in full, and the host isn't ready from then on")
{
    Fleet fleet({ .basePort = 28200 });
    FleetHost& stopped = fleet.ownerOf("desk");
    const std::vector<Question> questions(18, { "lesson-booking", false, 500 });
    bool everReady = false;
    std::optional<int> code;
    const auto asked = askAtOnce(fleet.allHosts(), questions, [&] {
        CHECK(eventually([&] { return fleet.runningInAll() == questions.size(); }, std::chrono::seconds(10)));
        stopped.process.signal(SIGTERM);
        CHECK(eventually([&] { return !fleet.ready(stopped); }));
        std::thread watcher([&] { code = stopped.process.exitCode(); });
        while (get(stopped.url("/ready")).whole)
            everReady = fleet.ready(stopped) || everReady;
        watcher.join();
    });
    CHECK_FALSE(everReady);
    CHECK(code == 0);
    const Tally sum = tally(asked, fleet.runs());
    MESSAGE(sum.text());
    CHECK(sum.promisesHold());
    CHECK(sum.done == questions.size());
}
