/// Tests of how many machines a pool may keep for sources that crash their workers.

#include "Jobs/Fleet/BoundedShare.h"
#include "WaitingPools.h"

#include <doctest/doctest.h>

using namespace WaitingPoolsTest;

TEST_CASE("a pool with bounded work may keep all machines while no other pool lacks any")
{
    CHECK(BoundedShare::shareOf("desk", { { "desk", { 30, 4 } }, { "rush", { 10, 10 } }, { "off", { 8, 0 } } }) == doctest::Approx(48));
}

TEST_CASE("a pool with bounded work shares the machines that the others leave equally with those that lack some")
{
    CHECK(BoundedShare::shareOf("desk", { { "desk", { 35, 4 } }, { "rush", { 6, 30 } }, { "spare", { 7, 7 } } }) == doctest::Approx(20.5));
    CHECK(BoundedShare::shareOf("desk", { { "desk", { 35, 4 } }, { "rush", { 6, 30 } }, { "spare", { 7, 8 } } }) == doctest::Approx(16));
}

TEST_CASE("a pool with bounded work may always keep one machine")
{
    CHECK(BoundedShare::shareOf("desk", { { "desk", { 1, 4 } }, { "rush", { 1, 30 } }, { "spare", { 7, 7 } } }) == doctest::Approx(1));
}

TEST_CASE("moves: a pool with a source that crashes its workers gives up busy machines beyond its share to one that lacks some")
{
    WaitingPools pools;
    pools.addCrashing("desk", stepOf(100, { 2000, 500, 0 }));
    pools.addMachines("desk", 10);
    pools.addMachines("spare", 1);
    SUBCASE("that has more work than its share")
    {
        pools.addInTime("rush", stepOf(100, { 2000, 500, 0 }));
        pools.addMachines("rush", 2);
        pools.start();
        pools.setRuns("desk", 3);
        pools.setRuns("rush", 3);
        SUBCASE("while all are up") { }
        SUBCASE("also if some are down, which count as held")
        {
            pools.setDown("m-0");
            pools.setDown("m-1");
        }
        CHECK(pools.cordonedOf("desk") == 4);
    }
    SUBCASE("that lacks less")
    {
        pools.addLate("rush", stepOf(12, { 2000, 500, 0 }));
        pools.addMachines("rush", 1);
        pools.start();
        pools.setRuns("desk", 3);
        CHECK(pools.cordonedOf("desk") == 2);
    }
    SUBCASE("unless they run lasting tasks")
    {
        pools.addInTime("rush", stepOf(100, { 2000, 500, 0 }));
        pools.addMachines("rush", 2);
        pools.start();
        pools.setRuns("desk", 3, 1);
        CHECK(pools.cordonedOf("desk") == 0);
    }
}

TEST_CASE("moves: a pool without a source that crashes its workers gives up no busy machine")
{
    WaitingPools pools;
    pools.addLate("desk", stepOf(100, { 2000, 500, 0 }));
    pools.addInTime("rush", stepOf(100, { 2000, 500, 0 }));
    pools.addMachines("desk", 10);
    pools.addMachines("rush", 2);
    pools.start();
    pools.setRuns("desk", 3);
    CHECK(pools.cordonedOf("desk") == 0);
}
