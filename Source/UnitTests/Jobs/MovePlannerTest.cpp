/// Tests of machines that are moved, or kept, for peaks that are expected.

#include "Jobs/Fleet/MovePlanner.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <string>
#include <vector>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t milliCoresEach = 16000;
constexpr std::uint64_t restMilliCores = 3000;
const std::vector<std::string> turns { "a", "b", "c" };

/// Pools that peak in turn, a standby pool "off", and machines that move.
class TurningPools {
public:
    static constexpr milliseconds step { 200 };
    static constexpr unsigned machinesEach = 15;
    static constexpr unsigned peakMachines = 30;

    struct Demand {
        std::uint64_t inTime = restMilliCores;
        std::uint64_t late = 0;
        std::uint64_t bounded = 0;
    };

    TurningPools(milliseconds gap, milliseconds length)
        : m_gap(gap)
        , m_length(length)
    {
        for (const auto& pool : turns) {
            for (unsigned n = 0; n < machinesEach; ++n) {
                const auto name = pool + "-" + std::to_string(n);
                m_machines[name].machine = { name, pool, Machine::State::Up, "w" + name, "dc", {}, { milliCoresEach, 0, 0 } };
            }
        }
    }

    /// Runs until the time, with the pools' peaks in turn; the peak `n` begins at n * gap.
    void runPeaksUntil(milliseconds end)
    {
        while (time < end) {
            const auto number = static_cast<std::size_t>(time / m_gap);
            for (std::size_t n = 0; n < turns.size(); ++n)
                demands[turns[n]].inTime = number > 0 && number % turns.size() == n && time % m_gap < m_length ? peakMilliCores() : restMilliCores;
            const bool isStart = number > 0 && time % m_gap == 0ms;
            advance();
            lateStarts += isStart && machinesIn(turns[number % turns.size()]) < peakMachines ? 1 : 0;
        }
    }

    /// Runs for the time with the demands as they are.
    void runFor(milliseconds length)
    {
        for (const auto end = time + length; time < end;)
            advance();
    }

    /// Machines that take the pool's tasks.
    unsigned machinesIn(const std::string& pool) const
    {
        return static_cast<unsigned>(std::ranges::count_if(m_machines, [&](const auto& it) { return it.second.machine.pool == pool && it.second.machine.state == Machine::State::Up; }));
    }

    /// The same, and those on their way to the pool.
    unsigned machinesFor(const std::string& pool) const
    {
        return static_cast<unsigned>(std::ranges::count_if(m_machines, [&](const auto& it) { return it.second.machine.pool == pool; }));
    }

    static std::uint64_t peakMilliCores() { return peakMachines * milliCoresEach * 20 / 23; } // The planner adds 15%.

    milliseconds time { 0 };
    milliseconds moveTime { 1500 }; ///< That moves take.
    std::map<std::string, Demand> demands;
    unsigned moves = 0;
    unsigned lateStarts = 0; ///< Peaks that began without their machines.

private:
    void advance()
    {
        const auto now = Instant(1h) + time;
        std::map<std::string, PoolView> views;
        views["off"].isStandby = true;
        for (const auto& pool : turns)
            views[pool] = { loadOf(pool), false, true };
        for (auto& [name, view] : m_machines) {
            if (view.machine.state == Machine::State::Moving && m_arrivals[name] <= now)
                view.machine.state = Machine::State::Up;
        }
        std::map<std::string, std::uint64_t> taken;
        for (auto& [name, view] : m_machines) {
            const auto& pool = view.machine.pool;
            view.isOff = pool == "off";
            view.load.reset();
            if (view.isOff || view.machine.state != Machine::State::Up)
                continue;
            view.load = WorkerLoad { "w", name, taken[pool] < views[pool].load.busyMilliCores ? 1U : 0U, 0, false };
            taken[pool] += milliCoresEach;
        }
        m_planner.plan(views, m_machines, {}, now);
        moveMachines(now);
        time += step;
    }

    PoolLoad loadOf(const std::string& pool)
    {
        const auto& demand = demands[pool];
        const auto total = demand.inTime + demand.late + demand.bounded;
        PoolLoad load;
        load.busyMilliCores = std::min(total, machinesIn(pool) * milliCoresEach);
        load.waitingMilliCores = total - load.busyMilliCores;
        load.late.milliCores = std::min(demand.late, load.waitingMilliCores);
        load.bounded.milliCores = std::min(demand.bounded, load.waitingMilliCores);
        return load;
    }

    void moveMachines(Instant now)
    {
        for (const auto& name : m_planner.cordon()) {
            if (auto& load = m_machines.at(name).load)
                load->isCordoned = true;
        }
        for (const auto& it : m_planner.readyMoves(m_machines)) {
            m_planner.markOrdered(it.machine, now);
            m_planner.onOrderAnswer(it.machine, true, now);
            auto& machine = m_machines.at(it.machine).machine;
            machine.pool = it.pool;
            machine.state = Machine::State::Moving;
            m_arrivals[it.machine] = now + moveTime;
            ++moves;
        }
    }

    milliseconds m_gap;
    milliseconds m_length;
    std::map<std::string, MachineView> m_machines;
    std::map<std::string, Instant> m_arrivals;
    MovePlanner m_planner { 1500ms };
};

/// Until a peak of pool "a" is expected, while one of "c" goes on with a third of its tasks.
void runUntilPeakIsExpected(TurningPools& pools)
{
    pools.runPeaksUntil(8 * 14s + 1s);
    pools.demands["c"].inTime = TurningPools::peakMilliCores() / 3;
    pools.runFor(13s);
    REQUIRE(pools.machinesFor("a") >= TurningPools::peakMachines);
}

} // namespace

TEST_CASE("moves: idle machines aren't kept for an expected peak while accepted tasks wait in another pool")
{
    TurningPools pools(14s, 4s);
    runUntilPeakIsExpected(pools);
    SUBCASE("in time")
    {
        pools.demands["c"].inTime = TurningPools::peakMilliCores();
    }
    SUBCASE("late")
    {
        pools.demands["c"].late = TurningPools::peakMilliCores();
    }
    pools.runFor(1s);
    CHECK(pools.machinesFor("c") >= TurningPools::peakMachines);
}

TEST_CASE("moves: first starts of a source that crashes its workers get no machine that an expected peak needs")
{
    TurningPools pools(14s, 4s);
    runUntilPeakIsExpected(pools);
    pools.demands["c"].bounded = TurningPools::peakMilliCores();
    pools.runFor(600ms);
    CHECK(pools.machinesFor("a") >= TurningPools::peakMachines);
    CHECK(pools.machinesFor("c") > TurningPools::peakMachines / 3);
}

TEST_CASE("moves: from the second round on, no peak begins without its machines")
{
    auto gap = 9000ms;
    auto moveTime = 1500ms;
    SUBCASE("while gaps are short") { }
    SUBCASE("while gaps are long enough to switch machines off")
    {
        gap = 20000ms;
    }
    SUBCASE("while moves take twice the configured time")
    {
        moveTime = 3000ms;
    }
    TurningPools pools(gap, 4s);
    pools.moveTime = moveTime;
    pools.runPeaksUntil(gap * 4);
    pools.lateStarts = 0;
    pools.runPeaksUntil(gap * 10);
    CHECK(pools.lateStarts == 0);
}

TEST_CASE("moves: machines aren't switched off right before a peak that needs them")
{
    TurningPools pools(9s, 4s);
    pools.runPeaksUntil(9s * 4);
    const auto before = pools.moves;
    pools.runPeaksUntil(9s * 10);
    // Machines of a peak go straight to the next one, apart from those that were idle during the peak, as the planner adds 15%.
    CHECK(pools.moves - before <= 6 * (TurningPools::peakMachines + 4));
}

TEST_CASE("moves: machines of an expected peak that doesn't come are switched off")
{
    TurningPools pools(9s, 4s);
    pools.runPeaksUntil(9s * 9);
    pools.demands = {};
    REQUIRE(pools.machinesFor("a") >= TurningPools::peakMachines);
    pools.runFor(6s);
    CHECK(pools.machinesFor("a") <= 3);
    CHECK(pools.machinesFor("off") >= 3 * TurningPools::machinesEach - 9);
}

TEST_CASE("moves: a pool isn't emptied before a peak that no forecast announces")
{
    TurningPools pools(9s, 4s);
    SUBCASE("for late work of another pool, before any peak")
    {
        pools.demands["b"].late = 10 * TurningPools::peakMilliCores();
        pools.runFor(4s);
        CHECK(pools.machinesIn("a") == 2);
        CHECK(pools.machinesFor("b") == 3 * TurningPools::machinesEach - 4);
    }
    SUBCASE("to switch machines off after peaks")
    {
        pools.runPeaksUntil(9s * 9);
        pools.demands = {};
        pools.runFor(30s);
        CHECK(pools.machinesIn("a") == 3);
        CHECK(pools.machinesIn("b") == 3);
    }
}

TEST_CASE("moves: what a pool keeps for a peak isn't kept from another one's work in time")
{
    TurningPools pools(9s, 4s);
    pools.demands["b"].inTime = 10 * TurningPools::peakMilliCores();
    pools.runFor(4s);
    CHECK(pools.machinesFor("b") == 3 * TurningPools::machinesEach - 2);
}

TEST_CASE("moves: machines of a peak that rises steadily don't lag behind its tasks by the time of a move")
{
    TurningPools pools(9s, 4s);
    const auto rise = 3s;
    for (auto time = 0ms; time < rise; time += TurningPools::step) {
        pools.demands["b"].inTime = static_cast<std::uint64_t>(static_cast<double>(TurningPools::peakMilliCores()) * static_cast<double>(time.count()) / static_cast<double>(milliseconds(rise).count()));
        pools.runFor(TurningPools::step);
    }
    CHECK(pools.machinesFor("b") >= TurningPools::peakMachines);
    CHECK(pools.machinesIn("b") >= TurningPools::peakMachines * 2 / 3);
}

TEST_CASE("moves: a single large job brings no more machines than it needs")
{
    TurningPools pools(9s, 4s);
    pools.runFor(2s);
    pools.demands["b"].inTime = TurningPools::peakMilliCores();
    pools.runFor(3s);
    CHECK(pools.machinesFor("b") == TurningPools::peakMachines);
}

TEST_CASE("moves: machines aren't switched off while a peak that needs them rises")
{
    TurningPools pools(9s, 4s);
    pools.runPeaksUntil(4 * 9s);
    const auto before = pools.machinesFor("off");
    for (auto time = 0ms; time < 8s; time += TurningPools::step) {
        if (time % 1s != 400ms) // The rise pauses.
            pools.demands["c"].inTime += TurningPools::peakMilliCores() / 32;
        pools.runFor(TurningPools::step);
        CAPTURE(time);
        CHECK(pools.machinesFor("off") <= before);
    }
    CHECK(pools.machinesFor("c") >= TurningPools::peakMachines);
}

TEST_CASE("moves: a peak that comes a little earlier than those before finds its machines")
{
    TurningPools pools(9s, 4s);
    pools.runPeaksUntil(5 * 9s - 600ms);
    CHECK(pools.machinesIn("c") >= TurningPools::peakMachines);
}

TEST_CASE("moves: a pause of orders isn't taken for the time that moves take")
{
    MoveTimes times(1500ms);
    std::map<std::string, MachineView> machines;
    const auto start = Instant(1h);
    for (unsigned n = 0; n < 20; ++n) {
        const auto name = "m" + std::to_string(n);
        machines[name].machine = { name, "a", Machine::State::Moving, "w", "dc", {}, { milliCoresEach, 0, 0 } };
        times.onOrdered(name, "a", start);
    }
    times.observe(machines, start + 200ms);
    times.onPause();
    for (auto& [name, view] : machines) {
        view.machine.state = Machine::State::Up;
        view.load = WorkerLoad { "w", name, 0, 0, false };
    }
    times.observe(machines, start + 6s);
    CHECK(times.usual() == 1500ms);
}

TEST_CASE("moves: what many pools keep leaves half of the fleet to late work")
{
    PoolReserve reserve;
    const auto now = Instant(1h);
    constexpr unsigned fleet = 100;
    double kept = 0;
    for (unsigned n = 0; n < 20; ++n)
        reserve.observe("p" + std::to_string(n), fleet, fleet, now);
    for (unsigned n = 0; n < 20; ++n)
        kept += reserve.of("p" + std::to_string(n), fleet);
    CHECK(kept <= fleet / 2.0 + 1e-6);
    CHECK(kept > fleet / 2.0 - 1e-6);
}
