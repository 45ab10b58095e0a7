/// Tests of single steps of the wave planner: drain limits, pause, window, failures, loans.

#include "Decision/Waves/WavePlanner.h"
#include "Decision/Waves/DrainActions.h"
#include "Waves/HostViews.h"

#include <doctest/doctest.h>

using namespace Decision;
using namespace std::chrono_literals;
using Common::Instant;
using Common::WallTime;

namespace {

/// A planner for six hosts, one per rack, with a store that replies at once.
struct PlannerFixture {
    FleetView view;
    Objects::Wave wave;
    std::unique_ptr<BudgetLedger> ledger;
    std::unique_ptr<WavePlanner> planner;
    std::chrono::milliseconds now { 0 };
    std::int64_t revision = 0;

    explicit PlannerFixture(unsigned hosts = 6, unsigned spares = 0)
    {
        for (unsigned i = 0; i < hosts + spares; ++i)
            addHost(i < hosts ? "desk" : "backoffice", i);
        wave.name = "kernel";
        wave.pools = { "desk" };
        wave.windowLength = 1h;
        ledger = BudgetLedger::create({ "imlil", "entry-0", { { "booking", "desk", 50 } }, {} }).take();
        WavePlannerSettings settings;
        settings.dataCentre = "imlil";
        settings.holder = "entry-0";
        settings.sparePools = { "backoffice" };
        planner = WavePlanner::create(settings, wave, *ledger).take();
        planner->setDutyEnd(Instant(1h));
    }

    void addHost(const std::string& pool, unsigned index)
    {
        const auto number = std::to_string(index);
        view.hosts.push_back(Fakes::makeHost(pool + "-" + number, pool, "rack-" + number));
    }

    std::vector<WaveDecision> tick()
    {
        now += 1s;
        auto output = planner->tick(Instant(now), WallTime(now), view);
        for (const auto& call : output.calls)
            answer(call);
        return output.decisions;
    }

    void answer(const PlatformAction& call)
    {
        const auto token = std::visit([](const auto& it) { return it.token; }, call);
        const bool reads = std::holds_alternative<PlatformRead>(call);
        if (reads && !ledger->isLoaded())
            ledger->handle({ token, { Ports::PlatformStatus::Ok, ++revision, {}, 0, {} } });
        if (!reads)
            ledger->handle({ token, { Ports::PlatformStatus::Ok, ++revision, {}, 0, {} } });
    }

    WaveState state() const { return planner->progress(WallTime(now), view).state; }
};

template<typename Decision>
std::size_t countOf(const std::vector<WaveDecision>& decisions)
{
    return static_cast<std::size_t>(std::count_if(decisions.begin(), decisions.end(), [](const auto& it) { return std::holds_alternative<Decision>(it); }));
}

HostView hostWithTasks()
{
    HostView host;
    host.name = "desk-0";
    host.tasks = { { "urgent", 0, false }, { "batch", 2, false }, { "saved", 1, true } };
    return host;
}

TaskAction actionOf(const std::vector<ControlTask>& actions, const std::string& task)
{
    const auto it = std::find_if(actions.begin(), actions.end(), [&](const ControlTask& action) { return action.task == task; });
    REQUIRE(it != actions.end());
    return it->action;
}

} // namespace

TEST_CASE("a drain first checkpoints and waits, then throttles, and stops tasks by priority after its limit")
{
    const auto host = hostWithTasks();
    const DrainLimits limits { 60s, 5s, 2 };
    const auto early = drainActions(host, 1s, limits);
    CHECK(early.size() == 1);
    CHECK(actionOf(early, "saved") == TaskAction::Checkpoint);
    CHECK(actionOf(drainActions(host, 30s, limits), "batch") == TaskAction::Throttle);
    const auto past = drainActions(host, 60s, limits);
    CHECK(actionOf(past, "batch") == TaskAction::Stop);
    CHECK(actionOf(past, "saved") == TaskAction::Checkpoint);
    CHECK(past.size() == 2);
    CHECK(actionOf(drainActions(host, 65s, limits), "saved") == TaskAction::Stop);
    CHECK(actionOf(drainActions(host, 70s, limits), "urgent") == TaskAction::Stop);
}

TEST_CASE_FIXTURE(PlannerFixture, "no drain is decided before its reservation is stored")
{
    CHECK(tick().empty());
    CHECK(tick().empty());
    CHECK(ledger->reservedHosts().size() == 2);
    CHECK(countOf<DrainHost>(tick()) == 2);
    CHECK(state() == WaveState::Running);
}

TEST_CASE_FIXTURE(PlannerFixture, "when failures put a pool below its budget, a draining host is returned to service and none is rebooted")
{
    for (int i = 0; i < 3; ++i)
        tick();
    for (int i = 3; i < 5; ++i)
        view.hosts[i].health = HostHealth::Down;
    for (auto& host : view.hosts)
        host.serving = !ledger->reservedHosts().contains(host.name);
    tick();
    const auto decisions = tick();
    CHECK(countOf<ReturnHost>(decisions) == 1);
    CHECK(countOf<RebootHost>(decisions) == 0);
}

TEST_CASE_FIXTURE(PlannerFixture, "a paused wave, or one whose window is too short, reserves no host")
{
    wave.paused = true;
    planner->setWave(wave);
    tick();
    tick();
    CHECK(ledger->reservedHosts().empty());
    CHECK(state() == WaveState::Paused);
    wave.paused = false;
    wave.windowLength = 60s;
    planner->setWave(wave);
    tick();
    CHECK(ledger->reservedHosts().empty());
    CHECK(state() == WaveState::WindowClosed);
    wave.windowLength = 1h;
    planner->setWave(wave);
    tick();
    CHECK(ledger->reservedHosts().size() == 2);
}

TEST_CASE_FIXTURE(PlannerFixture, "a planner whose duty has ended reserves no host")
{
    planner->setDutyEnd(Instant(2s));
    tick();
    CHECK(ledger->isLoaded());
    tick();
    CHECK(ledger->reservedHosts().empty());
}

TEST_CASE_FIXTURE(PlannerFixture, "the forecast follows the budget, and there is none while the budget allows no host")
{
    tick();
    const auto progress = planner->progress(WallTime(now), view);
    REQUIRE(progress.timeLeft);
    // Six hosts, two at once, each with 10 s to drain, 300 s to reboot and 5 s of uptime before its release.
    CHECK(*progress.timeLeft == 945s);
    view.hosts[0].health = view.hosts[1].health = HostHealth::Down;
    CHECK_FALSE(planner->progress(WallTime(now), view).timeLeft);
    CHECK(state() == WaveState::Held);
}

TEST_CASE("a pool too small for its own maintenance borrows a spare host")
{
    PlannerFixture fixture(2, 2);
    fixture.tick();
    const auto loans = fixture.planner->loans(fixture.view);
    REQUIRE(loans.size() == 1);
    CHECK(loans[0].from == "backoffice");
    CHECK(loans[0].to == "desk");
    for (auto& host : fixture.view.hosts) {
        if (host.name == loans[0].upstream)
            host.pool = "desk";
    }
    fixture.tick();
    CHECK(fixture.ledger->reservedHosts().size() == 1);
}

TEST_CASE("a host that serves another pool doesn't make its home pool seem able to spare one")
{
    // Three hosts in three racks are configured for the pool. One is lent to another pool, and the two hosts that the pool
    // borrows from there are in that host's rack.
    PlannerFixture fixture(0, 0);
    fixture.addHost("desk", 0);
    fixture.addHost("desk", 1);
    fixture.addHost("desk", 2);
    fixture.view.hosts.back().pool = "hotels";
    for (const auto* name : { "hotels-0", "hotels-1" }) {
        fixture.view.hosts.push_back(Fakes::makeHost(name, "hotels", "rack-2"));
        fixture.view.hosts.back().pool = "desk";
    }
    fixture.addHost("backoffice", 0);
    fixture.tick();
    CHECK(fixture.ledger->reservedHosts().empty());
    const auto loans = fixture.planner->loans(fixture.view);
    REQUIRE(loans.size() == 3);
    CHECK(loans.back() == MoveHost { "backoffice-0", "backoffice", "desk" });
    fixture.view.hosts.back().pool = "desk";
    fixture.tick();
    CHECK(fixture.ledger->reservedHosts() == std::set<std::string> { "desk-0", "desk-2" });
}

TEST_CASE("a pool that could spare a host of its own borrows none while its hosts are lent to another pool")
{
    PlannerFixture fixture(6, 2);
    for (int i = 0; i < 3; ++i)
        fixture.view.hosts[i].pool = "hotels";
    fixture.tick();
    CHECK(fixture.planner->loans(fixture.view).empty());
}
