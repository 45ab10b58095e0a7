#include "Adapters/Platform/KeyValueStore.h"

#include <algorithm>
#include <utility>

namespace Adapters {

using Ports::PlatformReply;
using Ports::PlatformStatus;
using Ports::WatchEvent;

namespace {

    constexpr std::size_t maximumHistoryEvents = 100000;
    constexpr std::chrono::seconds minimumTimeToLive { 1 };

} // namespace

PlatformReply KeyValueStore::replyWith(PlatformStatus status) const
{
    PlatformReply reply;
    reply.status = status;
    reply.revision = m_revision;
    return reply;
}

PlatformReply KeyValueStore::read(const std::string& key, bool prefix, Common::Instant now)
{
    expireLeases(now);
    PlatformReply reply = replyWith(PlatformStatus::Ok);
    for (auto it = m_entries.lower_bound(key); it != m_entries.end(); ++it) {
        if (prefix ? !it->first.starts_with(key) : it->first != key)
            break;
        reply.values.push_back({ it->first, it->second.value, it->second.modRevision });
    }
    return reply;
}

TransactionVerdict KeyValueStore::verdictOf(const Ports::Transaction& transaction) const
{
    for (const auto& compare : transaction.compares) {
        const auto it = m_entries.find(compare.key);
        const std::int64_t modRevision = it == m_entries.end() ? 0 : it->second.modRevision;
        if (modRevision != compare.modRevision)
            return TransactionVerdict::ComparesFailed;
    }
    const bool leasesHeld = std::all_of(transaction.puts.begin(), transaction.puts.end(),
        [this](const auto& it) { return !it.lease || m_leases.contains(it.lease); });
    return leasesHeld ? TransactionVerdict::Applies : TransactionVerdict::LeaseNotFound;
}

TransactionVerdict KeyValueStore::check(const Ports::Transaction& transaction, Common::Instant now)
{
    expireLeases(now);
    return verdictOf(transaction);
}

PlatformReply KeyValueStore::transact(const Ports::Transaction& transaction, Common::Instant now)
{
    expireLeases(now);
    if (verdictOf(transaction) != TransactionVerdict::Applies)
        return replyWith(PlatformStatus::ComparesFailed);
    std::vector<WatchEvent> events;
    for (const auto& it : transaction.puts)
        put(it, events);
    for (const auto& it : transaction.deletes)
        remove(it, events);
    publish(events);
    return replyWith(PlatformStatus::Ok);
}

void KeyValueStore::put(const Ports::Put& put, std::vector<WatchEvent>& events)
{
    Entry& entry = m_entries[put.key];
    if (entry.lease)
        m_leases[entry.lease].keys.erase(put.key);
    entry = { put.value, m_revision + 1, put.lease };
    if (put.lease)
        m_leases[put.lease].keys.insert(put.key);
    events.push_back({ { put.key, put.value, m_revision + 1 }, false });
}

void KeyValueStore::remove(const std::string& key, std::vector<WatchEvent>& events)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end())
        return;
    if (const auto lease = m_leases.find(it->second.lease); lease != m_leases.end())
        lease->second.keys.erase(key);
    m_entries.erase(it);
    events.push_back({ { key, "", m_revision + 1 }, true });
}

void KeyValueStore::publish(const std::vector<WatchEvent>& events)
{
    if (events.empty())
        return;
    ++m_revision;
    m_history.insert(m_history.end(), events.begin(), events.end());
    while (m_history.size() > maximumHistoryEvents) {
        m_compactedRevision = m_history.front().pair.modRevision;
        m_history.pop_front();
    }
    for (const auto& entry : m_watches) {
        const Watch& watch = entry.second;
        std::vector<WatchEvent> matching;
        std::copy_if(events.begin(), events.end(), std::back_inserter(matching),
            [&](const auto& it) { return it.pair.key.starts_with(watch.prefix); });
        if (!matching.empty())
            watch.watcher(matching);
    }
}

PlatformReply KeyValueStore::grantLease(std::chrono::seconds timeToLive, Common::Instant now)
{
    expireLeases(now);
    timeToLive = std::max(timeToLive, minimumTimeToLive);
    PlatformReply reply = replyWith(PlatformStatus::Ok);
    reply.lease = ++m_lastLease;
    reply.timeToLive = timeToLive;
    m_leases[reply.lease] = { timeToLive, now + timeToLive, {} };
    return reply;
}

PlatformReply KeyValueStore::renewLease(Ports::LeaseId id, Common::Instant now)
{
    expireLeases(now);
    PlatformReply reply = replyWith(PlatformStatus::Ok);
    reply.lease = id;
    const auto it = m_leases.find(id);
    if (it == m_leases.end())
        return reply;
    it->second.expiry = now + it->second.timeToLive;
    reply.timeToLive = it->second.timeToLive;
    return reply;
}

PlatformReply KeyValueStore::revokeLease(Ports::LeaseId id, Common::Instant now)
{
    expireLeases(now);
    deleteLease(id);
    return replyWith(PlatformStatus::Ok);
}

void KeyValueStore::deleteLease(Ports::LeaseId id)
{
    const auto it = m_leases.find(id);
    if (it == m_leases.end())
        return;
    const std::set<std::string> keys = std::move(it->second.keys);
    m_leases.erase(it);
    std::vector<WatchEvent> events;
    for (const auto& key : keys)
        remove(key, events);
    publish(events);
}

void KeyValueStore::expireLeases(Common::Instant now)
{
    std::vector<Ports::LeaseId> due;
    for (const auto& [id, lease] : m_leases) {
        if (lease.expiry <= now)
            due.push_back(id);
    }
    for (const auto id : due)
        deleteLease(id);
}

std::optional<Common::Instant> KeyValueStore::nextExpiry() const
{
    std::optional<Common::Instant> next;
    for (const auto& [id, lease] : m_leases) {
        if (!next || lease.expiry < *next)
            next = lease.expiry;
    }
    return next;
}

std::optional<KeyValueStore::WatchId> KeyValueStore::watch(const std::string& prefix, std::int64_t fromRevision, StoreWatcher watcher)
{
    if (fromRevision && fromRevision <= m_compactedRevision)
        return std::nullopt;
    std::vector<WatchEvent> replayed;
    for (const auto& it : m_history) {
        if (fromRevision && it.pair.modRevision >= fromRevision && it.pair.key.starts_with(prefix))
            replayed.push_back(it);
    }
    if (!replayed.empty())
        watcher(replayed);
    m_watches[++m_lastWatch] = { prefix, std::move(watcher) };
    return m_lastWatch;
}

void KeyValueStore::cancelWatch(WatchId id)
{
    m_watches.erase(id);
}

} // namespace Adapters
