/// Simulation tests: the guarantees of the request path under each kind of fault, over many seeds, and the violations that
/// occur when a guard is switched off.

#include "Requests/VirtualFleet.h"

#include <doctest/doctest.h>

namespace RequestTests {

namespace {

    using Guard = bool Decision::RequestGuards::*;

    /// Runs a range of seeds, with guard `off` disabled if given, and returns the sum of their records.
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
            for (const auto& [guarantee, times] : record.violations) {
                sum.violations[guarantee] += times;
                if (!off)
                    MESSAGE("seed " << seed << " violates guarantee " << static_cast<int>(guarantee));
            }
            sum.done += record.done;
            sum.unknown += record.unknown;
            sum.keyed += record.keyed;
            sum.keyedDone += record.keyedDone;
            sum.offloaded += record.offloaded;
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

    FaultPlan allFaults()
    {
        FaultPlan faults;
        faults.crashes = faults.cut = faults.freeze = faults.storeCut = faults.drain = true;
        faults.lostAnswers = faults.lateAnswers = faults.cancelWaves = true;
        return faults;
    }

    void checkGuarantees(const FaultPlan& faults, unsigned seeds)
    {
        const FleetRecord sum = runSeeds(faults, 1, seeds);
        CHECK(sum.violations.empty());
        CHECK(sum.done > 60 * seeds);
    }

} // namespace

TEST_CASE("Without faults every keyed request is served")
{
    const FleetRecord sum = runSeeds({}, 1, 100);
    CHECK(sum.violations.empty());
    CHECK(sum.keyedDone == sum.keyed);
}

TEST_CASE("Guarantees hold when entry hosts crash and return as new incarnations") { checkGuarantees(plan(&FaultPlan::crashes), 200); }
TEST_CASE("Guarantees hold when connections between entry hosts are cut") { checkGuarantees(plan(&FaultPlan::cut), 200); }
TEST_CASE("Guarantees hold when hosts freeze until after a view change") { checkGuarantees(plan(&FaultPlan::freeze), 200); }
TEST_CASE("Guarantees hold when hosts are cut off from the store and from each other") { checkGuarantees(plan(&FaultPlan::cut, &FaultPlan::storeCut), 200); }
TEST_CASE("Guarantees hold when two hosts are partitioned from all others and from the store") { checkGuarantees(plan(&FaultPlan::isolatedPair), 200); }
TEST_CASE("Guarantees hold when hosts drain and return") { checkGuarantees(plan(&FaultPlan::drain), 200); }
TEST_CASE("Guarantees hold when upstreams lose, truncate and refuse requests") { checkGuarantees(plan(&FaultPlan::lostAnswers), 200); }
TEST_CASE("Guarantees hold when answers are late and reordered") { checkGuarantees(plan(&FaultPlan::lateAnswers), 200); }
TEST_CASE("Guarantees hold when many callers cancel at once") { checkGuarantees(plan(&FaultPlan::cancelWaves, &FaultPlan::lateAnswers), 200); }
TEST_CASE("Guarantees hold when requests crash upstreams") { checkGuarantees(plan(&FaultPlan::harmful), 50); }
TEST_CASE("Guarantees hold under all kinds of faults at once") { checkGuarantees(allFaults(), 200); }

TEST_CASE("Guarantees hold when requests are offloaded to another data centre")
{
    FaultPlan faults;
    faults.overload = true;
    faults.dataCentres = 2;
    faults.cut = faults.crashes = faults.freeze = true;
    const FleetRecord sum = runSeeds(faults, 1, 40);
    CHECK(sum.violations.empty());
    CHECK(sum.offloaded > 0);
}

TEST_CASE("Switching off a guard causes violations that don't occur with it")
{
    struct Row {
        const char* name;
        Guard guard;
        FaultPlan faults;
        Guarantee guarantee;
    };
    const Row rows[] = {
        { "claimBeforeDispatch", &Decision::RequestGuards::claimBeforeDispatch, plan(&FaultPlan::freeze), Guarantee::AtMostOnce },
        { "allHoldersAnswer", &Decision::RequestGuards::allHoldersAnswer, plan(&FaultPlan::freeze), Guarantee::AtMostOnce },
        { "membershipExpiryChecked", &Decision::RequestGuards::membershipExpiryChecked, plan(&FaultPlan::isolatedPair), Guarantee::AtMostOnce },
        { "recordCoverageChecked", &Decision::RequestGuards::recordCoverageChecked, plan(&FaultPlan::isolatedPair), Guarantee::AtMostOnce },
        { "notRunOnlyIfProved", &Decision::RequestGuards::notRunOnlyIfProved, plan(&FaultPlan::freeze), Guarantee::NotRunIsTrue },
        { "retryOnlyIfSafe", &Decision::RequestGuards::retryOnlyIfSafe, plan(&FaultPlan::lostAnswers), Guarantee::AtMostOnce },
        { "harmfulRequestsBlocked", &Decision::RequestGuards::harmfulRequestsBlocked, plan(&FaultPlan::harmful), Guarantee::HarmfulBounded },
    };
    constexpr unsigned seeds = 20;
    for (const auto& row : rows) {
        CAPTURE(row.name);
        CHECK(runSeeds(row.faults, 1, seeds, row.guard).count(row.guarantee) > 0);
        CHECK(runSeeds(row.faults, 1, seeds).count(row.guarantee) == 0);
    }
}

} // namespace RequestTests
