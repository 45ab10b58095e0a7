#include "Jobs/Runtime/OrderIntents.h"

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

    constexpr milliseconds storeRetry { 400 };
    constexpr milliseconds ordersUnderWay { 1500 }; ///< After it, a call to the machine service is given up.
    constexpr milliseconds silenceMargin { 300 }; ///< On top of the silence between two holders, for orders under way.
    constexpr milliseconds pruneInterval { 1000 }; ///< Announcements that end close together are removed in one write.

} // namespace

struct OrderIntents::State : std::enable_shared_from_this<OrderIntents::State> {
    /// Announced together. Each has a key of its own, so that no write undoes another one, however late it takes effect.
    struct Batch {
        std::string key;
        std::set<std::string> open; ///< Machines whose orders aren't settled.
        Common::Instant removableAt {}; ///< Once none is open.
    };

    State(const IntentContext& given, Fence ownFence)
        : context(given)
        , fence(ownFence)
        , beganAt(given.loop.now())
    {
    }

    /// Orders by this host itself need only be answered or given up.
    milliseconds silenceAfter(bool isSelf) const { return isSelf ? ordersUnderWay : context.holderSilence + silenceMargin; }

    Common::Instant silentForAllUntil() const
    {
        return isRead || context.predecessor == Predecessor::None ? Common::Instant() : beganAt + silenceAfter(context.predecessor == Predecessor::Self);
    }

    Ports::Transaction underFence() const
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
            // An answer from before this host had the duty could lack announcements.
            if (reply.status == PlatformStatus::Ok && static_cast<Fence>(reply.revision) >= state->fence) {
                state->take(reply.values);
                return;
            }
            state->logFailed("intents-read-failed", reply.status);
            state->context.loop.after(storeRetry, [self] {
                if (const auto again = self.lock())
                    again->read();
            });
        });
    }

    void take(const std::vector<Ports::KeyValue>& values)
    {
        isRead = true;
        const auto own = StoreKeys::orders + std::to_string(fence) + '/';
        for (const auto& it : values) {
            if (it.key.starts_with(own))
                continue;
            const auto holderEnd = std::min(it.value.find(' '), it.value.size());
            const auto until = beganAt + silenceAfter(it.value.substr(0, holderEnd) == context.holder);
            for (const auto& machine : readNames(it.value.substr(holderEnd)))
                inherited[machine] = std::max(inherited[machine], until);
            // If this holder's time is short, the next one relies on them as well.
            batches.push_back({ it.key, {}, beganAt + silenceAfter(false) });
        }
        pruneLater();
        writeEvent("fleet", { "intents-inherited", context.holder, { { "fence", std::to_string(fence) }, { "machines", std::to_string(inherited.size()) } } });
    }

    void announce(const std::set<std::string>& machines, std::function<void(bool)> callback)
    {
        const auto key = StoreKeys::orders + std::to_string(fence) + '/' + StoreKeys::numberText(++lastNumber);
        batches.push_back({ key, machines, {} });
        auto transaction = underFence();
        transaction.puts = { { key, context.holder + ' ' + joinNames(machines), 0 } };
        context.platform.transact(std::move(transaction), [self = weak_from_this(), key, callback = std::move(callback)](const Ports::PlatformReply& reply) {
            const auto state = self.lock();
            if (!state)
                return;
            const bool isAnnounced = reply.status == PlatformStatus::Ok;
            if (!isAnnounced) {
                state->logFailed("intents-write-failed", reply.status);
                state->close(key);
            }
            callback(isAnnounced);
        });
    }

    void close(const std::string& key)
    {
        const auto it = std::ranges::find(batches, key, &Batch::key);
        if (it == batches.end())
            return;
        it->open.clear();
        it->removableAt = context.loop.now() + silenceAfter(false);
        pruneLater();
    }

    void settled(const std::string& machine)
    {
        for (auto& it : batches) {
            if (it.open.erase(machine) > 0 && it.open.empty())
                it.removableAt = context.loop.now() + silenceAfter(false);
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

    /// Removes what no holder needs any more.
    void prune()
    {
        isPruning = false;
        const auto now = context.loop.now();
        std::erase_if(inherited, [now](const auto& it) { return it.second <= now; });
        auto transaction = underFence();
        for (const auto& it : batches) {
            if (it.open.empty() && it.removableAt <= now && transaction.deletes.size() < StoreKeys::deletesPerCall)
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
            if (reply.status != PlatformStatus::ComparesFailed) // Otherwise another host has the duty.
                state->pruneLater();
        });
    }

    IntentContext context;
    Fence fence;
    Common::Instant beganAt;
    EventLimiter limiter { "fleet" };
    std::map<std::string, Common::Instant> inherited; ///< By machine: until when it has to be left alone.
    std::vector<Batch> batches;
    std::uint64_t lastNumber = 0;
    bool isRead = false;
    bool isPruning = false; ///< Waits for its turn or for the store.
};

OrderIntents::OrderIntents(const IntentContext& context, Fence fence)
    : m_state(std::make_shared<State>(context, fence))
{
}

OrderIntents::~OrderIntents() = default;

void OrderIntents::begin() { m_state->read(); }

bool OrderIntents::isSilentForAll() const { return m_state->context.loop.now() < m_state->silentForAllUntil(); }

bool OrderIntents::isSilent(const std::string& machine) const
{
    const auto it = m_state->inherited.find(machine);
    return isSilentForAll() || (it != m_state->inherited.end() && m_state->context.loop.now() < it->second);
}

std::set<std::string> OrderIntents::silentMachines() const
{
    std::set<std::string> machines;
    for (const auto& [machine, until] : m_state->inherited) {
        if (m_state->context.loop.now() < until)
            machines.insert(machine);
    }
    return machines;
}

milliseconds OrderIntents::silenceLeft() const
{
    auto until = m_state->silentForAllUntil();
    for (const auto& [machine, machineUntil] : m_state->inherited)
        until = std::max(until, machineUntil);
    return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(until - m_state->context.loop.now()));
}

void OrderIntents::announce(const std::set<std::string>& machines, std::function<void(bool)> callback)
{
    m_state->announce(machines, std::move(callback));
}

void OrderIntents::settled(const std::string& machine) { m_state->settled(machine); }

} // namespace Jobs
