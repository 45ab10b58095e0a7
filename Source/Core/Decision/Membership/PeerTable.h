#pragma once

/// Heartbeats received from other hosts, by host and incarnation.

#include "Common/Time.h"
#include "Decision/Membership/Actions.h"
#include "Decision/Membership/ViewRecord.h"

#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace Decision {

/// Tracks which peers are alive. Heartbeats of one incarnation never count for another.
class PeerTable {
public:
    void onHeartbeat(Common::Instant now, const HeartbeatReceived&);
    /// The host isn't alive until its next heartbeat.
    void onDisconnected(Common::Instant now, const Ports::HostId&);
    /// Adds a member of an adopted view. Time without a heartbeat is counted from here, not from before this host knew of it.
    void addMember(Common::Instant now, const ViewMember&);

    /// True when a heartbeat came within the timeout and the connection hasn't broken since.
    bool alive(const ViewMember&, Common::Instant now, std::chrono::milliseconds timeout) const;
    /// Time since the member's last heartbeat, or since it became known if there was none; zero for an unknown member.
    std::chrono::microseconds timeSinceHeartbeat(const ViewMember&, Common::Instant now) const;
    /// Null when there was none.
    const Messages::Heartbeat* lastHeartbeat(const ViewMember&) const;
    /// Forgets entries whose last heartbeat is older than `age`, except for the members of `keep`.
    void prune(Common::Instant now, std::chrono::milliseconds age, const View& keep);

private:
    struct Key {
        Ports::HostId host;
        std::uint64_t incarnation = 0;

        bool operator<(const Key& other) const { return std::tie(host, incarnation) < std::tie(other.host, other.incarnation); }
    };
    struct Entry {
        std::optional<Common::Instant> lastHeartbeatAt;
        std::optional<Common::Instant> disconnectedAt;
        Common::Instant firstKnownAt {};
        Messages::Heartbeat heartbeat;
    };

    const Entry* find(const ViewMember&) const;

    std::map<Key, Entry> m_entries;
};

} // namespace Decision
