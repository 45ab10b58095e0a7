#include "Jobs/Runtime/FleetDuty.h"

#include "Jobs/Fleet/FleetOrders.h"
#include "Jobs/Fleet/MovePlanner.h"
#include "Jobs/Fleet/UnansweredOrders.h"
#include "Jobs/Fleet/WaveRun.h"
#include "Jobs/Runtime/EventLimiter.h"
#include "Jobs/Runtime/Events.h"
#include "Jobs/Runtime/FleetReport.h"
#include "Jobs/Runtime/ForecastStore.h"
#include "Jobs/Runtime/JobNodeState.h"
#include "Jobs/Runtime/NameText.h"
#include "Jobs/Runtime/OrderIntents.h"
#include "Jobs/Runtime/Ownership.h"
#include "Jobs/Runtime/StoreKeys.h"

#include <algorithm>
#include <utility>

namespace Jobs {

namespace {

    constexpr milliseconds stepInterval { 200 }; ///< Between decisions; short against a load peak and against a move.
    constexpr milliseconds cordonInterval { 10 }; ///< Between a new cordon and the requests for load that apply and confirm it.
    constexpr milliseconds orderRetry { 400 };
    constexpr milliseconds reportInterval { 1000 }; ///< Between log lines on why orders are held back.
    constexpr milliseconds listInterval { 2500 }; ///< Between reads of the machine list; between them, this host's own orders are applied to the last list.

} // namespace

struct FleetDuty::State : std::enable_shared_from_this<FleetDuty::State> {
    State(const FleetContext& fleetContext, Fence ownFence)
        : context(fleetContext)
        , loop(fleetContext.loop)
        , fence(ownFence)
        , moves(fleetContext.limits.moveTime)
        , forecasts({ loop, context.platform, context.holder, moves.forecast(), context.onForecastError }, ownFence)
        , intents({ fleetContext.loop, fleetContext.platform, fleetContext.holder, fleetContext.predecessor, fleetContext.limits.holderSilence }, ownFence)
    {
    }

    static void log(const char* event, const std::string& id, std::vector<std::pair<const char*, std::string>> fields)
    {
        writeEvent("fleet", { event, id, std::move(fields) });
    }

    void scheduleStep(milliseconds delay)
    {
        loop.cancel(timer);
        timer = loop.after(delay, [self = weak_from_this()] {
            if (const auto state = self.lock(); state && !state->isOver)
                state->step();
        });
    }

    /// Reads the machine list when it is due, then requests the loads of all pools, then decides.
    void step()
    {
        if (waves.empty() && unanswered.isEmpty() && !context.limits.movesMachines)
            return;
        if (loop.now() >= nextListAt) {
            context.machines.list([self = weak_from_this(), requestedAt = loop.now()](bool isComplete, std::vector<Machine> list) {
                const auto state = self.lock();
                if (!state || state->isOver)
                    return;
                if (isComplete)
                    state->updateMachines(std::move(list), requestedAt);
                else
                    state->limiter.write({ "machine-list-incomplete", state->context.holder, {} }, state->loop.now());
                state->requestLoads();
            });
            return;
        }
        requestLoads();
    }

    void updateMachines(std::vector<Machine> list, Common::Instant requestedAt)
    {
        listRequestedAt = requestedAt;
        listedAt = loop.now();
        nextListAt = listedAt + listInterval;
        machines.clear();
        hasNamelessMachines = false;
        for (auto& it : list) {
            if (it.name.empty())
                hasNamelessMachines = true;
            else
                machines[it.name] = std::move(it);
        }
    }

    void requestLoads()
    {
        std::set<std::string> pools;
        for (const auto& it : configuration.pools)
            pools.insert(it.name);
        pendingLoads = pools.size();
        loads.clear();
        if (pools.empty())
            scheduleStep(stepInterval);
        for (const auto& pool : pools) {
            LoadCall call { 0, pool, {}, fence };
            for (const auto& machine : cordon) {
                if (const auto it = machines.find(machine); it != machines.end() && it->second.pool == pool)
                    call.cordonedMachines.push_back(machine);
            }
            context.requestLoad(std::move(call), [self = weak_from_this(), pool](const LoadCallAnswer& answer) {
                const auto state = self.lock();
                if (!state || state->isOver)
                    return;
                if (answer.isOwner)
                    state->loads[pool] = answer.load;
                if (--state->pendingLoads == 0)
                    state->decide();
            });
        }
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
        const auto seen = viewMachines(machines, loads, configuration);
        const auto before = std::exchange(cordon, {});
        for (auto it = waves.begin(); it != waves.end();) {
            const auto number = it->first;
            const bool isCompleted = !machines.empty() && !hasNamelessMachines && it->second.isCompleted(seen);
            ++it;
            if (isCompleted)
                complete(number);
        }
        if (context.mayOrder())
            resolveUnanswered(seen);
        const bool mayOrder = now >= ordersPausedUntil && !intents.isFleetInCooldown() && context.mayOrder();
        FleetOrders orders;
        for (auto& [number, run] : waves) {
            cordon.merge(run.chooseCordon(seen, now));
            if (mayOrder && !mayHaveMachineDown(run.wave()))
                orderMaintenance(number, run.chooseOrders(seen, now), orders);
        }
        if (!mayOrder) {
            moves.cancelUnsent(); // A machine that can't be moved is of more use in its present pool.
            moves.observe(poolViews(), now); // A peak that begins now is dated now.
        } else if (context.limits.movesMachines) {
            decideMoves(seen, orders);
        }
        forecasts.update();
        cordon.merge(moves.cordon()); // Machines stay cordoned while their move order is being recorded or waits for its answer.
        recordIntents(std::move(orders));
        if (now >= nextReportAt)
            report(seen);
        const bool hasNewCordon = std::ranges::any_of(cordon, [&before](const auto& it) { return !before.contains(it); });
        scheduleStep(hasNewCordon ? cordonInterval : stepInterval);
    }

    void report(const std::map<std::string, MachineView>& seen)
    {
        const auto now = loop.now();
        nextReportAt = now + reportInterval;
        FleetStatus fleetStatus { poolViews(), {}, seen, waves };
        for (const auto& it : configuration.queues)
            fleetStatus.usedPools.insert(it.pool);
        fleetStatus.plannedMoves = moves.cordon().size();
        fleetStatus.movesMachines = context.limits.movesMachines;
        fleetStatus.isLeaseValid = context.mayOrder();
        fleetStatus.cooldownLeft = intents.cooldownLeft();
        fleetStatus.machinesInCooldown = intents.isFleetInCooldown() ? machines.size() : intents.machinesInCooldown().size();
        if (listedAt != Common::Instant())
            fleetStatus.listAge = std::chrono::duration_cast<milliseconds>(now - listedAt);
        if (auto event = describeFleet(fleetStatus, now)) {
            event->id = context.holder;
            writeEvent("fleet", *event);
        }
    }

    /// True when an earlier holder may have taken one of the wave's machines down, which this host's count would miss.
    bool mayHaveMachineDown(const MaintenanceWave& wave) const
    {
        return std::ranges::any_of(wave.machines, [this](const auto& it) { return intents.isInCooldown(it); });
    }

    void decideMoves(const std::map<std::string, MachineView>& seen, FleetOrders& orders)
    {
        auto excluded = cordon;
        excluded.merge(intents.machinesInCooldown());
        for (const auto& [number, run] : waves)
            run.addUnavailable(excluded, loop.now());
        moves.plan(poolViews(), seen, excluded, loop.now());
        for (const auto& it : moves.readyMoves(seen)) {
            if (intents.isInCooldown(it.machine))
                continue;
            moves.markOrdered(it.machine, loop.now());
            orders.moves.push_back(it);
        }
    }

    /// Stores which machines are to be ordered, and sends the orders once that is stored.
    void recordIntents(FleetOrders orders)
    {
        auto names = orders.machines();
        if (names.empty())
            return;
        intents.recordIntents(names, [self = weak_from_this(), orders = std::move(orders)](bool isRecorded) {
            const auto state = self.lock();
            if (!state || state->isOver)
                return;
            if (isRecorded && state->context.mayOrder())
                state->send(orders);
            else
                state->cancelOrders(orders, isRecorded ? "lease-uncertain" : "intents-not-stored");
        });
    }

    void send(const FleetOrders& orders)
    {
        for (const auto& it : orders.maintenance) {
            if (const auto run = waves.find(it.wave); run != waves.end())
                log("maintenance-ordered", it.machine, { { "wave", std::to_string(it.wave) }, { "fence", std::to_string(fence) }, { "down", std::to_string(run->second.downCount(loop.now())) }, { "maximum", std::to_string(run->second.wave().maximumDown) } });
            sendMaintenance(it.wave, it.machine);
        }
        for (const auto& it : orders.moves)
            sendMove(it);
    }

    void cancelOrders(const FleetOrders& orders, const char* reason)
    {
        limiter.write({ "orders-cancelled", context.holder, { { "machines", std::to_string(orders.machines().size()) }, { "reason", reason } } }, loop.now());
        for (const auto& it : orders.maintenance) {
            if (const auto run = waves.find(it.wave); run != waves.end())
                run->second.onOrderRefused(it.machine, loop.now());
        }
        for (const auto& it : orders.moves)
            moves.onOrderAnswer(it.machine, false, loop.now());
        for (const auto& it : orders.machines())
            intents.settle(it);
        ordersPausedUntil = loop.now() + orderRetry;
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
            state->handleMoveAnswer(move, status);
        });
    }

    void handleMoveAnswer(const MachineMove& move, Ports::MachineStatus status)
    {
        if (status == Ports::MachineStatus::NoAnswer) {
            unanswered.add({ move.machine, move.pool, 0 }, loop.now());
            return;
        }
        const bool isDone = status == Ports::MachineStatus::Done;
        intents.settle(move.machine);
        moves.onOrderAnswer(move.machine, isDone, loop.now());
        const auto it = machines.find(move.machine);
        if (!isDone)
            nextListAt = {};
        else if (it != machines.end())
            applyMove(it->second, move.pool);
    }

    /// Applies a completed order to the machine list until the next read.
    void applyMove(Machine& machine, const std::string& pool)
    {
        machine.pool = pool;
        machine.worker.clear();
        machine.state = Machine::State::Moving;
        nextListAt = std::min(nextListAt, loop.now() + context.limits.moveTime);
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

    void sendMaintenance(std::uint64_t number, const std::string& machine)
    {
        const Ports::MachineOrder order { machine, context.holder, fence, {}, number };
        context.machines.maintain(order, [self = weak_from_this(), number, machine](Ports::MachineStatus status) {
            if (const auto state = self.lock(); state && !state->isOver)
                state->handleMaintenanceAnswer(number, machine, status);
        });
    }

    void handleMaintenanceAnswer(std::uint64_t number, const std::string& machine, Ports::MachineStatus status)
    {
        const auto it = waves.find(number);
        if (it == waves.end() || status != Ports::MachineStatus::NoAnswer)
            intents.settle(machine);
        if (it == waves.end())
            return;
        log("maintenance-answered", machine, { { "wave", std::to_string(number) }, { "status", std::to_string(static_cast<int>(status)) } });
        if (status == Ports::MachineStatus::Done) {
            it->second.onMaintenanceStarted(machine, loop.now(), context.limits.maintenanceTime);
            save(number);
        } else if (status == Ports::MachineStatus::NoAnswer) {
            unanswered.add({ machine, {}, number }, loop.now());
        } else {
            it->second.onOrderRefused(machine, loop.now());
            nextListAt = {};
        }
    }

    /// Repeats or drops the unanswered orders that don't have to wait.
    void resolveUnanswered(const std::map<std::string, MachineView>& seen)
    {
        for (const auto& [order, outcome] : unanswered.resolve({ seen, loads, listRequestedAt }, loop.now())) {
            if (outcome == OrderOutcome::Repeat && !order.pool.empty())
                sendMove({ order.machine, order.pool });
            else if (outcome == OrderOutcome::Repeat && waves.contains(order.wave))
                sendMaintenance(order.wave, order.machine);
            else
                dropUnanswered(order, outcome == OrderOutcome::CarriedOut);
        }
    }

    /// A machine of a wave is vacated and ordered again after this.
    void dropUnanswered(const UnansweredOrder& order, bool isDone)
    {
        log("order-dropped", order.machine, { { "carriedOut", isDone ? "true" : "false" } });
        intents.settle(order.machine);
        if (!order.pool.empty())
            moves.onOrderAnswer(order.machine, isDone, loop.now());
        else if (const auto it = waves.find(order.wave); it != waves.end())
            it->second.onOrderRefused(order.machine, loop.now());
    }

    /// True when a fenced write needs no retry: it was carried out, or another host has acquired the duty.
    bool isWriteSettled(const Ports::PlatformReply& reply, const char* what, std::uint64_t wave)
    {
        if (reply.status == Ports::PlatformStatus::Ok)
            return true;
        limiter.write({ "write-failed", std::to_string(wave), { { "what", what }, { "status", std::to_string(static_cast<int>(reply.status)) } } }, loop.now());
        return reply.status == Ports::PlatformStatus::ComparesFailed;
    }

    Ports::Transaction fenced(Ports::Put put) const { return { { { Ownership::keyOf(fleetDuty), static_cast<std::int64_t>(fence) } }, { std::move(put) }, {} }; }

    /// Stores the wave's progress, so that the next holder doesn't vacate machines that are done.
    void save(std::uint64_t number)
    {
        const auto it = waves.find(number);
        if (it == waves.end())
            return;
        context.platform.transact(fenced({ StoreKeys::waves + std::to_string(number), joinNames(it->second.done()), 0 }), [self = weak_from_this(), number](const Ports::PlatformReply& reply) {
            const auto state = self.lock();
            if (!state || state->isOver || state->isWriteSettled(reply, "wave-progress", number))
                return;
            state->loop.after(orderRetry, [self, number] {
                if (const auto it = self.lock(); it && !it->isOver)
                    it->save(number);
            });
        });
    }

    void complete(std::uint64_t number)
    {
        log("wave-completed", std::to_string(number), {});
        completedWaves.insert(number);
        waves.erase(number);
        setStatus(number, true);
    }

    /// One write of a wave's status at a time: a repeated one could replace a later status.
    void setStatus(std::uint64_t number, bool isCompleted)
    {
        const auto [it, isFirst] = unsettledStatus.insert_or_assign(number, isCompleted);
        if (isFirst)
            writeStatus(number);
    }

    void writeStatus(std::uint64_t number)
    {
        const bool isCompleted = unsettledStatus.at(number);
        context.platform.transact(fenced(context.published.waveStatus(number, isCompleted)), [self = weak_from_this(), number, isCompleted](const Ports::PlatformReply& reply) {
            const auto state = self.lock();
            if (!state || state->isOver)
                return;
            const bool isSettled = state->isWriteSettled(reply, "wave-status", number);
            if (isSettled && state->unsettledStatus.at(number) == isCompleted) {
                state->unsettledStatus.erase(number);
                return;
            }
            state->loop.after(isSettled ? milliseconds(0) : orderRetry, [self, number] {
                if (const auto it = self.lock(); it && !it->isOver)
                    it->writeStatus(number);
            });
        });
    }

    void addWave(const MaintenanceWave& wave)
    {
        if (waves.contains(wave.number) || completedWaves.contains(wave.number) || loadingWaves.contains(wave.number))
            return;
        loadingWaves.insert(wave.number);
        readProgress(wave);
    }

    void readProgress(const MaintenanceWave& wave)
    {
        context.platform.read(StoreKeys::waves + std::to_string(wave.number), false, [self = weak_from_this(), wave](const Ports::PlatformReply& reply) {
            const auto state = self.lock();
            if (!state || state->isOver)
                return;
            if (reply.status != Ports::PlatformStatus::Ok) {
                state->limiter.write({ "wave-read-failed", std::to_string(wave.number), { { "status", std::to_string(static_cast<int>(reply.status)) } } }, state->loop.now());
                state->loop.after(orderRetry, [self, wave] {
                    if (const auto it = self.lock(); it && !it->isOver)
                        it->readProgress(wave);
                });
                return;
            }
            state->loadingWaves.erase(wave.number);
            const auto done = reply.values.empty() ? std::set<std::string>() : parseNames(reply.values.front().value);
            log("wave-started", std::to_string(wave.number), { { "machines", std::to_string(wave.machines.size()) }, { "done", std::to_string(done.size()) }, { "maximum", std::to_string(wave.maximumDown) } });
            state->waves.emplace(wave.number, WaveRun(wave, done));
            state->setStatus(wave.number, false);
            state->nextListAt = {};
            state->scheduleStep(milliseconds(1));
        });
    }

    FleetContext context;
    Common::TaskLoop& loop;
    Fence fence;
    MovePlanner moves;
    ForecastStore forecasts;
    OrderIntents intents;
    UnansweredOrders unanswered;
    EventLimiter limiter { "fleet" };
    Common::Instant nextListAt {};
    Common::Instant listedAt {};
    Common::Instant listRequestedAt {};
    Common::Instant nextReportAt {};
    Common::Instant ordersPausedUntil {}; ///< Backoff after orders were cancelled, as the store may be unavailable.
    JobConfiguration configuration;
    std::map<std::string, Machine> machines;
    bool hasNamelessMachines = false; ///< A machine that isn't listed by name may be one whose item couldn't be read.
    std::map<std::string, PoolLoad> loads;
    std::map<std::uint64_t, WaveRun> waves;
    std::set<std::uint64_t> completedWaves;
    std::map<std::uint64_t, bool> unsettledStatus; ///< By wave whose status is being written: whether it is completed.
    std::set<std::uint64_t> loadingWaves; ///< Waves whose progress is being read from the store.
    std::set<std::string> cordon;
    std::size_t pendingLoads = 0;
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
    m_state->forecasts.begin();
    m_state->scheduleStep(milliseconds(1));
}

void FleetDuty::configure(const JobConfiguration& configuration) { m_state->configuration = configuration; }

void FleetDuty::addWave(const MaintenanceWave& wave) { m_state->addWave(wave); }

} // namespace Jobs
