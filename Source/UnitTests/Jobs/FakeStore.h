#pragma once

/// Fake of the platform's store in virtual time: one shared state, a port for each host, and injected faults.

#include "Adapters/Platform/KeyValueStore.h"
#include "HostLoop.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

/// State shared by the ports.
struct FakeStore {
    explicit FakeStore(VirtualLoop& virtualLoop)
        : loop(virtualLoop)
    {
    }

    void put(const std::string& key, const std::string& value)
    {
        Ports::Transaction transaction;
        transaction.puts = { { key, value, 0 } };
        state.transact(transaction, now());
    }

    /// The time by which leases expire: it doesn't advance while the store is down with pauseLeases().
    Common::Instant now() const { return (m_pausedAt ? *m_pausedAt : loop.now()) - m_pausedFor; }
    /// Takes the store down; leases pause until resume().
    void pauseLeases();
    void resume();
    /// From now on the watches report nothing. After that time they break, and what was published meanwhile isn't reported any more.
    void discardHistory(std::chrono::milliseconds time);

    VirtualLoop& loop;
    Adapters::KeyValueStore state;
    std::chrono::milliseconds delay { 2 }; ///< One way.
    std::chrono::milliseconds lateEffect { 0 }; ///< Extra delay until writes whose answer is lost take effect.
    unsigned answersToLose = 0; ///< Number of next writes that are carried out but not answered.
    bool isDown = false; ///< Calls time out without effect, and watches break.
    std::set<std::string> cutHosts; ///< Hosts for which the store is down.
    std::string unreadable; ///< Reads of exactly this key or prefix time out; empty for none.
    std::string losesReadsUnder; ///< Reads of keys or prefixes that begin so time out; empty for none.
    std::string losesWritesUnder; ///< Writes of keys with this prefix time out without effect; empty for none.
    std::string losesAnswersUnder; ///< Writes of keys with this prefix take effect after `lateEffect` and aren't answered; empty for none.
    std::set<std::string> refusedHosts; ///< Hosts whose calls are refused without effect, and whose watches break.
    std::size_t pageSize = 0; ///< Keys in a page of a list; the pages are read one after the other. Zero for no limit.
    bool endsBrokenWatches = false; ///< A watch that has broken reports nothing more.
    std::map<Adapters::KeyValueStore::WatchId, std::function<void()>> watchBreakers; ///< By watch.
    unsigned writes = 0; ///< Writes received, those with a lost answer included.

private:
    std::optional<Common::Instant> m_pausedAt;
    Common::Instant::duration m_pausedFor { 0 };
};

/// One host's connection to the store.
class FakeStorePort final : public Ports::PlatformPort {
public:
    /// `HostLoop` is null for a host that is never paused.
    FakeStorePort(FakeStore&, std::string host, HostLoop* = nullptr);

    void start() override { }
    void read(const std::string& key, bool prefix, Ports::PlatformCallback) override;
    void transact(Ports::Transaction, Ports::PlatformCallback) override;
    void grantLease(std::chrono::seconds, Ports::PlatformCallback) override;
    void renewLease(Ports::LeaseId, Ports::PlatformCallback) override;
    void revokeLease(Ports::LeaseId, Ports::PlatformCallback) override;
    void watch(const std::string& prefix, std::int64_t fromRevision, Ports::WatchCallback) override;
    void readHostList(Ports::HostListCallback) override;
    void rebootHost(const std::string&, std::uint64_t, Ports::PlatformCallback) override;
    void stop() override { *m_isAlive = false; }

private:
    using Call = std::function<Ports::PlatformReply()>;

    bool isCut() const { return m_store.isDown || m_store.cutHosts.contains(m_host); }
    void call(bool isWrite, const Call&, const Ports::PlatformCallback&);
    void leaveUnanswered(const Ports::PlatformCallback&);
    /// Reads the pages after the last key of the result.
    void readPages(const std::string& prefix, const Ports::PlatformReply& result, const Ports::PlatformCallback&);
    void answer(Ports::PlatformReply, const Ports::PlatformCallback&);

    FakeStore& m_store;
    std::string m_host;
    HostLoop* m_hostLoop;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true); ///< False once the host is killed: it gets no more callbacks.
};
