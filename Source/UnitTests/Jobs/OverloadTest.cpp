/// Fairness between small and large jobs while a queue's demand exceeds its pool.

#include "OverloadReplay.h"

#include <cstdint>
#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seeds = 6;

/// Means over several seeds of the same load.
struct Shares {
    ServedShares all;
    ServedShares largestTenth;
    ServedShares nextFifth;
    double benefit = 0;
};

void add(ServedShares& sum, const ServedShares& it)
{
    sum.inTime += it.inTime / static_cast<double>(seeds);
    sum.served += it.served / static_cast<double>(seeds);
}

Shares replay(OverloadSettings settings)
{
    Shares shares;
    for (settings.seed = 1; settings.seed <= seeds; ++settings.seed) {
        OverloadReplay replay(settings);
        replay.run();
        add(shares.all, replay.all());
        add(shares.largestTenth, replay.bySize(0.9, 1));
        add(shares.nextFifth, replay.bySize(0.7, 0.9));
        shares.benefit += replay.benefit() / static_cast<double>(seeds);
    }
    return shares;
}

OverloadSettings peakOf(double demand)
{
    OverloadSettings settings;
    settings.demand = demand;
    return settings;
}

} // namespace

TEST_CASE("overload: large jobs don't starve; the largest tenth and the next fifth have at least half the share of served jobs of the whole queue")
{
    for (const double demand : { 2.0, 3.0, 5.0, 8.0 }) {
        CAPTURE(demand);
        const auto shares = replay(peakOf(demand));
        CHECK(shares.largestTenth.served >= shares.all.served / 2);
        CHECK(shares.nextFifth.served >= shares.all.served / 2);
    }
    auto settings = peakOf(4);
    settings.outageAt = 1000ms;
    settings.outage = 3000ms;
    const auto shares = replay(settings);
    CHECK(shares.largestTenth.served >= shares.all.served / 2);
    CHECK(shares.nextFifth.served >= shares.all.served / 2);
}
