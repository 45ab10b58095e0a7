/// The promises of the request path under each kind of failure, over many seeds, and what breaks without each guard.

#include "Requests/VirtualFleet.h"

#include <doctest/doctest.h>

namespace RequestTests {

namespace {

    using Guard = bool Decision::RequestGuards::*;

    /// Adds up the records of a range of seeds.
    FleetRecord runSeeds(const FaultPlan& faults, unsigned first, unsigned count, Guard off = nullptr)
    {
        FleetRecord sum;
        for (unsigned seed = first; seed < first + count; ++seed) {
            FleetOptions options;
            options.seed = seed;
            options.faults = faults;
            if (off)
                options.guards.*off = false;
            const FleetRecord record = VirtualFleet(options).run();
            for (const auto& [promise, times] : record.broken) {
                sum.broken[promise] += times;
                if (!off)
                    MESSAGE("seed " << seed << " breaks promise " << static_cast<int>(promise));
            }
            sum.done += record.done;
            sum.unknown += record.unknown;
            sum.keyed += record.keyed;
            sum.keyedDone += record.keyedDone;
            sum.passedOn += record.passedOn;
            sum.views += record.views;
        }
        return sum;
    }

    FaultPlan plan(bool FaultPlan::*fault, bool FaultPlan::*second = nullptr)
    {
        FaultPlan faults;
        faults.*fault = true;
        if (second)
            faults.*second = true;
        return faults;
    }

    FaultPlan everything()
    {
        FaultPlan faults;
        faults.death = faults.cut = faults.freeze = faults.storeCut = faults.drain = true;
        faults.lostAnswers = faults.lateAnswers = faults.cancelWaves = true;
        return faults;
    }

    void checkKept(const FaultPlan& faults, unsigned seeds)
    {
        const FleetRecord sum = runSeeds(faults, 1, seeds);
        CHECK(sum.broken.empty());
        CHECK(sum.done > 60 * seeds);
    }

} // namespace

TEST_CASE("Without failures every keyed request is served")
{
    const FleetRecord sum = runSeeds({}, 1, 100);
    CHECK(sum.broken.empty());
    CHECK(sum.keyedDone == sum.keyed);
}

TEST_CASE("Death of entry hosts, which return as new incarnations") { checkKept(plan(&FaultPlan::death), 200); }
TEST_CASE("Cuts between entry hosts") { checkKept(plan(&FaultPlan::cut), 200); }
TEST_CASE("Freezes past a change of the view") { checkKept(plan(&FaultPlan::freeze), 200); }
TEST_CASE("Cuts from the store and between hosts") { checkKept(plan(&FaultPlan::cut, &FaultPlan::storeCut), 200); }
TEST_CASE("Two hosts cut off together") { checkKept(plan(&FaultPlan::island), 200); }
TEST_CASE("Drains") { checkKept(plan(&FaultPlan::drain), 200); }
TEST_CASE("Upstreams lose, truncate and refuse") { checkKept(plan(&FaultPlan::lostAnswers), 200); }
TEST_CASE("Late and reordered answers") { checkKept(plan(&FaultPlan::lateAnswers), 200); }
TEST_CASE("Waves of cancellations") { checkKept(plan(&FaultPlan::cancelWaves, &FaultPlan::lateAnswers), 200); }
TEST_CASE("Requests that break upstreams") { checkKept(plan(&FaultPlan::harmful), 50); }
TEST_CASE("All failures together") { checkKept(everything(), 200); }

TEST_CASE("Passing on to another data centre")
{
    FaultPlan faults;
    faults.overload = true;
    faults.dataCentres = 2;
    faults.cut = faults.death = faults.freeze = true;
    const FleetRecord sum = runSeeds(faults, 1, 40);
    CHECK(sum.broken.empty());
    CHECK(sum.passedOn > 0);
}

TEST_CASE("Each guard: its failure is found without it, and not with it")
{
    struct Row {
        const char* name;
        Guard guard;
        FaultPlan faults;
        Promise promise;
    };
    const Row rows[] = {
        { "claimBeforeDispatch", &Decision::RequestGuards::claimBeforeDispatch, plan(&FaultPlan::freeze), Promise::AtMostOnce },
        { "allHoldersAnswer", &Decision::RequestGuards::allHoldersAnswer, plan(&FaultPlan::freeze), Promise::AtMostOnce },
        { "vouchTimeChecked", &Decision::RequestGuards::vouchTimeChecked, plan(&FaultPlan::island), Promise::AtMostOnce },
        { "memoryVouched", &Decision::RequestGuards::memoryVouched, plan(&FaultPlan::island), Promise::AtMostOnce },
        { "notRunOnlyIfProved", &Decision::RequestGuards::notRunOnlyIfProved, plan(&FaultPlan::freeze), Promise::NotRunIsTrue },
        { "retryOnlyIfSafe", &Decision::RequestGuards::retryOnlyIfSafe, plan(&FaultPlan::lostAnswers), Promise::AtMostOnce },
        { "harmfulSetAside", &Decision::RequestGuards::harmfulSetAside, plan(&FaultPlan::harmful), Promise::HarmfulBounded },
    };
    constexpr unsigned seeds = 20;
    for (const auto& row : rows) {
        CAPTURE(row.name);
        CHECK(runSeeds(row.faults, 1, seeds, row.guard).count(row.promise) > 0);
        CHECK(runSeeds(row.faults, 1, seeds).count(row.promise) == 0);
    }
}

} // namespace RequestTests
