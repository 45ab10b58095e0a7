/// A maintenance wave over running upstreams.

#include "Process/FleetLoad.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace ProcessTests;

namespace {

constexpr unsigned upstreamsPerPool = 3;
constexpr unsigned allUpstreams = 2 * upstreamsPerPool;
/// Of three hosts a budget of 30% asks for one, and the loss of one more rack, which has one of them, must leave it.
constexpr unsigned leastServing = 2;
constexpr unsigned taskMilliseconds = 2000; ///< Longer than the planner's steps, so that a drain has something to wait for.
constexpr std::chrono::minutes waveBound { 5 };

unsigned servingIn(const Json::Value& pools, const std::string& pool)
{
    return static_cast<unsigned>(std::count_if(pools.begin(), pools.end(), [&](const auto& it) { return it["pool"] == pool && it["state"] == "serving"; }));
}

/// Tasks on upstreams while they were off the host list, before and after they were asked. Each is off it once.
std::size_t runningWhileAway(const Fleet& fleet, const std::vector<std::string>& names)
{
    const auto before = fleet.listed();
    std::map<std::string, std::size_t> running;
    for (const auto& it : names) {
        if (!before.count(it))
            running[it] = fleet.runningOn(fleet.upstream(it)).size();
    }
    const auto after = fleet.listed();
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

TEST_CASE("a wave reboots every host once, drained and within the budgets, and interrupts no request")
{
    Fleet fleet({ .basePort = 28800, .upstreamsPerPool = upstreamsPerPool, .withWave = true });
    std::vector<std::string> names;
    for (const auto& [name, incarnation] : fleet.listed())
        names.push_back(name);
    REQUIRE(names.size() == allUpstreams);
    FleetLoad load(fleet.allHosts(), 12, { { "lesson-booking", false, taskMilliseconds }, { "roster-reading", true, taskMilliseconds } });
    REQUIRE(load.more(12));
    REQUIRE_MESSAGE(fleet.ctl({ "wave", "resume", "reboots" }) == 0, fleet.ctlOutput());
    std::size_t away = 0;
    unsigned serving = upstreamsPerPool;
    const bool finished = eventually(
        [&] {
            away += runningWhileAway(fleet, names);
            const Json::Value pools = get(fleet.hosts()[0].operatorUrl("/v1/pools")).json();
            if (pools.size() == allUpstreams)
                serving = std::min({ serving, servingIn(pools, "desk"), servingIn(pools, "juniors") });
            return hostsDone(fleet) == allUpstreams;
        },
        waveBound);
    CHECK(finished);
    CHECK(away == 0);
    CHECK(serving == leastServing);
    for (const auto& it : fleet.listed())
        CHECK_MESSAGE(it.second == 2, it.first);
    CHECK(load.more(12));
    const auto asked = load.stop();
    const Tally sum = tally(asked, fleet.runs());
    MESSAGE(sum.text());
    CHECK(sum.promisesHold());
    CHECK(sum.done == asked.size());
}
