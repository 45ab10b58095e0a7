#include "Jobs/Runtime/OrderIntents.h"

#include "Jobs/Fleet/FleetOrders.h"
#include "Jobs/Runtime/EventLimiter.h"
#include "Jobs/Runtime/Events.h"
#include "Jobs/Runtime/JobNodeState.h"
#include "Jobs/Runtime/NameText.h"
#include "Jobs/Runtime/StoreKeys.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace Jobs {

using Ports::PlatformStatus;
using std::chrono::milliseconds;

namespace {

    constexpr milliseconds retryDelay { 400 };
    constexpr milliseconds cooldownMargin { 300 }; ///< Added to the cooldown between two holders, for orders in flight.
    constexpr milliseconds pruneInterval { 1000 }; ///< Intents that end within it are deleted in one write.

} // namespace

struct OrderIntents::State : std::enable_shared_from_this<OrderIntents::State> {
    /// Intents recorded together. Each batch has a key of its own, so that a write that takes effect late can't undo another one.
    struct Batch {
        std::string key;
        std::set<std::string> unsettled; ///< Machines whose orders have not been answered or given up.
        Common::Instant removableAt {}; ///< Valid once no order is unsettled.
    };

    State(const IntentContext& intentContext, Fence ownFence)
        : context(intentContext)
        , fence(ownFence)
        , startedAt(intentContext.loop.now())
    {
    }

    /// Orders by this host itself, also of an earlier incarnation, only have to be answered or time out.
    milliseconds cooldownAfter(bool isSelf) const { return isSelf ? machineCallTimeout : context.handoverCooldown + cooldownMargin; }

    Common::Instant fleetCooldownEnd() const
    {
        return isLoaded || context.predecessor == Predecessor::None ? Common::Instant() : startedAt + cooldownAfter(context.predecessor == Predecessor::Self);
    }

    Ports::Transaction fencedTransaction() const
    {
        Ports::Transaction transaction;
        transaction.compares = { { Ownership::keyOf(fleetDuty), static_cast<std::int64_t>(fence) } };
        return transaction;
    }

    void logFailed(const char* what, PlatformStatus status)
    {
        limiter.write({ what, context.holder, { { "fence", std::to_string(fence) }, { "status", std::to_string(static_cast<int>(status)) } } }, context.loop.now());
    }

    void read()
    {
        context.platform.read(StoreKeys::orders, true, [self = weak_from_this()](const Ports::PlatformReply& reply) {
            const auto state = self.lock();
            if (!state)
                return;
            // An answer from before this host acquired the duty could lack intents.
            if (reply.status == PlatformStatus::Ok && static_cast<Fence>(reply.revision) >= state->fence) {
                state->applyIntents(reply.values);
                return;
            }
            state->logFailed("intents-read-failed", reply.status);
            state->context.loop.after(retryDelay, [self] {
                if (const auto it = self.lock())
                    it->read();
            });
        });
    }

    void applyIntents(const std::vector<Ports::KeyValue>& values)
    {
        isLoaded = true;
        const auto ownPrefix = StoreKeys::orders + std::to_string(fence) + '/';
        for (const auto& it : values) {
            if (it.key.starts_with(ownPrefix))
                continue;
            const auto holderEnd = std::min(it.value.find(' '), it.value.size());
            const auto until = startedAt + cooldownAfter(it.value.substr(0, holderEnd) == context.holder);
            for (const auto& machine : parseNames(it.value.substr(holderEnd)))
                cooldownEnds[machine] = std::max(cooldownEnds[machine], until);
            // The next holder relies on them as well, should this one lose the duty soon.
            batches.push_back({ it.key, {}, startedAt + cooldownAfter(false) });
        }
        pruneLater();
        writeEvent("fleet", { "intents-inherited", context.holder, { { "fence", std::to_string(fence) }, { "machines", std::to_string(cooldownEnds.size()) } } });
    }

    void recordIntents(const std::set<std::string>& machines, std::function<void(bool)> callback)
    {
        const auto key = StoreKeys::orders + std::to_string(fence) + '/' + StoreKeys::numberText(++lastNumber);
        batches.push_back({ key, machines, {} });
        auto transaction = fencedTransaction();
        transaction.puts = { { key, context.holder + ' ' + joinNames(machines), 0 } };
        context.platform.transact(std::move(transaction), [self = weak_from_this(), key, callback = std::move(callback)](const Ports::PlatformReply& reply) {
            const auto state = self.lock();
            if (!state)
                return;
            const bool isRecorded = reply.status == PlatformStatus::Ok;
            if (!isRecorded) {
                state->logFailed("intents-write-failed", reply.status);
                state->close(key);
            }
            callback(isRecorded);
        });
    }

    void close(const std::string& key)
    {
        const auto it = std::ranges::find(batches, key, &Batch::key);
        if (it == batches.end())
            return;
        it->unsettled.clear();
        it->removableAt = context.loop.now() + cooldownAfter(false);
        pruneLater();
    }

    void settle(const std::string& machine)
    {
        for (auto& it : batches) {
            if (it.unsettled.erase(machine) > 0 && it.unsettled.empty())
                it.removableAt = context.loop.now() + cooldownAfter(false);
        }
        pruneLater();
    }

    void pruneLater()
    {
        if (isPruning || batches.empty())
            return;
        isPruning = true;
        context.loop.after(pruneInterval, [self = weak_from_this()] {
            if (const auto state = self.lock())
                state->prune();
        });
    }

    /// Deletes the intents that no holder needs.
    void prune()
    {
        isPruning = false;
        const auto now = context.loop.now();
        std::erase_if(cooldownEnds, [now](const auto& it) { return it.second <= now; });
        auto transaction = fencedTransaction();
        for (const auto& it : batches) {
            if (it.unsettled.empty() && it.removableAt <= now && transaction.deletes.size() < StoreKeys::deletesPerCall)
                transaction.deletes.push_back(it.key);
        }
        if (transaction.deletes.empty()) {
            pruneLater();
            return;
        }
        isPruning = true;
        const auto deletes = transaction.deletes;
        context.platform.transact(std::move(transaction), [self = weak_from_this(), deletes](const Ports::PlatformReply& reply) {
            const auto state = self.lock();
            if (!state)
                return;
            state->isPruning = false;
            if (reply.status == PlatformStatus::Ok)
                std::erase_if(state->batches, [&deletes](const Batch& it) { return std::ranges::find(deletes, it.key) != deletes.end(); });
            else
                state->logFailed("intents-prune-failed", reply.status);
            if (reply.status != PlatformStatus::ComparesFailed) // After a failed compare another host has the duty.
                state->pruneLater();
        });
    }

    IntentContext context;
    Fence fence;
    Common::Instant startedAt;
    EventLimiter limiter { "fleet" };
    std::map<std::string, Common::Instant> cooldownEnds; ///< By machine: end of its cooldown after an earlier holder's intent.
    std::vector<Batch> batches;
    std::uint64_t lastNumber = 0;
    bool isLoaded = false;
    bool isPruning = false; ///< A deletion is scheduled or in flight.
};

OrderIntents::OrderIntents(const IntentContext& context, Fence fence)
    : m_state(std::make_shared<State>(context, fence))
{
}

OrderIntents::~OrderIntents() = default;

void OrderIntents::begin() { m_state->read(); }

bool OrderIntents::isFleetInCooldown() const { return m_state->context.loop.now() < m_state->fleetCooldownEnd(); }

bool OrderIntents::isInCooldown(const std::string& machine) const
{
    const auto it = m_state->cooldownEnds.find(machine);
    return isFleetInCooldown() || (it != m_state->cooldownEnds.end() && m_state->context.loop.now() < it->second);
}

std::set<std::string> OrderIntents::machinesInCooldown() const
{
    std::set<std::string> machines;
    for (const auto& [machine, until] : m_state->cooldownEnds) {
        if (m_state->context.loop.now() < until)
            machines.insert(machine);
    }
    return machines;
}

milliseconds OrderIntents::cooldownLeft() const
{
    auto until = m_state->fleetCooldownEnd();
    for (const auto& [machine, machineUntil] : m_state->cooldownEnds)
        until = std::max(until, machineUntil);
    return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(until - m_state->context.loop.now()));
}

void OrderIntents::recordIntents(const std::set<std::string>& machines, std::function<void(bool)> callback)
{
    m_state->recordIntents(machines, std::move(callback));
}

void OrderIntents::settle(const std::string& machine) { m_state->settle(machine); }

} // namespace Jobs
