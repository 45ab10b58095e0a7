/// A maintenance wave over running upstreams.

#include "Process/FleetLoad.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace ProcessTests;

namespace {

constexpr unsigned upstreamsPerPool = 3;
constexpr unsigned allUpstreams = 2 * upstreamsPerPool;
/// A budget of 30% requires one of the three upstreams to serve, also after the loss of another rack, which holds one upstream.
constexpr unsigned minimumServing = 2;
constexpr unsigned taskMilliseconds = 2000; ///< Longer than the planner's step, so that a drain has to wait for tasks.
constexpr std::chrono::minutes waveBound { 5 };

unsigned servingIn(const Json::Value& pools, const std::string& pool)
{
    return static_cast<unsigned>(std::count_if(pools.begin(), pools.end(), [&](const auto& it) { return it["pool"] == pool && it["state"] == "serving"; }));
}

/// Number of tasks running on upstreams that were absent from the host list both before and after their tasks were read: as each is
/// absent only once, it was absent throughout.
std::size_t runningWhileUnlisted(const Fleet& fleet, const std::vector<std::string>& names)
{
    const auto before = fleet.listedIncarnations();
    std::map<std::string, std::size_t> running;
    for (const auto& it : names) {
        if (!before.count(it))
            running[it] = fleet.runningOn(fleet.upstream(it)).size();
    }
    const auto after = fleet.listedIncarnations();
    std::size_t sum = 0;
    for (const auto& [name, n] : running)
        sum += after.count(name) ? 0 : n;
    return sum;
}

unsigned hostsDone(const Fleet& fleet)
{
    unsigned done = 0;
    for (const auto& host : fleet.hosts()) {
        const Json::Value waves = get(host.operatorUrl("/v1/waves")).json();
        for (const auto& it : waves)
            done = std::max(done, it["hostsDone"].asUInt());
    }
    return done;
}

} // namespace

TEST_CASE("a maintenance wave reboots every upstream exactly once, only when drained and within the budgets, and interrupts no request")
{
    Fleet fleet({ .basePort = 28800, .upstreamsPerPool = upstreamsPerPool, .withWave = true });
    std::vector<std::string> names;
    for (const auto& [name, incarnation] : fleet.listedIncarnations())
        names.push_back(name);
    REQUIRE(names.size() == allUpstreams);
    FleetLoad load(fleet.allHosts(), 12, { { "lesson-booking", false, taskMilliseconds }, { "roster-reading", true, taskMilliseconds } });
    REQUIRE(load.waitForMore(12));
    REQUIRE_MESSAGE(fleet.ctl({ "wave", "resume", "reboots" }) == 0, fleet.ctlOutput());
    std::size_t runningUnlisted = 0;
    unsigned serving = upstreamsPerPool;
    const bool finished = eventually(
        [&] {
            runningUnlisted += runningWhileUnlisted(fleet, names);
            const Json::Value pools = get(fleet.hosts()[0].operatorUrl("/v1/pools")).json();
            if (pools.size() == allUpstreams)
                serving = std::min({ serving, servingIn(pools, "desk"), servingIn(pools, "juniors") });
            return hostsDone(fleet) == allUpstreams;
        },
        waveBound);
    CHECK(finished);
    CHECK(runningUnlisted == 0);
    CHECK(serving == minimumServing);
    for (const auto& it : fleet.listedIncarnations())
        CHECK_MESSAGE(it.second == 2, it.first);
    CHECK(load.waitForMore(12));
    const auto records = load.stop();
    const Tally sum = tally(records, fleet.runs());
    MESSAGE(sum.text());
    CHECK(sum.hasNoViolations());
    CHECK(sum.done == records.size());
}
