#include "Jobs/Runtime/FleetDuty.h"

#include "Jobs/Fleet/FleetOrders.h"
#include "Jobs/Fleet/MovePlanner.h"
#include "Jobs/Fleet/WaveRun.h"
#include "Jobs/Runtime/EventLimiter.h"
#include "Jobs/Runtime/Events.h"
#include "Jobs/Runtime/FleetReport.h"
#include "Jobs/Runtime/JobNodeState.h"
#include "Jobs/Runtime/NameText.h"
#include "Jobs/Runtime/OrderIntents.h"
#include "Jobs/Runtime/Ownership.h"
#include "Jobs/Runtime/StoreKeys.h"

#include <algorithm>
#include <utility>

namespace Jobs {

namespace {

    constexpr milliseconds stepInterval { 200 }; ///< A fraction of a peak, and of a move.
    constexpr milliseconds cordonInterval { 10 }; ///< Between a cordon and the loads that confirm it.
    constexpr milliseconds orderRetry { 400 };
    constexpr milliseconds reportInterval { 1000 }; ///< Of lines about what keeps orders back.
    constexpr milliseconds listInterval { 2500 }; ///< Of machines; own orders are reckoned with before.

} // namespace

struct FleetDuty::State : std::enable_shared_from_this<FleetDuty::State> {
    State(const FleetContext& given, Fence ownFence)
        : context(given)
        , loop(given.loop)
        , fence(ownFence)
        , moves(given.limits.moveTime)
        , intents({ given.loop, given.platform, given.holder, given.predecessor, given.limits.holderSilence }, ownFence)
    {
    }

    static void log(const char* event, const std::string& id, std::vector<std::pair<const char*, std::string>> fields)
    {
        writeEvent("fleet", { event, id, std::move(fields) });
    }

    void stepAfter(milliseconds delay)
    {
        loop.cancel(timer);
        timer = loop.after(delay, [self = weak_from_this()] {
            if (const auto state = self.lock(); state && !state->isOver)
                state->step();
        });
    }

    bool hasWork() const { return !waves.empty() || context.limits.movesMachines; }

    /// Reads the machines when that is due, then asks all pools for their loads, then decides.
    void step()
    {
        if (!hasWork())
            return;
        if (loop.now() >= nextList) {
            context.machines.list([self = weak_from_this()](bool isWhole, std::vector<Machine> list) {
                const auto state = self.lock();
                if (!state || state->isOver)
                    return;
                if (isWhole)
                    state->take(std::move(list));
                else
                    state->limiter.write({ "machines-unlisted", state->context.holder, {} }, state->loop.now());
                state->askLoads();
            });
            return;
        }
        askLoads();
    }

    void take(std::vector<Machine> list)
    {
        listedAt = loop.now();
        nextList = listedAt + listInterval;
        machines.clear();
        for (auto& it : list)
            machines[it.name] = std::move(it);
    }

    void askLoads()
    {
        std::set<std::string> pools;
        for (const auto& it : configuration.pools)
            pools.insert(it.name);
        waitingLoads = pools.size();
        loads.clear();
        if (pools.empty())
            stepAfter(stepInterval);
        for (const auto& pool : pools) {
            LoadCall call { 0, pool, {}, fence };
            for (const auto& machine : cordon) {
                if (const auto it = machines.find(machine); it != machines.end() && it->second.pool == pool)
                    call.cordonedMachines.push_back(machine);
            }
            context.askLoad(std::move(call), [self = weak_from_this(), pool](const LoadCallAnswer& answer) {
                const auto state = self.lock();
                if (!state || state->isOver)
                    return;
                if (answer.isOwner)
                    state->loads[pool] = answer.load;
                if (--state->waitingLoads == 0)
                    state->decide();
            });
        }
    }

    std::map<std::string, MachineView> views() const
    {
        std::map<std::string, MachineView> result;
        for (const auto& [name, machine] : machines) {
            auto& view = result[name];
            view.machine = machine;
            const auto* pool = configuration.findPool(machine.pool);
            view.isOff = pool && pool->isStandby;
            const auto load = loads.find(machine.pool);
            view.hasOwnerReported = load != loads.end();
            if (!view.hasOwnerReported)
                continue;
            for (const auto& it : load->second.workers) {
                if (it.machine == name)
                    view.add(it);
            }
        }
        return result;
    }

    std::map<std::string, PoolView> poolViews() const
    {
        std::map<std::string, PoolView> result;
        for (const auto& pool : configuration.pools) {
            auto& view = result[pool.name];
            view.isStandby = pool.isStandby;
            const auto it = loads.find(pool.name);
            view.hasReported = it != loads.end();
            if (view.hasReported)
                view.load = it->second;
        }
        return result;
    }

    void decide()
    {
        const auto now = loop.now();
        const auto seen = views();
        const auto before = std::exchange(cordon, {});
        for (auto it = waves.begin(); it != waves.end();) {
            const auto number = it->first;
            const bool isCompleted = !machines.empty() && it->second.isCompleted(seen);
            ++it;
            if (isCompleted)
                complete(number);
        }
        const bool mayOrder = now >= withdrawnUntil && !intents.isSilentForAll() && context.mayOrder();
        FleetOrders orders;
        for (auto& [number, run] : waves) {
            cordon.merge(run.chooseCordon(seen, now));
            if (mayOrder && !mayBeDown(run.wave()))
                orderMaintenance(number, run.chooseOrders(seen, now), orders);
        }
        if (!mayOrder)
            moves.cancelUnsent(); // What can't move is of use where it is.
        else if (context.limits.movesMachines)
            decideMoves(seen, orders);
        cordon.merge(moves.cordon()); // Also while an order that is announced waits for its answer.
        announce(std::move(orders));
        if (now >= nextReport)
            report(seen);
        const bool isNew = std::ranges::any_of(cordon, [&before](const auto& it) { return !before.contains(it); });
        stepAfter(isNew ? cordonInterval : stepInterval);
    }

    void report(const std::map<std::string, MachineView>& seen)
    {
        const auto now = loop.now();
        nextReport = now + reportInterval;
        FleetPicture picture { poolViews(), {}, seen, waves };
        for (const auto& it : configuration.queues)
            picture.usedPools.insert(it.pool);
        picture.plannedMoves = moves.cordon().size();
        picture.movesMachines = context.limits.movesMachines;
        picture.isLeaseSure = context.mayOrder();
        picture.silenceLeft = intents.silenceLeft();
        picture.silentMachines = intents.isSilentForAll() ? machines.size() : intents.silentMachines().size();
        if (listedAt != Common::Instant())
            picture.listAge = std::chrono::duration_cast<milliseconds>(now - listedAt);
        if (auto event = describeFleet(picture, now)) {
            event->id = context.holder;
            writeEvent("fleet", *event);
        }
    }

    /// True when an earlier holder may have taken one of the machines down, which this one's count would lack.
    bool mayBeDown(const MaintenanceWave& wave) const
    {
        return std::ranges::any_of(wave.machines, [this](const auto& it) { return intents.isSilent(it); });
    }

    void decideMoves(const std::map<std::string, MachineView>& seen, FleetOrders& orders)
    {
        auto excluded = cordon;
        excluded.merge(intents.silentMachines());
        for (const auto& [number, run] : waves)
            run.addUnavailable(excluded, loop.now());
        moves.plan(poolViews(), seen, excluded, loop.now());
        for (const auto& it : moves.readyMoves(seen)) {
            if (intents.isSilent(it.machine))
                continue;
            moves.markOrdered(it.machine, loop.now());
            orders.moves.push_back(it);
        }
    }

    /// Has the machines named in the store before anything is sent to them.
    void announce(FleetOrders orders)
    {
        auto names = orders.machines();
        if (names.empty())
            return;
        intents.announce(names, [self = weak_from_this(), orders = std::move(orders)](bool isAnnounced) {
            const auto state = self.lock();
            if (!state || state->isOver)
                return;
            if (isAnnounced && state->context.mayOrder())
                state->send(orders);
            else
                state->cancelUnsent(orders, isAnnounced ? "lease-unsure" : "unannounced");
        });
    }

    void send(const FleetOrders& orders)
    {
        for (const auto& it : orders.maintenance) {
            if (const auto run = waves.find(it.wave); run != waves.end())
                log("maintenance-ordered", it.machine, { { "wave", std::to_string(it.wave) }, { "fence", std::to_string(fence) }, { "down", std::to_string(run->second.downCount(loop.now())) }, { "maximum", std::to_string(run->second.wave().maximumDown) } });
            send(it.wave, it.machine);
        }
        for (const auto& it : orders.moves)
            sendMove(it);
    }

    void cancelUnsent(const FleetOrders& orders, const char* reason)
    {
        limiter.write({ "orders-withdrawn", context.holder, { { "machines", std::to_string(orders.machines().size()) }, { "reason", reason } } }, loop.now());
        for (const auto& it : orders.maintenance) {
            if (const auto run = waves.find(it.wave); run != waves.end())
                run->second.onOrderRefused(it.machine, loop.now());
        }
        for (const auto& it : orders.moves)
            moves.onOrderAnswer(it.machine, false, loop.now());
        for (const auto& it : orders.machines())
            intents.settled(it);
        withdrawnUntil = loop.now() + orderRetry;
    }

    void sendMove(const MachineMove& move)
    {
        log("move-ordered", move.machine, { { "to", move.pool }, { "fence", std::to_string(fence) } });
        const Ports::MachineOrder order { move.machine, context.holder, fence, move.pool, 0 };
        context.machines.move(order, [self = weak_from_this(), move](Ports::MachineStatus status) {
            const auto state = self.lock();
            if (!state || state->isOver)
                return;
            log("move-answered", move.machine, { { "to", move.pool }, { "status", std::to_string(static_cast<int>(status)) } });
            state->moved(move, status);
        });
    }

    /// It may have been carried out, and is answered alike when it was.
    void moveAgain(const MachineMove& move)
    {
        loop.after(orderRetry, [self = weak_from_this(), move] {
            const auto state = self.lock();
            if (!state || state->isOver)
                return;
            if (state->context.mayOrder())
                state->sendMove(move);
            else
                state->moveAgain(move);
        });
    }

    void moved(const MachineMove& move, Ports::MachineStatus status)
    {
        if (status == Ports::MachineStatus::NoAnswer) {
            moveAgain(move);
            return;
        }
        const bool isDone = status == Ports::MachineStatus::Done;
        intents.settled(move.machine);
        moves.onOrderAnswer(move.machine, isDone, loop.now());
        const auto it = machines.find(move.machine);
        if (!isDone)
            nextList = {};
        else if (it != machines.end())
            takeMoved(it->second, move.pool);
    }

    /// Reckons with a move until the machines are listed again.
    void takeMoved(Machine& machine, const std::string& pool)
    {
        machine.pool = pool;
        machine.worker.clear();
        machine.state = Machine::State::Moving;
        nextList = std::min(nextList, loop.now() + context.limits.moveTime);
    }

    void orderMaintenance(std::uint64_t number, const std::vector<std::string>& chosen, FleetOrders& orders)
    {
        auto& run = waves.at(number);
        for (const auto& machine : chosen) {
            if (moves.cordon().contains(machine))
                continue;
            run.markOrdered(machine, loop.now());
            orders.maintenance.push_back({ number, machine });
        }
    }

    void send(std::uint64_t number, const std::string& machine)
    {
        if (!context.mayOrder()) {
            again(number, machine);
            return;
        }
        const Ports::MachineOrder order { machine, context.holder, fence, {}, number };
        context.machines.maintain(order, [self = weak_from_this(), number, machine](Ports::MachineStatus status) {
            if (const auto state = self.lock(); state && !state->isOver)
                state->onOrderAnswer(number, machine, status);
        });
    }

    void again(std::uint64_t number, const std::string& machine)
    {
        loop.after(orderRetry, [self = weak_from_this(), number, machine] {
            if (const auto state = self.lock(); state && !state->isOver)
                state->send(number, machine);
        });
    }

    void onOrderAnswer(std::uint64_t number, const std::string& machine, Ports::MachineStatus status)
    {
        using Ports::MachineStatus;
        const auto it = waves.find(number);
        if (it == waves.end() || status != MachineStatus::NoAnswer)
            intents.settled(machine);
        if (it == waves.end())
            return;
        log("maintenance-answered", machine, { { "wave", std::to_string(number) }, { "status", std::to_string(static_cast<int>(status)) } });
        if (status == MachineStatus::Done) {
            it->second.onMaintenanceStarted(machine, loop.now(), context.limits.maintenanceTime);
            save(number);
        } else if (status == MachineStatus::NoAnswer) {
            again(number, machine); // It may have been carried out, and is answered alike when it was.
        } else {
            it->second.onOrderRefused(machine, loop.now());
            nextList = {};
        }
    }

    /// True when a write under the fence needn't be tried again: it was carried out, or another host has the duty.
    bool isStored(const Ports::PlatformReply& reply, const char* what, std::uint64_t wave)
    {
        if (reply.status == Ports::PlatformStatus::Ok)
            return true;
        limiter.write({ "write-failed", std::to_string(wave), { { "what", what }, { "status", std::to_string(static_cast<int>(reply.status)) } } }, loop.now());
        return reply.status == Ports::PlatformStatus::ComparesFailed;
    }

    std::string progressKey(std::uint64_t number) const { return StoreKeys::waves + std::to_string(number); }

    /// Keeps what is done for the next holder, which would vacate those machines in vain.
    void save(std::uint64_t number)
    {
        const auto it = waves.find(number);
        if (it == waves.end())
            return;
        Ports::Transaction transaction;
        transaction.compares = { { Ownership::keyOf(fleetDuty), static_cast<std::int64_t>(fence) } };
        transaction.puts = { { progressKey(number), joinNames(it->second.done()), 0 } };
        context.platform.transact(std::move(transaction), [self = weak_from_this(), number](const Ports::PlatformReply& reply) {
            const auto state = self.lock();
            if (!state || state->isOver || state->isStored(reply, "wave-progress", number))
                return;
            state->loop.after(orderRetry, [self, number] {
                if (const auto again = self.lock(); again && !again->isOver)
                    again->save(number);
            });
        });
    }

    void complete(std::uint64_t number)
    {
        log("wave-completed", std::to_string(number), {});
        finished.insert(number);
        waves.erase(number);
        writeStatus(number, true);
    }

    void writeStatus(std::uint64_t number, bool isCompleted)
    {
        Ports::Transaction transaction;
        transaction.compares = { { Ownership::keyOf(fleetDuty), static_cast<std::int64_t>(fence) } };
        transaction.puts = { context.published.waveStatus(number, isCompleted) };
        context.platform.transact(std::move(transaction), [self = weak_from_this(), number, isCompleted](const Ports::PlatformReply& reply) {
            const auto state = self.lock();
            if (!state || state->isOver || state->isStored(reply, "wave-status", number))
                return;
            state->loop.after(orderRetry, [self, number, isCompleted] {
                if (const auto it = self.lock(); it && !it->isOver)
                    it->writeStatus(number, isCompleted);
            });
        });
    }

    void wavePublished(const MaintenanceWave& wave)
    {
        if (waves.contains(wave.number) || finished.contains(wave.number) || loading.contains(wave.number))
            return;
        loading.insert(wave.number);
        readProgress(wave);
    }

    void readProgress(const MaintenanceWave& wave)
    {
        context.platform.read(progressKey(wave.number), false, [self = weak_from_this(), wave](const Ports::PlatformReply& reply) {
            const auto state = self.lock();
            if (!state || state->isOver)
                return;
            if (reply.status != Ports::PlatformStatus::Ok) {
                state->limiter.write({ "wave-unread", std::to_string(wave.number), { { "status", std::to_string(static_cast<int>(reply.status)) } } }, state->loop.now());
                state->loop.after(orderRetry, [self, wave] {
                    if (const auto it = self.lock(); it && !it->isOver)
                        it->readProgress(wave);
                });
                return;
            }
            state->loading.erase(wave.number);
            const auto done = reply.values.empty() ? std::set<std::string>() : readNames(reply.values.front().value);
            log("wave-begun", std::to_string(wave.number), { { "machines", std::to_string(wave.machines.size()) }, { "done", std::to_string(done.size()) }, { "maximum", std::to_string(wave.maximumDown) } });
            state->waves.emplace(wave.number, WaveRun(wave, done));
            state->writeStatus(wave.number, false);
            state->nextList = {};
            state->stepAfter(milliseconds(1));
        });
    }

    FleetContext context;
    Common::TaskLoop& loop;
    Fence fence;
    MovePlanner moves;
    OrderIntents intents;
    EventLimiter limiter { "fleet" };
    Common::Instant nextList {};
    Common::Instant listedAt {};
    Common::Instant nextReport {};
    Common::Instant withdrawnUntil {}; ///< Until then, the store is given time to come back.
    JobConfiguration configuration;
    std::map<std::string, Machine> machines;
    std::map<std::string, PoolLoad> loads;
    std::map<std::uint64_t, WaveRun> waves;
    std::set<std::uint64_t> finished;
    std::set<std::uint64_t> loading; ///< Waves whose progress is being read.
    std::set<std::string> cordon;
    std::size_t waitingLoads = 0;
    Common::TaskLoop::TimerId timer = 0;
    bool isOver = false;
};

FleetDuty::FleetDuty(const FleetContext& context, Fence fence)
    : m_state(std::make_shared<State>(context, fence))
{
}

FleetDuty::~FleetDuty()
{
    m_state->isOver = true;
    m_state->loop.cancel(m_state->timer);
}

void FleetDuty::begin()
{
    m_state->intents.begin();
    m_state->stepAfter(milliseconds(1));
}

void FleetDuty::configure(const JobConfiguration& configuration) { m_state->configuration = configuration; }

void FleetDuty::wavePublished(const MaintenanceWave& wave) { m_state->wavePublished(wave); }

} // namespace Jobs
