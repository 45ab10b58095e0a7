#pragma once

/// Calls of the platform as values: a decision core returns them as actions and gets the replies as events.
/// Tokens are chosen by the core that asks; they are unique inside that core only, so whoever runs the actions
/// keeps the core beside the token.

#include "Ports/PlatformPort.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Decision {

/// Matches a reply to the call that it answers; never reused inside one core.
using PlatformToken = std::uint64_t;

/// Reads a key, or every key with the prefix when `prefix` is set.
struct PlatformRead {
    PlatformToken token = 0;
    std::string key;
    bool prefix = false;
};

/// Writes all or nothing when every compare holds.
struct PlatformTransact {
    PlatformToken token = 0;
    Ports::Transaction transaction;
};

/// Asks for a new lease.
struct LeaseGrant {
    PlatformToken token = 0;
    std::chrono::seconds timeToLive { 0 };
};

/// Renews a lease.
struct LeaseRenew {
    PlatformToken token = 0;
    Ports::LeaseId lease = 0;
};

/// Gives a lease up; its keys are deleted.
struct LeaseRevoke {
    PlatformToken token = 0;
    Ports::LeaseId lease = 0;
};

/// Watches a prefix from a store revision on. Its token stays valid for every event of the watch.
struct PlatformWatch {
    PlatformToken token = 0;
    std::string prefix;
    std::int64_t fromRevision = 0;
};

/// Reads the list of live and leaving hosts.
struct HostListRead {
    PlatformToken token = 0;
};

/// Reboots a host if it still is at that incarnation.
struct HostReboot {
    PlatformToken token = 0;
    std::string host;
    std::uint64_t incarnation = 0;
};

/// A call that a core wants made.
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
    bool broken = false; ///< The watch ended; the core reads afresh and asks for a new one.
};

/// Event: the host list as read.
struct HostListReplied {
    PlatformToken token = 0;
    Ports::PlatformStatus status = Ports::PlatformStatus::Uncertain;
    std::vector<Ports::ListedHost> hosts;
};

} // namespace Decision
