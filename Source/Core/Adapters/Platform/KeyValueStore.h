#pragma once

/// In-memory state of a key-value service with compare-and-swap, leases and watches; without I/O, clock or threads.

#include "Common/Time.h"
#include "Ports/PlatformPort.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Adapters {

/// Result that a transaction would have now.
enum class TransactionVerdict {
    Applies,
    ComparesFailed,
    LeaseNotFound, ///< A put names a lease that has expired or never existed.
};

/// Receives the changes of one or more revisions, in order. Must not call the store.
using StoreWatcher = std::function<void(const std::vector<Ports::WatchEvent>&)>;

/// Keys, revisions, leases and watches with the semantics of etcd. Not thread-safe. Functions that depend on leases are passed
/// the current time and expire overdue leases first.
class KeyValueStore {
public:
    using WatchId = std::uint64_t;

    /// Reads one key, or all keys with the prefix, in order.
    Ports::PlatformReply read(const std::string& key, bool prefix, Common::Instant now);
    /// Returns what transact() would do, without changing anything.
    TransactionVerdict check(const Ports::Transaction&, Common::Instant now);
    /// Applies all writes with one new revision, or none with ComparesFailed. A put on an expired lease fails the transaction
    /// like a compare.
    Ports::PlatformReply transact(const Ports::Transaction&, Common::Instant now);
    /// Grants at least one second; the reply has the id and the granted time.
    Ports::PlatformReply grantLease(std::chrono::seconds timeToLive, Common::Instant now);
    /// Extends a lease by its granted time. The reply's timeToLive is zero if the lease has expired.
    Ports::PlatformReply renewLease(Ports::LeaseId, Common::Instant now);
    /// Deletes a lease and its keys. Unknown leases are ignored.
    Ports::PlatformReply revokeLease(Ports::LeaseId, Common::Instant now);
    /// Deletes overdue leases and their keys.
    void expireLeases(Common::Instant now);
    /// When the next lease expires; nullopt if there is none.
    std::optional<Common::Instant> nextExpiry() const;

    /// Replays the changes from that revision on (inclusive; zero for none), then reports new ones. Returns nullopt if the
    /// history, which keeps the last 100,000 changes, doesn't reach back that far.
    std::optional<WatchId> watch(const std::string& prefix, std::int64_t fromRevision, StoreWatcher);
    void cancelWatch(WatchId);
    std::size_t watchCount() const { return m_watches.size(); }
    std::int64_t revision() const { return m_revision; }

private:
    struct Entry {
        std::string value;
        std::int64_t modRevision = 0;
        Ports::LeaseId lease = 0;
    };

    struct Lease {
        std::chrono::seconds timeToLive { 0 };
        Common::Instant expiry {};
        std::set<std::string> keys;
    };

    struct Watch {
        std::string prefix;
        StoreWatcher watcher;
    };

    TransactionVerdict verdictOf(const Ports::Transaction&) const;
    void put(const Ports::Put&, std::vector<Ports::WatchEvent>&);
    void remove(const std::string& key, std::vector<Ports::WatchEvent>&);
    void deleteLease(Ports::LeaseId);
    void publish(const std::vector<Ports::WatchEvent>&);
    Ports::PlatformReply replyWith(Ports::PlatformStatus) const;

    std::map<std::string, Entry> m_entries;
    std::map<Ports::LeaseId, Lease> m_leases;
    std::map<WatchId, Watch> m_watches;
    std::deque<Ports::WatchEvent> m_history;
    std::int64_t m_revision = 1;
    std::int64_t m_compactedRevision = 0; ///< Changes up to this revision have been dropped from the history.
    Ports::LeaseId m_lastLease = 1000;
    WatchId m_lastWatch = 0;
};

} // namespace Adapters
