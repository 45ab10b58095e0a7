#include "Waves/FakeStore.h"

namespace Fakes {

using namespace Decision;
using Common::Instant;
using Ports::PlatformStatus;

namespace {

    constexpr int lateDelayFactor = 40; // a late write takes effect after this many times its reply's delay

    PlatformToken tokenOf(const PlatformAction& action)
    {
        return std::visit([](const auto& it) { return it.token; }, action);
    }

} // namespace

FakeStore::FakeStore(StoreFaults faults, std::uint64_t seed)
    : m_faults(faults)
    , m_random(seed)
{
}

bool FakeStore::chance(double share)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

void FakeStore::schedule(Instant at, Pending pending)
{
    m_queue.emplace(at, std::move(pending));
}

void FakeStore::call(std::size_t client, const PlatformAction& action, Instant now)
{
    ++m_calls;
    const auto maximumLatency = std::chrono::microseconds(m_faults.maximumLatency).count();
    const auto delay = std::chrono::microseconds(std::uniform_int_distribution<std::int64_t>(1, maximumLatency)(m_random));
    Pending pending { client, action, true, true, {} };
    if (chance(m_faults.notSent)) {
        pending.applies = false;
        pending.reply.status = PlatformStatus::NotSent;
        schedule(now + delay, pending);
        return;
    }
    const bool writes = std::holds_alternative<PlatformTransact>(action);
    const bool late = writes && chance(m_faults.lateEffect);
    if (!late && !(writes && chance(m_faults.lostAnswer))) {
        schedule(now + delay, pending);
        return;
    }
    Pending effect = pending;
    effect.replies = false;
    schedule(late ? now + delay * lateDelayFactor : now + delay / 2, effect);
    pending.applies = false;
    pending.reply.status = PlatformStatus::Uncertain;
    schedule(now + delay, pending);
}

void FakeStore::run(const Pending& pending, std::vector<StoreReply>& replies)
{
    const auto reply = pending.applies ? apply(pending.action) : pending.reply;
    if (pending.replies)
        replies.push_back({ pending.client, { tokenOf(pending.action), reply } });
}

std::vector<StoreReply> FakeStore::advance(Instant now)
{
    std::vector<StoreReply> replies;
    while (!m_queue.empty() && m_queue.begin()->first <= now) {
        const auto pending = m_queue.begin()->second;
        m_queue.erase(m_queue.begin());
        run(pending, replies);
    }
    return replies;
}

std::vector<Ports::KeyValue> FakeStore::values(const std::string& prefix) const
{
    std::vector<Ports::KeyValue> values;
    for (auto it = m_values.lower_bound(prefix); it != m_values.end() && it->first.starts_with(prefix); ++it)
        values.push_back(it->second);
    return values;
}

Ports::PlatformReply FakeStore::apply(const PlatformAction& action)
{
    if (const auto* write = std::get_if<PlatformTransact>(&action))
        return transact(write->transaction);
    Ports::PlatformReply reply;
    reply.status = PlatformStatus::Ok;
    reply.revision = m_revision;
    if (const auto* read = std::get_if<PlatformRead>(&action))
        reply.values = values(read->key);
    return reply;
}

Ports::PlatformReply FakeStore::transact(const Ports::Transaction& transaction)
{
    Ports::PlatformReply reply;
    for (const auto& compare : transaction.compares) {
        const auto it = m_values.find(compare.key);
        if ((it == m_values.end() ? 0 : it->second.modRevision) == compare.modRevision)
            continue;
        reply.status = PlatformStatus::ComparesFailed;
        return reply;
    }
    ++m_revision;
    for (const auto& put : transaction.puts)
        m_values[put.key] = { put.key, put.value, m_revision };
    reply.status = PlatformStatus::Ok;
    reply.revision = m_revision;
    return reply;
}

} // namespace Fakes
