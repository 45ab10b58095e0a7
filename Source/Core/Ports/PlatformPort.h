#pragma once

/// Port for the platform: a key-value store with compare-and-swap, leases and watches, and the host list.

#include "Common/Registry.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Ports {

using LeaseId = std::int64_t;

/// A key with its value and the store revision of its last change.
struct KeyValue {
    std::string key;
    std::string value;
    std::int64_t modRevision = 0;
};

/// Holds if the key was last changed at `modRevision`; zero means that the key must not exist.
struct Compare {
    std::string key;
    std::int64_t modRevision = 0;
};

/// A write of a transaction.
struct Put {
    std::string key;
    std::string value;
    LeaseId lease = 0; ///< The key is deleted when this lease expires; zero for none.
};

/// Applies all puts and deletes atomically if every compare holds, else none.
struct Transaction {
    std::vector<Compare> compares;
    std::vector<Put> puts;
    std::vector<std::string> deletes;
};

/// Result of a call.
enum class PlatformStatus {
    Ok,
    ComparesFailed, ///< A compare didn't hold; the transaction had no effect.
    NotSent, ///< The call had no effect.
    Uncertain, ///< No answer; the call may have taken effect.
};

/// Reply to any call; only the fields for that kind of call are set.
struct PlatformReply {
    PlatformStatus status = PlatformStatus::Uncertain;
    std::int64_t revision = 0; ///< Store revision.
    std::vector<KeyValue> values; ///< Set by read().
    LeaseId lease = 0; ///< Set by grantLease().
    std::chrono::seconds timeToLive { 0 }; ///< Set by grantLease() and renewLease(); zero if the lease has expired.
};

using PlatformCallback = std::function<void(PlatformReply)>;

/// A change reported by a watch.
struct WatchEvent {
    KeyValue pair;
    bool deleted = false;
};

/// Called with changes in order. `broken` means that the watch has ended: read again, then watch from that revision.
using WatchCallback = std::function<void(const std::vector<WatchEvent>&, bool broken)>;

/// An entry of the platform's host list.
struct ListedHost {
    enum class State {
        Live,
        Leaving,
    };
    std::string name;
    std::string address;
    State state = State::Live;
    std::uint64_t incarnation = 0; ///< Increases with each reboot; zero if the platform doesn't report it.
    std::string dataCentre {}; ///< Empty if the platform doesn't report it.
};

using HostListCallback = std::function<void(PlatformStatus, std::vector<ListedHost>)>;

/// Addresses of the platform's services and the limits of calls.
struct PlatformSettings {
    std::string keyValueAddress; ///< "ip:port"; unused by the embedded platform.
    std::string hostListAddress; ///< "ip:port"; unused by the embedded platform.
    std::chrono::milliseconds callTimeout { 2000 };
    std::string dataCentre {}; ///< Data centre whose hosts are listed; empty for all.
};

/// Client of the platform. Every call returns at once; its callback runs on the adapter's thread, exactly once. Thread-safe.
class PlatformPort {
public:
    virtual ~PlatformPort() = default;
    virtual void start() = 0;
    /// Reads one key, or every key that starts with `key` if `prefix` is set.
    virtual void read(const std::string& key, bool prefix, PlatformCallback) = 0;
    virtual void transact(Transaction, PlatformCallback) = 0;
    virtual void grantLease(std::chrono::seconds timeToLive, PlatformCallback) = 0;
    virtual void renewLease(LeaseId, PlatformCallback) = 0;
    virtual void revokeLease(LeaseId, PlatformCallback) = 0;
    /// Watches a prefix, starting at `fromRevision`, until the process ends or the callback reports `broken`.
    virtual void watch(const std::string& prefix, std::int64_t fromRevision, WatchCallback) = 0;
    /// Lists the hosts of the configured data centre and those whose data centre the platform doesn't report.
    virtual void readHostList(HostListCallback) = 0;
    /// Reboots a host if it is still at that incarnation. ComparesFailed if it isn't, Uncertain if no answer arrived.
    virtual void rebootHost(const std::string& name, std::uint64_t incarnation, PlatformCallback) = 0;
    virtual void stop() = 0;
};

using PlatformPortRegistry = Common::Registry<PlatformPort, const PlatformSettings&>;
using PlatformPortRegistration = Common::Registration<PlatformPort, const PlatformSettings&>;

} // namespace Ports
