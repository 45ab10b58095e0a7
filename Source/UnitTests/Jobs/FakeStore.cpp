#include "FakeStore.h"

#include <algorithm>
#include <utility>

using Ports::PlatformCallback;
using Ports::PlatformReply;
using Ports::PlatformStatus;

namespace {

constexpr std::size_t maxTransactionEntries = 32; ///< As in the real store.
constexpr std::chrono::milliseconds callTimeout { 900 };

} // namespace

FakeStorePort::FakeStorePort(FakeStore& store, std::string host, HostLoop* hostLoop)
    : m_store(store)
    , m_host(std::move(host))
    , m_hostLoop(hostLoop)
{
}

void FakeStorePort::answer(PlatformReply reply, const PlatformCallback& callback)
{
    m_store.loop.after(m_store.delay, [alive = m_isAlive, reply = std::move(reply), callback = deferWhilePaused(m_hostLoop, callback)] {
        if (*alive)
            callback(reply);
    });
}

void FakeStorePort::leaveUnanswered(const PlatformCallback& callback)
{
    m_store.loop.after(callTimeout, [alive = m_isAlive, callback = deferWhilePaused(m_hostLoop, callback)] {
        if (*alive)
            callback({ PlatformStatus::Uncertain, 0, {}, 0, {} });
    });
}

void FakeStorePort::call(bool isWrite, const Call& operation, const PlatformCallback& callback)
{
    if (isCut()) {
        leaveUnanswered(callback);
        return;
    }
    m_store.writes += isWrite ? 1 : 0;
    if (isWrite && m_store.answersToLose > 0) {
        --m_store.answersToLose;
        m_store.loop.after(m_store.delay + m_store.lateEffect, [operation] { operation(); });
        leaveUnanswered(callback);
        return;
    }
    m_store.loop.after(m_store.delay, [this, operation, callback] { answer(operation(), callback); });
}

void FakeStorePort::read(const std::string& key, bool prefix, PlatformCallback callback)
{
    const bool isLost = !m_store.losesReadsUnder.empty() && key.starts_with(m_store.losesReadsUnder);
    if (isLost || (!m_store.unreadable.empty() && key == m_store.unreadable)) {
        leaveUnanswered(callback);
        return;
    }
    call(
        false, [this, key, prefix] { return m_store.state.read(key, prefix, m_store.loop.now()); }, callback);
}

void FakeStorePort::transact(Ports::Transaction transaction, PlatformCallback callback)
{
    if (transaction.compares.size() + transaction.puts.size() + transaction.deletes.size() > maxTransactionEntries) {
        answer({ PlatformStatus::NotSent, 0, {}, 0, {} }, callback);
        return;
    }
    if (!m_store.losesWritesUnder.empty() && std::ranges::any_of(transaction.puts, [this](const auto& it) { return it.key.starts_with(m_store.losesWritesUnder); })) {
        leaveUnanswered(callback);
        return;
    }
    call(
        true, [this, transaction = std::move(transaction)] { return m_store.state.transact(transaction, m_store.loop.now()); }, callback);
}

void FakeStorePort::grantLease(std::chrono::seconds time, PlatformCallback callback)
{
    call(
        true, [this, time] { return m_store.state.grantLease(time, m_store.loop.now()); }, callback);
}

void FakeStorePort::renewLease(Ports::LeaseId lease, PlatformCallback callback)
{
    call(
        false, [this, lease] { return m_store.state.renewLease(lease, m_store.loop.now()); }, callback);
}

void FakeStorePort::revokeLease(Ports::LeaseId lease, PlatformCallback callback)
{
    call(
        true, [this, lease] { return m_store.state.revokeLease(lease, m_store.loop.now()); }, callback);
}

void FakeStorePort::watch(const std::string& prefix, std::int64_t fromRevision, Ports::WatchCallback callback)
{
    callback = deferWhilePaused(m_hostLoop, std::move(callback));
    const auto deliver = [this, callback](const std::vector<Ports::WatchEvent>& events) {
        m_store.loop.after(m_store.delay, [this, alive = m_isAlive, events, callback] {
            if (*alive && !isCut())
                callback(events, false);
            else if (*alive)
                callback({}, true); // Cut off: the watch breaks and the events are lost.
        });
    };
    if (!m_store.state.watch(prefix, fromRevision, deliver))
        callback({}, true);
}

void FakeStorePort::readHostList(Ports::HostListCallback callback) { callback(PlatformStatus::NotSent, {}); }

void FakeStorePort::rebootHost(const std::string&, std::uint64_t, PlatformCallback callback) { callback({ PlatformStatus::NotSent, 0, {}, 0, {} }); }
