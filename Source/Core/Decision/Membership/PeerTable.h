#pragma once

/// What was heard from other hosts, by host and incarnation.

#include "Common/Time.h"
#include "Decision/Membership/Actions.h"
#include "Decision/Membership/ViewRecord.h"

#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace Decision {

/// Heartbeats of peers. A host's older incarnations never count for its newer one.
class PeerTable {
public:
    void onHeartbeat(Common::Instant now, const HeartbeatReceived&);
    void onDisconnected(Common::Instant now, const Ports::HostId&);
    /// Notes a member of an adopted view: silence isn't counted from before this host knew of it.
    void addMember(Common::Instant now, const ViewMember&);

    /// Heard within the timeout, and the connection hasn't broken since.
    bool alive(const ViewMember&, Common::Instant now, std::chrono::milliseconds timeout) const;
    /// How long the member has been silent, or known and never heard.
    std::chrono::microseconds timeSinceHeartbeat(const ViewMember&, Common::Instant now) const;
    const Messages::Heartbeat* lastHeartbeat(const ViewMember&) const;
    /// Forgets what is older than `age`.
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
