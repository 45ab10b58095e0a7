#pragma once

/// Platform calls as values: a decision core returns them as actions and receives the replies as events.
/// Each core chooses its tokens; they are unique within that core only, so the code that runs the actions
/// must remember which core a token belongs to.

#include "Ports/PlatformPort.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Decision {

/// Matches a reply to its call; never reused within one core.
using PlatformToken = std::uint64_t;

/// Reads a key, or every key with the prefix when `prefix` is set.
struct PlatformRead {
    PlatformToken token = 0;
    std::string key;
    bool prefix = false;
};

/// Applies all writes of a transaction if every compare holds, none otherwise.
struct PlatformTransact {
    PlatformToken token = 0;
    Ports::Transaction transaction;
};

/// Requests a new lease.
struct LeaseGrant {
    PlatformToken token = 0;
    std::chrono::seconds timeToLive { 0 };
};

/// Renews a lease.
struct LeaseRenew {
    PlatformToken token = 0;
    Ports::LeaseId lease = 0;
};

/// Revokes a lease; the store deletes its keys.
struct LeaseRevoke {
    PlatformToken token = 0;
    Ports::LeaseId lease = 0;
};

/// Watches the keys with a prefix from a store revision on. Every event of the watch carries its token.
struct PlatformWatch {
    PlatformToken token = 0;
    std::string prefix;
    std::int64_t fromRevision = 0;
};

/// Reads the list of live and leaving hosts.
struct HostListRead {
    PlatformToken token = 0;
};

/// Reboots a host if it still has that incarnation.
struct HostReboot {
    PlatformToken token = 0;
    std::string host;
    std::uint64_t incarnation = 0;
};

/// A call that a core returns for its caller to make.
using PlatformAction = std::variant<PlatformRead, PlatformTransact, LeaseGrant, LeaseRenew, LeaseRevoke, PlatformWatch, HostListRead, HostReboot>;

/// Event: the reply to a call. Every call but a watch gets exactly one.
struct PlatformReplied {
    PlatformToken token = 0;
    Ports::PlatformReply reply;
};

/// Event: changes seen by a watch, or its end.
struct PlatformWatched {
    PlatformToken token = 0;
    std::vector<Ports::WatchEvent> events;
    bool broken = false; ///< The watch ended; the core reads the keys again and starts a new watch.
};

/// Event: the reply to HostListRead; `hosts` is valid only with status Ok.
struct HostListReplied {
    PlatformToken token = 0;
    Ports::PlatformStatus status = Ports::PlatformStatus::Uncertain;
    std::vector<Ports::ListedHost> hosts;
};

} // namespace Decision
