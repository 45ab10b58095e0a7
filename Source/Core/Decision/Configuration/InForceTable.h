#pragma once

/// Which revision each host that was heard has in force.

#include "Common/Time.h"
#include "Decision/Configuration/ConfigurationKeeper.h"

#include <map>
#include <vector>

namespace Decision {

/// Revisions shown by peers. The highest one ever shown is never forgotten.
class InForceTable {
public:
    void onHeartbeat(Common::Instant now, const HeartbeatReceived&);
    std::uint64_t highest() const { return m_highest; }
    /// Hosts that showed a revision above this one and were heard within `age`, by name.
    std::vector<Ports::HostId> hostsAbove(std::uint64_t revision, Common::Instant now, std::chrono::milliseconds age) const;
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
