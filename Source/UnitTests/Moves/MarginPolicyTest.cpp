/// Tests of the margin policy in virtual time: peaks, return of surplus hosts, budgets, weights.

#include "Decision/Moves/MarginPolicy.h"
#include "Waves/HostViews.h"

#include <doctest/doctest.h>

using namespace Decision;
using namespace std::chrono_literals;
using Common::Instant;

namespace {

/// Serves a peak without queueing and clears a queue at once, so that host counts depend on the load alone.
MarginSettings eagerSettings()
{
    MarginSettings settings;
    settings.peakShare = 1.1;
    settings.headroom = 1.1;
    settings.clearTime = 3000ms;
    return settings;
}

/// Two pools of eight hosts and a spare pool of eight, each host of a pool in its own rack. Moves take effect at once.
struct PolicyFixture {
    FleetView view;
    std::unique_ptr<BudgetLedger> ledger;
    std::unique_ptr<MarginPolicy> policy;
    std::set<std::string> rebootDue;
    std::map<std::string, double> offered { { "desk", 20 }, { "hotels", 20 } };
    std::chrono::seconds now { 0 };

    explicit PolicyFixture(MarginSettings settings = eagerSettings())
    {
        for (const auto* pool : { "desk", "hotels", "backoffice" }) {
            for (int i = 0; i < 8; ++i)
                addHost(pool, i);
        }
        ledger = BudgetLedger::create({ "imlil", "entry-0", { { "booking", "desk", 50 }, { "groups", "hotels", 50 } }, {} }).take();
        policy = MarginPolicy::create(settings).take();
    }

    void addHost(const std::string& pool, int index)
    {
        const auto number = std::to_string(index);
        view.hosts.push_back(Fakes::makeHost(pool + "-" + number, pool, "rack-" + number));
    }

    std::vector<MoveHost> step()
    {
        now += 1s;
        MoveInput input { view, *ledger, {}, {}, {}, rebootDue };
        for (const auto& [pool, slots] : offered)
            input.demands.push_back({ pool, false, slots, 0, 8, 0 });
        input.demands.push_back({ "backoffice", true, 0, 0, 8, 0 });
        auto moves = policy->decide(Instant(now), input);
        for (const auto& move : moves) {
            for (auto& host : view.hosts) {
                if (host.name == move.upstream)
                    host.pool = move.to;
            }
        }
        return moves;
    }

    unsigned hostsOf(const std::string& pool) const
    {
        return static_cast<unsigned>(std::count_if(view.hosts.begin(), view.hosts.end(), [&](const HostView& it) { return it.pool == pool; }));
    }

    void runSteps(int steps)
    {
        for (int i = 0; i < steps; ++i)
            step();
    }
};

} // namespace

TEST_CASE_FIXTURE(PolicyFixture, "idle hosts move to the spare pool, but never so many that the loss of a rack breaks the budget")
{
    offered = { { "desk", 1 }, { "hotels", 1 } };
    runSteps(30);
    // The budget requires four hosts; a fifth covers the loss of a rack.
    CHECK(hostsOf("desk") == 5);
    CHECK(hostsOf("hotels") == 5);
}

TEST_CASE_FIXTURE(PolicyFixture, "a peak gets its hosts in one step, and they are returned after the keep time")
{
    runSteps(30);
    offered["desk"] = 100;
    step();
    CHECK(hostsOf("desk") >= 13);
    const auto atPeak = hostsOf("desk");
    offered["desk"] = 1;
    step();
    CHECK(hostsOf("desk") == atPeak);
    runSteps(static_cast<int>(std::chrono::ceil<std::chrono::seconds>(policy->keepTime()).count()) + 6);
    CHECK(hostsOf("desk") == 5);
}

TEST_CASE("a load that oscillates faster than the keep time causes no moves")
{
    MarginSettings settings = eagerSettings();
    settings.moveCostWeight = 4;
    PolicyFixture fixture(settings);
    fixture.offered["desk"] = 100;
    fixture.runSteps(60);
    std::size_t moves = 0;
    for (int i = 0; i < 40; ++i) {
        fixture.offered["desk"] = i % 4 < 2 ? 100 : 5;
        for (const auto& move : fixture.step())
            moves += move.from == "desk" || move.to == "desk";
    }
    CHECK(moves == 0);
}

TEST_CASE("a higher buffer cost shortens the keep time, and a higher roll-out weight lowers the load floors")
{
    MarginSettings costlyBuffer = eagerSettings();
    costlyBuffer.bufferCostWeight = 4;
    MarginSettings urgentRollOut = eagerSettings();
    urgentRollOut.rollOutTimeWeight = 4;
    PolicyFixture buffer(costlyBuffer);
    PolicyFixture rollOut(urgentRollOut);
    CHECK(buffer.policy->keepTime() < rollOut.policy->keepTime());
    for (auto* it : { &buffer, &rollOut }) {
        it->offered["desk"] = 60;
        it->runSteps(3);
        it->offered["desk"] = 1;
        it->step();
    }
    CHECK(rollOut.policy->loadFloors()["desk"] < rollOut.policy->margins()["desk"].held);
}

TEST_CASE_FIXTURE(PolicyFixture, "a host that a wave has yet to reboot isn't moved for a peak")
{
    runSteps(30);
    for (const auto& host : view.hosts) {
        if (host.homePool == "backoffice" && host.name != "backoffice-7" && host.name != "backoffice-6")
            rebootDue.insert(host.name);
    }
    offered["desk"] = 58;
    const auto moves = step();
    CHECK(moves.size() > 2);
    for (const auto& move : moves)
        CHECK_FALSE(rebootDue.contains(move.upstream));
}

TEST_CASE("a zero weight or move time is rejected")
{
    MarginSettings settings;
    settings.bufferCostWeight = 0;
    CHECK_FALSE(MarginPolicy::create(settings).isOk());
    settings = {};
    settings.moveTime = 0ms;
    CHECK_FALSE(MarginPolicy::create(settings).isOk());
}
