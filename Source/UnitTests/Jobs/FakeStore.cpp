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

void FakeStore::pauseLeases()
{
    isDown = true;
    m_pausedAt = loop.now();
}

void FakeStore::resume()
{
    isDown = false;
    if (m_pausedAt)
        m_pausedFor += loop.now() - *std::exchange(m_pausedAt, std::nullopt);
}

void FakeStore::discardHistory(std::chrono::milliseconds time)
{
    for (const auto& [id, breakWatch] : std::exchange(watchBreakers, {})) {
        state.cancelWatch(id);
        loop.after(time, breakWatch);
    }
}

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
    if (m_store.refusedHosts.contains(m_host)) {
        answer({ PlatformStatus::NotSent, 0, {}, 0, {} }, callback);
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
    if (prefix && m_store.pageSize > 0) {
        readPages(key, {}, callback);
        return;
    }
    call(
        false, [this, key, prefix] { return m_store.state.read(key, prefix, m_store.now()); }, callback);
}

void FakeStorePort::readPages(const std::string& prefix, const PlatformReply& result, const PlatformCallback& callback)
{
    const auto onPage = [this, prefix, result, callback](const PlatformReply& all) {
        auto next = result;
        next.status = all.status;
        next.revision = result.revision == 0 ? all.revision : result.revision;
        const auto last = result.values.empty() ? std::string() : result.values.back().key;
        const auto first = std::ranges::find_if(all.values, [&last](const auto& it) { return it.key > last; });
        const auto size = std::min(m_store.pageSize, static_cast<std::size_t>(all.values.end() - first));
        next.values.insert(next.values.end(), first, first + static_cast<std::ptrdiff_t>(size));
        if (next.status == PlatformStatus::Ok && first + static_cast<std::ptrdiff_t>(size) != all.values.end())
            readPages(prefix, next, callback);
        else
            callback(next.status == PlatformStatus::Ok ? next : PlatformReply { next.status, 0, {}, 0, {} });
    };
    call(
        false, [this, prefix] { return m_store.state.read(prefix, true, m_store.now()); }, onPage);
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
    if (!m_store.losesAnswersUnder.empty() && std::ranges::any_of(transaction.puts, [this](const auto& it) { return it.key.starts_with(m_store.losesAnswersUnder); }))
        m_store.answersToLose = std::max(m_store.answersToLose, 1U);
    call(
        true, [this, transaction = std::move(transaction)] { return m_store.state.transact(transaction, m_store.now()); }, callback);
}

void FakeStorePort::grantLease(std::chrono::seconds time, PlatformCallback callback)
{
    call(
        true, [this, time] { return m_store.state.grantLease(time, m_store.now()); }, callback);
}

void FakeStorePort::renewLease(Ports::LeaseId lease, PlatformCallback callback)
{
    call(
        false, [this, lease] { return m_store.state.renewLease(lease, m_store.now()); }, callback);
}

void FakeStorePort::revokeLease(Ports::LeaseId lease, PlatformCallback callback)
{
    call(
        true, [this, lease] { return m_store.state.revokeLease(lease, m_store.now()); }, callback);
}

void FakeStorePort::watch(const std::string& prefix, std::int64_t fromRevision, Ports::WatchCallback callback)
{
    const auto isOver = std::make_shared<bool>(false);
    callback = deferWhilePaused(m_hostLoop, std::move(callback));
    const auto breakWatch = [this, isOver, alive = m_isAlive, callback] {
        if (*alive && !*isOver) {
            *isOver = m_store.endsBrokenWatches;
            callback({}, true);
        }
    };
    const auto deliver = [this, isOver, breakWatch, callback](const std::vector<Ports::WatchEvent>& events) {
        m_store.loop.after(m_store.delay, [this, isOver, breakWatch, alive = m_isAlive, events, callback] {
            if (isCut() || m_store.refusedHosts.contains(m_host))
                breakWatch(); // The events are lost.
            else if (*alive && !*isOver)
                callback(events, false);
        });
    };
    if (const auto id = m_store.state.watch(prefix, fromRevision, deliver))
        m_store.watchBreakers[*id] = breakWatch;
    else
        callback({}, true);
}

void FakeStorePort::readHostList(Ports::HostListCallback callback) { callback(PlatformStatus::NotSent, {}); }

void FakeStorePort::rebootHost(const std::string&, std::uint64_t, PlatformCallback callback) { callback({ PlatformStatus::NotSent, 0, {}, 0, {} }); }
