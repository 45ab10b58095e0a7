#pragma once

/// State of a key-value service with compare-and-swap, leases and watches: no I/O, no clock, no threads.

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

/// What a transaction would do now.
enum class TransactionVerdict {
    Applies,
    ComparesFailed,
    LeaseNotFound, ///< A put names a lease that has lapsed or never was.
};

/// Receives the changes of one revision or more, in order; must not call the store.
using StoreWatcher = std::function<void(const std::vector<Ports::WatchEvent>&)>;

/// Keys, revisions, leases and watches with the semantics of etcd. Not thread-safe. Every call that can depend on
/// leases takes the time now, and first lets those lapse that are due.
class KeyValueStore {
public:
    using WatchId = std::uint64_t;

    Ports::PlatformReply read(const std::string& key, bool prefix, Common::Instant now);
    /// Tells what transact() would do, without doing it.
    TransactionVerdict check(const Ports::Transaction&, Common::Instant now);
    /// All writes get the same new revision. A put on a lapsed lease fails the whole transaction like a compare.
    Ports::PlatformReply transact(const Ports::Transaction&, Common::Instant now);
    Ports::PlatformReply grantLease(std::chrono::seconds timeToLive, Common::Instant now);
    /// The reply's timeToLive is zero when the lease has lapsed.
    Ports::PlatformReply renewLease(Ports::LeaseId, Common::Instant now);
    /// Deletes the lease and its keys.
    Ports::PlatformReply revokeLease(Ports::LeaseId, Common::Instant now);
    /// Deletes the keys of leases that are due.
    void expireLeases(Common::Instant now);
    /// When the next lease is due.
    std::optional<Common::Instant> nextExpiry() const;

    /// Replays the changes from that revision on (inclusive; zero for new ones only), then goes on with new ones.
    /// Nothing when the history doesn't reach back that far.
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
    void dropLease(Ports::LeaseId);
    void publish(const std::vector<Ports::WatchEvent>&);
    Ports::PlatformReply replyWith(Ports::PlatformStatus) const;

    std::map<std::string, Entry> m_entries;
    std::map<Ports::LeaseId, Lease> m_leases;
    std::map<WatchId, Watch> m_watches;
    std::deque<Ports::WatchEvent> m_history;
    std::int64_t m_revision = 1;
    std::int64_t m_compactedRevision = 0; ///< Changes up to this one have left the history.
    Ports::LeaseId m_lastLease = 1000;
    WatchId m_lastWatch = 0;
};

} // namespace Adapters
