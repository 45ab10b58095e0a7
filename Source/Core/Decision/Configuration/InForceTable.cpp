#include "Decision/Configuration/InForceTable.h"

#include <algorithm>

namespace Decision {

namespace {

    /// Hosts without a heartbeat for longer are forgotten.
    constexpr std::chrono::minutes entryRetention { 10 };

} // namespace

void InForceTable::onHeartbeat(Common::Instant now, const HeartbeatReceived& event)
{
    const auto& beat = event.heartbeat;
    m_entries[event.from] = { beat.dataCentre, beat.configurationRevision, beat.ready, now };
    m_highest = std::max(m_highest, beat.configurationRevision);
    std::erase_if(m_entries, [&](const auto& item) { return now - item.second.lastHeartbeatAt > entryRetention; });
}

std::vector<Ports::HostId> InForceTable::hostsAbove(std::uint64_t revision, Common::Instant now, std::chrono::milliseconds age) const
{
    std::vector<Ports::HostId> hosts;
    for (const auto& [host, entry] : m_entries) {
        if (entry.revision > revision && now - entry.lastHeartbeatAt <= age)
            hosts.push_back(host);
    }
    return hosts;
}

std::vector<DataCentreInForce> InForceTable::report(Common::Instant now, std::chrono::milliseconds age) const
{
    std::map<std::string, DataCentreInForce> byName;
    for (const auto& [host, entry] : m_entries) {
        if (now - entry.lastHeartbeatAt > age)
            continue;
        auto& dataCentre = byName[entry.dataCentre];
        dataCentre.dataCentre = entry.dataCentre;
        dataCentre.hosts.push_back({ host, entry.revision, entry.ready });
    }
    std::vector<DataCentreInForce> report;
    report.reserve(byName.size());
    for (auto& [name, dataCentre] : byName)
        report.push_back(std::move(dataCentre));
    return report;
}

} // namespace Decision
