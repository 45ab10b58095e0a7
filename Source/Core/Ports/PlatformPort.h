#pragma once

/// Port towards the platform: key-value service with compare-and-swap, leases and watches, and the host list.

#include "Common/Registry.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Ports {

using LeaseId = std::int64_t;

/// A key with its value and the revision of its last change.
struct KeyValue {
    std::string key;
    std::string value;
    std::int64_t modRevision = 0;
};

/// Holds when the key's last change is `modRevision`; zero means that the key must not exist.
struct Compare {
    std::string key;
    std::int64_t modRevision = 0;
};

/// A write inside a transaction.
struct Put {
    std::string key;
    std::string value;
    LeaseId lease = 0; ///< Zero for none.
};

/// Writes all or nothing when every compare holds.
struct Transaction {
    std::vector<Compare> compares;
    std::vector<Put> puts;
    std::vector<std::string> deletes;
};

/// How a call ended.
enum class PlatformStatus {
    Ok,
    ComparesFailed, ///< The transaction did nothing.
    NotSent, ///< The call surely had no effect.
    Uncertain, ///< No answer: it may have taken effect.
};

/// Reply to any call; only the fields of its kind are set.
struct PlatformReply {
    PlatformStatus status = PlatformStatus::Uncertain;
    std::int64_t revision = 0; ///< Of the store.
    std::vector<KeyValue> values; ///< Of a read.
    LeaseId lease = 0; ///< Of a grant.
    std::chrono::seconds timeToLive { 0 }; ///< Of a grant or a renewal; zero when the lease has lapsed.
};

using PlatformCallback = std::function<void(PlatformReply)>;

/// A change seen by a watch.
struct WatchEvent {
    KeyValue pair;
    bool deleted = false;
};

/// Called with changes in order; `broken` means that the watch ended and must be set up anew after a fresh read.
using WatchCallback = std::function<void(const std::vector<WatchEvent>&, bool broken)>;

/// A host as the platform's list shows it.
struct ListedHost {
    enum class State {
        Live,
        Leaving,
    };
    std::string name;
    std::string address;
    State state = State::Live;
    std::uint64_t incarnation = 0; ///< Goes up with each reboot; zero when the platform doesn't tell.
    std::string dataCentre {}; ///< Empty when the platform doesn't tell.
};

using HostListCallback = std::function<void(PlatformStatus, std::vector<ListedHost>)>;

/// Where the platform is.
struct PlatformSettings {
    std::string keyValueAddress; ///< "ip:port"; unused by the embedded one.
    std::string hostListAddress; ///< "ip:port"; unused by the embedded one.
    std::chrono::milliseconds callTimeout { 2000 };
    std::string dataCentre {}; ///< Whose hosts are asked for; empty for all.
};

/// Calls the platform. Every call returns at once; its callback runs on the adapter's thread, exactly once. Thread-safe.
class PlatformPort {
public:
    virtual ~PlatformPort() = default;
    virtual void start() = 0;
    /// Reads a key, or every key with the prefix when `prefix` is set.
    virtual void read(const std::string& key, bool prefix, PlatformCallback) = 0;
    virtual void transact(Transaction, PlatformCallback) = 0;
    virtual void grantLease(std::chrono::seconds timeToLive, PlatformCallback) = 0;
    virtual void renewLease(LeaseId, PlatformCallback) = 0;
    virtual void revokeLease(LeaseId, PlatformCallback) = 0;
    /// Watches a prefix from a store revision on, until the process ends or the watch breaks.
    virtual void watch(const std::string& prefix, std::int64_t fromRevision, WatchCallback) = 0;
    /// Reads the hosts of the own data centre, and those whose data centre the platform doesn't tell.
    virtual void readHostList(HostListCallback) = 0;
    /// Reboots a host if it still is at that incarnation; ComparesFailed when it isn't, Uncertain when no answer came.
    virtual void rebootHost(const std::string& name, std::uint64_t incarnation, PlatformCallback) = 0;
    virtual void stop() = 0;
};

using PlatformPortRegistry = Common::Registry<PlatformPort, const PlatformSettings&>;
using PlatformPortRegistration = Common::Registration<PlatformPort, const PlatformSettings&>;

} // namespace Ports
