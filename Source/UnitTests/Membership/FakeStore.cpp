#include "Membership/FakeStore.h"

#include <algorithm>

namespace Testing {

using namespace Decision;
using Ports::PlatformStatus;

namespace {

    PlatformToken tokenOf(const PlatformAction& action)
    {
        return std::visit([](const auto& call) { return call.token; }, action);
    }

    Ports::PlatformReply failureReply(PlatformStatus status)
    {
        Ports::PlatformReply reply;
        reply.status = status;
        return reply;
    }

} // namespace

FakeStore::FakeStore(Simulation& simulation)
    : m_simulation(simulation)
{
}

void FakeStore::call(const std::string& caller, const PlatformAction& action, const ReplyCallback& reply, WatchCallback watched)
{
    ++calls;
    if (const auto* watch = std::get_if<PlatformWatch>(&action)) {
        m_watches.push_back({ watch->prefix, watch->token, caller, std::move(watched) });
        return;
    }
    const auto delay = [&] { return m_simulation.between(milliseconds(0), faults.longestDelay); };
    m_simulation.after(delay(), [this, caller, action, reply, answerDelay = delay()] {
        const auto token = tokenOf(action);
        const auto answer = [this, reply, token, answerDelay](const Ports::PlatformReply& result) {
            m_simulation.after(answerDelay, [reply, token, result] { reply({ token, result }); });
        };
        if (faults.down || disconnectedHosts.count(caller)) {
            answer(failureReply(m_simulation.chance(50) ? PlatformStatus::NotSent : PlatformStatus::Uncertain));
        } else if (std::holds_alternative<PlatformTransact>(action) && m_simulation.chance(faults.lateEffectPercent)) {
            m_simulation.after(m_simulation.between(milliseconds(0), faults.lateEffect), [this, action] { execute(action); });
            answer(failureReply(PlatformStatus::Uncertain));
        } else {
            const auto result = execute(action);
            answer(m_simulation.chance(faults.lostAnswerPercent) ? failureReply(PlatformStatus::Uncertain) : result);
        }
    });
}

Ports::PlatformReply FakeStore::execute(const PlatformAction& action)
{
    expireLeases();
    Ports::PlatformReply reply;
    reply.status = PlatformStatus::Ok;
    reply.revision = m_revision;
    if (const auto* read = std::get_if<PlatformRead>(&action)) {
        for (const auto& [key, item] : m_items) {
            if (key == read->key || (read->prefix && key.starts_with(read->key)))
                reply.values.push_back({ key, item.value, item.modRevision });
        }
    } else if (const auto* write = std::get_if<PlatformTransact>(&action)) {
        return transact(write->transaction);
    } else if (const auto* grant = std::get_if<LeaseGrant>(&action)) {
        reply.lease = m_nextLease++;
        reply.timeToLive = grant->timeToLive;
        m_leases[reply.lease] = { grant->timeToLive, m_simulation.now() + grant->timeToLive };
    } else if (const auto* renew = std::get_if<LeaseRenew>(&action)) {
        const auto it = m_leases.find(renew->lease);
        if (it != m_leases.end()) {
            it->second.end = m_simulation.now() + it->second.timeToLive;
            reply.timeToLive = it->second.timeToLive;
        }
    }
    return reply;
}

Ports::PlatformReply FakeStore::transact(const Ports::Transaction& transaction)
{
    Ports::PlatformReply reply;
    for (const auto& compare : transaction.compares) {
        const auto it = m_items.find(compare.key);
        if ((it == m_items.end() ? 0 : it->second.modRevision) != compare.modRevision)
            reply.status = PlatformStatus::ComparesFailed;
    }
    if (reply.status == PlatformStatus::ComparesFailed)
        return reply;
    for (const auto& put : transaction.puts) {
        if (put.lease && !m_leases.count(put.lease))
            return failureReply(PlatformStatus::NotSent);
    }
    ++m_revision;
    for (const auto& item : transaction.puts)
        put(item);
    for (const auto& key : transaction.deletes)
        remove(key);
    reply.status = PlatformStatus::Ok;
    reply.revision = m_revision;
    return reply;
}

void FakeStore::put(const Ports::Put& put)
{
    if (onChange)
        onChange(put.key, &put.value);
    m_items[put.key] = { put.value, m_revision, put.lease };
    notify(put.key);
}

void FakeStore::remove(const std::string& key)
{
    if (!m_items.count(key))
        return;
    if (onChange)
        onChange(key, nullptr);
    m_items.erase(key);
    notify(key);
}

void FakeStore::notify(const std::string& key)
{
    const auto it = m_items.find(key);
    Ports::WatchEvent event { { key, it == m_items.end() ? "" : it->second.value, m_revision }, it == m_items.end() };
    for (const auto& watch : m_watches) {
        if (!key.starts_with(watch.prefix) || disconnectedHosts.count(watch.caller) || faults.down)
            continue;
        m_simulation.after(milliseconds(1), [watch, event] { watch.callback({ watch.token, { event }, false }); });
    }
}

void FakeStore::expireLeases()
{
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.end > m_simulation.now()) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto& [key, item] : m_items) {
            if (item.lease == lease->first)
                keys.push_back(key);
        }
        ++m_revision;
        for (const auto& key : keys)
            remove(key);
        lease = m_leases.erase(lease);
    }
}

const FakeStore::Item* FakeStore::find(const std::string& key)
{
    expireLeases();
    const auto it = m_items.find(key);
    return it == m_items.end() ? nullptr : &it->second;
}

std::map<std::string, FakeStore::Item> FakeStore::list(const std::string& prefix)
{
    expireLeases();
    std::map<std::string, Item> found;
    for (const auto& [key, item] : m_items) {
        if (key.starts_with(prefix))
            found.emplace(key, item);
    }
    return found;
}

void FakeStore::restore(const std::map<std::string, Item>& items)
{
    m_items = items;
}

} // namespace Testing
