/// Tests of handovers of the fleet duty: two holders must not order the same machine shortly after each other, and a new
/// holder must not leave machines idle for longer than needed while a pool is short of cores.

#include "Jobs/Runtime/OrderIntents.h"
#include "JobFleet.h"
#include "Jobs/Runtime/FleetDuty.h"
#include "Jobs/Runtime/NodeMessages.h"
#include "Jobs/Runtime/StoreKeys.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <utility>

using namespace Jobs;
using namespace std::chrono_literals;

namespace {

const std::string fleetDuty = "~fleet";

/// A fleet with one machine in the pool and two in a standby pool.
struct ShortFleet : JobFleet {
    explicit ShortFleet(unsigned hostCount)
        : JobFleet(hostCount, 1)
    {
        configuration.pools.push_back({ "off", true, true });
        for (const std::string name : { "s0", "s1" })
            machines[name] = { name, "off", Machine::State::Up, "", "dc", {}, { 4000, 64000, 0 } };
        setRunTime(30s);
        settle();
    }

    void submit(const std::string& host, unsigned number, unsigned tasks)
    {
        const auto answer = call(host, Ports::JobVerb::Submit, jobId(number), oneStep(tasks, 30s));
        REQUIRE(answer);
        CHECK(answer->outcome == Ports::JobOutcome::Accepted);
    }

    /// Makes the holder order one machine and returns its name.
    std::string orderOne()
    {
        submit(hosts.begin()->first, 1, 6);
        for (unsigned n = 0; n < 1000 && moved.empty(); ++n)
            runFor(1ms);
        REQUIRE(moved.size() == 1);
        return moved.front().machine;
    }

    void killHolder() { killHost(ownerOf(fleetDuty)); }

    bool hasOrdered(const std::string& holder, const std::string& machine) const
    {
        return std::ranges::any_of(moved, [&](const auto& it) { return it.holder == holder && it.machine == machine; });
    }

    std::vector<Ports::KeyValue> storedIntents() { return store.state.read(StoreKeys::orders, true, loop.now()).values; }
};

std::string otherMachine(const std::string& machine) { return machine == "s0" ? "s1" : "s0"; }

/// Machine service whose orders are lost: they aren't carried out, and the calls time out.
class LostOrders final : public Ports::MachinePort {
public:
    explicit LostOrders(JobFleet& fleet)
        : m_fleet(fleet)
    {
    }

    void list(Ports::MachineListCallback callback) override { m_fleet.machinePort.list(std::move(callback)); }
    void move(const Ports::MachineOrder& order, Ports::MachineCallback callback) override { lose(order, std::move(callback)); }
    void maintain(const Ports::MachineOrder& order, Ports::MachineCallback callback) override { lose(order, std::move(callback)); }
    void advise(const TaskKey&, const std::vector<std::string>&, Ports::AdviceCallback) override { }

    unsigned orders = 0;
    std::map<std::string, unsigned> ordersOf; ///< By machine.

private:
    void lose(const Ports::MachineOrder& order, Ports::MachineCallback callback)
    {
        ++orders;
        ++ordersOf[order.machine];
        m_fleet.loop.after(100ms, [callback = std::move(callback)] { callback(Ports::MachineStatus::NoAnswer); });
    }

    JobFleet& m_fleet;
};

/// A fleet duty whose orders are lost. The owner of the pool "desk" applies cordons at once.
struct LostOrdersFleet : JobFleet {
    explicit LostOrdersFleet(unsigned workerCount)
        : JobFleet(0, workerCount)
    {
        store.put(Ownership::keyOf(fleetDuty), "host-0 1");
    }

    void begin()
    {
        const auto fence = static_cast<Fence>(store.state.revision());
        const auto requestLoad = [this](const LoadCall& call, const std::function<void(const LoadCallAnswer&)>& callback) {
            LoadCallAnswer answer;
            answer.isOwner = true;
            if (call.pool == "desk")
                answer.load = loadUnder(call.cordonedMachines);
            callback(answer);
        };
        duty = std::make_unique<FleetDuty>(FleetContext { loop, storePort, lostOrders, published, "host-0", {}, Predecessor::None, requestLoad, [] { return true; } }, fence);
        duty->configure(configuration);
        duty->begin();
    }

    PoolLoad loadUnder(const std::vector<std::string>& cordon) const
    {
        PoolLoad load;
        load.waitingMilliCores = waitingMilliCores;
        for (const auto& [name, machine] : machines) {
            const auto it = runs.find(name);
            const unsigned count = it == runs.end() ? 0 : it->second;
            if (machine.pool == "desk")
                load.workers.push_back({ "worker-" + name, name, count, count, std::ranges::find(cordon, name) != cordon.end(), {} });
        }
        return load;
    }

    LostOrders lostOrders { *this };
    FakeStorePort storePort { store, "host-0" };
    std::map<std::string, unsigned> runs; ///< By machine.
    std::uint64_t waitingMilliCores = 0;
    std::unique_ptr<FleetDuty> duty;
};

} // namespace

TEST_CASE("a new holder of the fleet duty orders machines without an intent of its predecessor at once")
{
    ShortFleet fleet(2);
    fleet.killHolder();
    fleet.runFor(2500ms);
    const auto second = fleet.ownerOf(fleetDuty);
    REQUIRE(!second.empty());
    fleet.submit(second, 1, 16);
    fleet.runFor(500ms);
    CHECK(fleet.hasOrdered(second, "s0"));
    CHECK(fleet.hasOrdered(second, "s1"));
}

TEST_CASE("a new holder of the fleet duty delays orders only for machines with an intent of its predecessor")
{
    ShortFleet fleet(2);
    const auto machine = fleet.orderOne();
    fleet.killHolder();
    fleet.runFor(2500ms);
    const auto second = fleet.ownerOf(fleetDuty);
    REQUIRE(!second.empty());
    fleet.submit(second, 2, 16);
    fleet.runFor(500ms);
    CHECK(fleet.hasOrdered(second, otherMachine(machine)));
    CHECK(!fleet.hasOrdered(second, machine));
    fleet.runFor(4s);
    CHECK(fleet.hasOrdered(second, machine));
}

TEST_CASE("the cooldown of a machine after an intent also binds the holder after the next")
{
    ShortFleet fleet(3);
    const auto machine = fleet.orderOne();
    fleet.killHolder();
    for (unsigned n = 0; n < 4000 && fleet.ownerOf(fleetDuty).empty(); ++n)
        fleet.runFor(1ms);
    const auto second = fleet.ownerOf(fleetDuty);
    REQUIRE(!second.empty());
    fleet.runFor(300ms);
    fleet.hosts.at(second)->node->leave([] {});
    fleet.runFor(700ms);
    const auto third = fleet.ownerOf(fleetDuty);
    REQUIRE(!third.empty());
    REQUIRE(third != second);
    fleet.submit(third, 2, 16);
    fleet.runFor(500ms);
    CHECK(fleet.hasOrdered(second, otherMachine(machine)) != fleet.hasOrdered(third, otherMachine(machine)));
    CHECK(!fleet.hasOrdered(second, machine));
    CHECK(!fleet.hasOrdered(third, machine));
    fleet.runFor(4s);
    CHECK(fleet.hasOrdered(third, machine));
}

TEST_CASE("an order isn't sent before its intent is stored")
{
    ShortFleet fleet(2);
    fleet.store.delay = 50ms;
    const auto machine = fleet.orderOne();
    const auto storedIntents = fleet.storedIntents();
    REQUIRE(storedIntents.size() == 1);
    CHECK(storedIntents.front().value == fleet.ownerOf(fleetDuty) + ' ' + machine);
}

TEST_CASE("a holder that can't store its intents sends no orders until it can")
{
    ShortFleet fleet(2);
    const auto holder = fleet.ownerOf(fleetDuty);
    REQUIRE(fleet.ownerOf("desk") != holder);
    fleet.submit(fleet.ownerOf("desk"), 1, 6);
    fleet.store.cutHosts = { holder };
    fleet.runFor(1300ms);
    REQUIRE(fleet.hosts.at(holder)->node->ownership().isLeaseValid());
    CHECK(fleet.moved.empty());
    fleet.store.cutHosts.clear();
    fleet.runFor(1500ms);
    CHECK(fleet.ownerOf(fleetDuty) == holder);
    CHECK(fleet.moved.size() == 1);
}

TEST_CASE("a new holder that can't read intents orders no machine during the cooldown")
{
    ShortFleet fleet(2);
    fleet.killHolder();
    fleet.store.unreadable = StoreKeys::orders;
    fleet.runFor(2500ms);
    const auto second = fleet.ownerOf(fleetDuty);
    REQUIRE(!second.empty());
    fleet.submit(second, 1, 16);
    fleet.runFor(2s);
    CHECK(fleet.moved.empty());
    fleet.runFor(2500ms);
    CHECK(fleet.moved.size() == 2);
}

TEST_CASE("a new holder takes no machine of a wave down while one with an intent of its predecessor may be down")
{
    JobFleet fleet(2, 4);
    fleet.settle();
    fleet.publishWave({ 7, { "m0", "m1", "m2", "m3" }, 30s, 1 });
    for (unsigned n = 0; n < 2000 && fleet.maintained.empty(); ++n)
        fleet.runFor(1ms);
    REQUIRE(fleet.maintained.size() == 1);
    const auto first = fleet.ownerOf(fleetDuty);
    fleet.killHost(first);
    fleet.runFor(3500ms);
    REQUIRE(!fleet.ownerOf(fleetDuty).empty());
    CHECK(fleet.maintained.size() == 1);
    fleet.runFor(4s);
    CHECK(fleet.maintained.size() >= 2);
}

TEST_CASE("intents of settled orders are deleted from the store")
{
    ShortFleet fleet(2);
    auto& machine = fleet.machines.at(fleet.orderOne());
    machine.pool = "desk";
    machine.state = Machine::State::Moving;
    fleet.runFor(3s);
    CHECK(fleet.storedIntents().size() == 1); // It is kept until another holder may order the machine.
    fleet.runFor(3s);
    CHECK(fleet.storedIntents().empty());
}

TEST_CASE("inherited intents that exceed the size of a transaction are all deleted")
{
    VirtualLoop loop;
    FakeStore store { loop };
    FakeStorePort port(store, "host-0");
    for (unsigned n = 0; n < 70; ++n)
        store.put(std::string(StoreKeys::orders) + "1/" + std::to_string(n), "host-1 m" + std::to_string(n));
    store.put(Ownership::keyOf(fleetDuty), "host-0 1");
    OrderIntents intents({ loop, port, "host-0", Predecessor::Lapsed, 3s }, static_cast<Fence>(store.state.revision()));
    intents.begin();
    loop.runFor(20ms);
    CHECK(intents.machinesInCooldown().size() == 70);
    loop.runFor(10s);
    CHECK(store.state.read(StoreKeys::orders, true, loop.now()).values.empty());
}

TEST_CASE("a move without an answer is retried after the holder's lease was uncertain for a while")
{
    JobFleet fleet(0, 0);
    fleet.configuration.pools.push_back({ "off", true, true });
    fleet.machines["s0"] = { "s0", "off", Machine::State::Up, "", "dc", {}, { 4000, 64000, 0 } };
    FakeStorePort store(fleet.store, "host-0");
    fleet.store.put(Ownership::keyOf(fleetDuty), "host-0 1");
    const auto fence = static_cast<Fence>(fleet.store.state.revision());
    bool isLeaseValid = true;
    const auto requestLoad = [](const LoadCall& call, const std::function<void(const LoadCallAnswer&)>& callback) {
        LoadCallAnswer answer;
        answer.isOwner = call.pool == "desk";
        answer.load.waitingMilliCores = 8000;
        callback(answer);
    };
    FleetDuty duty({ fleet.loop, store, fleet.machinePort, fleet.published, "host-0", {}, Predecessor::None, requestLoad, [&isLeaseValid] { return isLeaseValid; } }, fence);
    duty.configure(fleet.configuration);
    fleet.losesMoveAnswers = true;
    duty.begin();
    fleet.runFor(1s);
    const auto tries = fleet.moved.size();
    REQUIRE(tries > 0);
    isLeaseValid = false;
    fleet.runFor(1s);
    CHECK(fleet.moved.size() == tries);
    isLeaseValid = true;
    fleet.losesMoveAnswers = false;
    fleet.runFor(1s);
    CHECK(fleet.moved.size() == tries + 1);
}

TEST_CASE("a holder that has lost the duty can't store intents")
{
    VirtualLoop loop;
    FakeStore store { loop };
    FakeStorePort port(store, "host-0");
    store.put(Ownership::keyOf(fleetDuty), "host-0 1");
    const auto fence = static_cast<Fence>(store.state.revision());
    OrderIntents intents({ loop, port, "host-0", Predecessor::None, 3s }, fence);
    intents.begin();
    std::vector<bool> answers;
    intents.recordIntents({ "m0" }, [&answers](bool isRecorded) { answers.push_back(isRecorded); });
    loop.runFor(20ms);
    store.put(Ownership::keyOf(fleetDuty), "host-1 2");
    intents.recordIntents({ "m1" }, [&answers](bool isRecorded) { answers.push_back(isRecorded); });
    loop.runFor(20ms);
    CHECK(answers == std::vector<bool> { true, false });
    CHECK(store.state.read(StoreKeys::orders, true, loop.now()).values.size() == 1);
}

TEST_CASE("a cordon by a host that has lost the fleet duty doesn't replace the holder's cordon")
{
    JobFleet fleet(2, 3);
    fleet.settle();
    const auto owner = fleet.ownerOf("desk");
    const auto fence = fleet.hosts.at(owner)->node->ownership().ownerOf(fleetDuty)->fence;
    const auto cordonAll = [&](Fence under) { fleet.hosts.at(owner)->node->onFrameReceived("host-9", encodeNodeMessage(LoadCall { 1, "desk", { "m0", "m1", "m2" }, under })); };
    for (auto delay = 0ms; delay < 100ms; delay += 1ms)
        fleet.loop.after(delay, [&] { cordonAll(fence - 1); });
    fleet.runFor(10ms);
    fleet.call(owner, Ports::JobVerb::Submit, jobId(1), oneStep(6));
    fleet.runFor(50ms);
    CHECK(fleet.runMonitor.starts == 6);
    fleet.runFor(100ms);
    cordonAll(fence + 1);
    fleet.runFor(10ms);
    fleet.call(owner, Ports::JobVerb::Submit, jobId(2), oneStep(6));
    fleet.runFor(50ms);
    CHECK(fleet.runMonitor.starts == 6);
}

TEST_CASE("a wave that is completed stays so although the answer to its earlier status was lost")
{
    JobFleet fleet(0, 1);
    FakeStorePort store(fleet.store, "host-0");
    fleet.store.put(Ownership::keyOf(fleetDuty), "host-0 1");
    const auto fence = static_cast<Fence>(fleet.store.state.revision());
    fleet.store.put(std::string(StoreKeys::waves) + "1", "m0");
    const auto requestLoad = [](const LoadCall&, const std::function<void(const LoadCallAnswer&)>& callback) {
        LoadCallAnswer answer;
        answer.isOwner = true;
        callback(answer);
    };
    FleetDuty duty({ fleet.loop, store, fleet.machinePort, fleet.published, "host-0", {}, Predecessor::None, requestLoad, [] { return true; } }, fence);
    duty.configure(fleet.configuration);
    duty.begin();
    fleet.store.answersToLose = 1; // Of "running".
    duty.addWave({ 1, { "m0" }, 60s, 1 });
    fleet.runFor(5s);
    const auto reply = fleet.store.state.read("status/1", false, fleet.loop.now());
    REQUIRE(reply.values.size() == 1);
    CHECK(reply.values.front().value == "completed");
}

// The cordon holds with the pool's former owner only. Its successor places runs before it is told, and the order ended them.
TEST_CASE("an order for a machine isn't repeated while runs are reported there again")
{
    JobFleet fleet(0, 1);
    LostOrders machines(fleet);
    FakeStorePort store(fleet.store, "host-0");
    fleet.store.put(Ownership::keyOf(fleetDuty), "host-0 1");
    const auto fence = static_cast<Fence>(fleet.store.state.revision());
    unsigned runs = 0;
    const auto requestLoad = [&runs](const LoadCall& call, const std::function<void(const LoadCallAnswer&)>& callback) {
        LoadCallAnswer answer;
        answer.isOwner = true;
        const bool isCordoned = std::ranges::find(call.cordonedMachines, "m0") != call.cordonedMachines.end();
        answer.load.workers = { { "w0", "m0", runs, runs, isCordoned, {} } };
        callback(answer);
    };
    FleetDuty duty({ fleet.loop, store, machines, fleet.published, "host-0", {}, Predecessor::None, requestLoad, [] { return true; } }, fence);
    duty.configure(fleet.configuration);
    duty.begin();
    duty.addWave({ 1, { "m0" }, 60s, 1 });
    fleet.runFor(2s);
    REQUIRE(machines.orders > 1);
    runs = 1;
    fleet.runFor(500ms); // The next loads are reported within that time.
    const auto before = machines.orders;
    fleet.runFor(2s);
    CHECK(machines.orders == before);
    runs = 0;
    fleet.runFor(2s);
    CHECK(machines.orders > before);
}

TEST_CASE("a wave goes on with other machines when one whose order wasn't answered stays in use")
{
    LostOrdersFleet fleet(2);
    fleet.begin();
    fleet.duty->addWave({ 1, { "m0", "m1" }, 60s, 1 });
    fleet.runFor(2s);
    auto& orders = fleet.lostOrders.ordersOf;
    REQUIRE(orders["m0"] > 1);
    REQUIRE(orders["m1"] == 0);
    fleet.runs["m0"] = 1;
    fleet.runFor(500ms);
    const auto before = orders["m0"];
    fleet.runFor(8s);
    CHECK(orders["m0"] == before);
    CHECK(orders["m1"] > 0);
}

TEST_CASE("an unanswered order for a machine in use counts as a machine down while it may take effect")
{
    LostOrdersFleet fleet(2);
    fleet.begin();
    fleet.duty->addWave({ 1, { "m0", "m1" }, 60s, 1 });
    fleet.runFor(2s);
    auto& orders = fleet.lostOrders.ordersOf;
    REQUIRE(orders["m0"] > 1);
    fleet.runs["m0"] = 1;
    fleet.runFor(1s);
    CHECK(orders["m1"] == 0);
    fleet.machines.at("m0").state = Machine::State::Maintenance; // Its owner still reports a run.
    fleet.runFor(8s);
    CHECK(orders["m1"] == 0);
}

TEST_CASE("a move isn't repeated while runs are reported on its machine again")
{
    LostOrdersFleet fleet(2);
    fleet.machines.at("m0").pool = fleet.machines.at("m1").pool = "off";
    fleet.configuration.pools.push_back({ "off", true, true });
    fleet.waitingMilliCores = 8000;
    fleet.begin();
    fleet.runFor(2s);
    auto& orders = fleet.lostOrders.ordersOf;
    REQUIRE(orders["m1"] > 1);
    for (auto& [name, machine] : fleet.machines)
        machine.pool = "desk"; // Carried out, though the answers were lost.
    fleet.runs = { { "m0", 1 }, { "m1", 1 } };
    fleet.runFor(3s); // The list is read again within that time.
    const auto before = fleet.lostOrders.orders;
    fleet.runFor(3s);
    CHECK(fleet.lostOrders.orders == before);
}
