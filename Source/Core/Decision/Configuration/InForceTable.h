#pragma once

/// Configuration revision in force on each host, from the heartbeats received.

#include "Common/Time.h"
#include "Decision/Configuration/ConfigurationKeeper.h"

#include <map>
#include <vector>

namespace Decision {

/// Tracks the revisions in heartbeats. The highest one ever seen is never forgotten.
class InForceTable {
public:
    void onHeartbeat(Common::Instant now, const HeartbeatReceived&);
    /// Highest revision ever seen; zero for none.
    std::uint64_t highest() const { return m_highest; }
    /// Hosts with a higher revision than this one and a heartbeat within `age`, sorted by name.
    std::vector<Ports::HostId> hostsAbove(std::uint64_t revision, Common::Instant now, std::chrono::milliseconds age) const;
    /// Hosts with a heartbeat within `age`, by data centre.
    std::vector<DataCentreInForce> report(Common::Instant now, std::chrono::milliseconds age) const;

private:
    struct Entry {
        std::string dataCentre;
        std::uint64_t revision = 0;
        bool ready = false;
        Common::Instant lastHeartbeatAt {};
    };

    std::map<Ports::HostId, Entry> m_entries;
    std::uint64_t m_highest = 0;
};

} // namespace Decision
