/// Tests of machines that a pool gets, or keeps, for work that can no longer meet its objective, and for work that may crash them.

#include "WaitingPools.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace WaitingPoolsTest;

TEST_CASE("moves: late work gets machines that are idle in other pools or switched off")
{
    for (const std::string idle : { "rush", "off" }) {
        CAPTURE(idle);
        WaitingPools pools;
        pools.addLate("desk", stepOf(12, { 2000, 500, 0 }));
        pools.addMachines("desk", 1);
        pools.addMachines(idle, 5);
        pools.start();
        CHECK(pools.movesTo("desk") == 2);
    }
}

TEST_CASE("moves: work in time goes before late work of another pool")
{
    WaitingPools pools;
    pools.addLate("desk", stepOf(50, { 2000, 500, 0 }));
    pools.addInTime("rush", stepOf(12, { 2000, 500, 0 }));
    pools.addMachines("rush", 1);
    SUBCASE("for a machine that is switched off")
    {
        pools.addMachines("off", 1);
        pools.start();
        CHECK(pools.movesTo("rush") == 1);
    }
    SUBCASE("for a machine that only late work needs")
    {
        pools.addMachines("desk", 5);
        pools.start();
        CHECK(pools.movesTo("rush") == 2);
    }
}

TEST_CASE("moves: late work that needs a label gets its machine after work in time")
{
    auto step = stepOf(1, { 2000, 500, 0 });
    step.requiredLabel = "large";
    WaitingPools pools;
    pools.addLate("desk", step);
    pools.addMachines("desk", 1);
    pools.addMachines("off", 2);
    pools.addMachines("off", 1, { "large", "r-1" });
    pools.addMachines("rush", 1);
    SUBCASE("while it waits alone")
    {
        pools.start();
        CHECK(pools.planText() == "m-3:desk");
    }
    SUBCASE("while work in time waits as well")
    {
        pools.addInTime("rush", step);
        pools.start();
        CHECK(pools.planText() == "m-3:rush");
    }
}

// What a pool keeps for its next peak isn't worth a task that no other machine can take.
TEST_CASE("moves: late work that needs a label gets its machine from a pool that has lost most of its machines")
{
    auto step = stepOf(1, { 2000, 500, 0 });
    step.requiredLabel = "large";
    WaitingPools pools;
    pools.addLate("desk", step);
    pools.addMachines("desk", 1);
    pools.addMachines("rush", 1, { "large", "r-1" });
    pools.addMachines("rush", 29);
    pools.start();
    pools.setRuns("rush", 1);
    REQUIRE(pools.planText().empty());
    pools.setRuns("rush", 0);
    for (unsigned n = 3; n < 31; ++n)
        pools.setDown("m-" + std::to_string(n));
    pools.now += 200ms;
    CHECK(pools.planText() == "m-1:desk");
}

TEST_CASE("moves: late work that needs memory, a rack or a worker of its own gets machines although its pool has free cores")
{
    WaitingPools pools;
    SUBCASE("memory")
    {
        pools.addLate("desk", stepOf(5, { 500, 8000, 0 }));
        pools.addMachines("desk", 1);
        pools.addMachines("off", 3);
        pools.start();
        CHECK(pools.movesTo("desk") == 2);
    }
    SUBCASE("a rack")
    {
        auto step = stepOf(2, { 6000, 500, 0 });
        step.dataRack = "r-2";
        pools.addLate("desk", step);
        pools.addMachines("desk", 1, { "small", "r-2" });
        pools.addMachines("desk", 5);
        pools.addMachines("off", 2);
        pools.addMachines("off", 1, { "small", "r-2" });
        pools.start();
        CHECK(pools.planText() == "m-8:desk");
    }
    SUBCASE("one a worker")
    {
        auto step = stepOf(5, { 500, 500, 0 });
        step.maximumPerWorker = 1;
        pools.addLate("desk", step);
        pools.addMachines("desk", 2);
        pools.addMachines("off", 5);
        pools.start();
        CHECK(pools.movesTo("desk") == 3);
    }
}

TEST_CASE("moves: a pool doesn't lend to late work of another one what its own late work needs")
{
    WaitingPools pools;
    pools.addLate("desk", stepOf(25, { 2000, 500, 0 }));
    pools.addLate("rush", stepOf(100, { 2000, 500, 0 }));
    pools.addMachines("desk", 5);
    pools.addMachines("rush", 1);
    pools.start();
    CHECK(pools.planText().empty());
}

TEST_CASE("moves: machines that late work needs aren't switched off")
{
    WaitingPools pools;
    pools.addLate("desk", stepOf(25, { 2000, 500, 0 }));
    pools.addMachines("desk", 20);
    pools.addMachines("rush", 10);
    pools.addMachines("spare", 1);
    pools.start();
    unsigned most = 0;
    for (auto time = 0ms; time < 22s; time += 200ms) {
        pools.setBusy("rush", time >= 5s && time < 8s ? 100000 : 3000);
        pools.setBusy("spare", time >= 14s && time < 17s ? 100000 : 3000);
        most = std::max(most, pools.movesTo("off"));
        pools.now += 200ms;
    }
    // Of 31 machines at most two others and what the late work needs stay on.
    CHECK(most > 0);
    CHECK(most <= 31 - 2 - 6);
}

TEST_CASE("moves: first starts of a source that crashes its workers get no machine while another pool lacks one")
{
    WaitingPools pools;
    pools.addCrashing("desk", stepOf(100, { 2000, 500, 0 }));
    pools.addLate("rush", stepOf(12, { 2000, 500, 0 }));
    pools.addMachines("rush", 1);
    SUBCASE("that is switched off")
    {
        pools.addMachines("off", 1);
        pools.start();
        CHECK(pools.planText() == "m-1:rush");
    }
    SUBCASE("that is idle in their pool")
    {
        pools.addMachines("desk", 3);
        pools.start();
        CHECK(pools.movesTo("rush") == 2);
    }
}

TEST_CASE("moves: first starts of a source that crashes its workers get machines that nothing else needs")
{
    WaitingPools pools;
    pools.addCrashing("desk", stepOf(12, { 2000, 500, 0 }));
    pools.addMachines("desk", 1);
    pools.addMachines("off", 5);
    pools.start();
    CHECK(pools.movesTo("desk") == 2);
    CHECK(pools.loadOf("desk").waitingMilliCores == 24000);
    CHECK(pools.loadOf("desk").bounded.milliCores == 24000);
}

TEST_CASE("moves: first starts of a source that crashes its workers aren't kept waiting by a need that no machine can serve")
{
    auto unmet = stepOf(1, { 2000, 500, 0 });
    unmet.requiredLabel = "missing";
    WaitingPools pools;
    pools.addCrashing("desk", stepOf(12, { 2000, 500, 0 }));
    pools.addInTime("rush", unmet);
    pools.addMachines("desk", 1);
    pools.addMachines("rush", 1);
    pools.addMachines("off", 5);
    pools.start();
    CHECK(pools.movesTo("desk") == 2);
}

TEST_CASE("moves: other work of a pool with a source that crashes its workers gets machines as ever")
{
    auto lasting = stepOf(12, { 2000, 500, 0 });
    SUBCASE("of another source") { }
    SUBCASE("lasting tasks of the same one")
    {
        lasting.isLasting = true;
    }
    WaitingPools pools;
    pools.addCrashing("desk", stepOf(100, { 2000, 500, 0 }));
    if (lasting.isLasting)
        pools.addCrashing("desk", lasting);
    else
        pools.addInTime("desk", lasting);
    pools.addLate("rush", stepOf(100, { 2000, 500, 0 }));
    pools.addMachines("off", 2);
    pools.start();
    CHECK(pools.movesTo("desk") == 2);
}

TEST_CASE("moves: machines that crashed a moment ago aren't replaced in a pool with a source that crashes its workers")
{
    WaitingPools pools;
    pools.addCrashing("desk", stepOf(1, { 2000, 500, 0 }));
    pools.addInTime("desk", stepOf(12, { 2000, 500, 0 }));
    pools.addMachines("desk", 3);
    pools.addMachines("off", 3);
    pools.start();
    pools.setDown("m-0");
    pools.setDown("m-1");
    CHECK(pools.movesTo("desk") == 0);
    pools.now += 6s;
    CHECK(pools.movesTo("desk") == 2);
}
