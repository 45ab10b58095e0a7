#include "Decision/Membership/PeerTable.h"

namespace Decision {

void PeerTable::onHeartbeat(Common::Instant now, const HeartbeatReceived& event)
{
    const auto [it, isNew] = m_entries.try_emplace({ event.from, event.heartbeat.incarnation });
    if (isNew)
        it->second.firstKnownAt = now;
    it->second.lastHeartbeatAt = now;
    it->second.disconnectedAt.reset();
    it->second.heartbeat = event.heartbeat;
}

void PeerTable::onDisconnected(Common::Instant now, const Ports::HostId& host)
{
    for (auto it = m_entries.lower_bound({ host, 0 }); it != m_entries.end() && it->first.host == host; ++it)
        it->second.disconnectedAt = now;
}

void PeerTable::addMember(Common::Instant now, const ViewMember& member)
{
    const auto [it, isNew] = m_entries.try_emplace({ member.host, member.incarnation });
    if (isNew)
        it->second.firstKnownAt = now;
}

const PeerTable::Entry* PeerTable::find(const ViewMember& member) const
{
    const auto it = m_entries.find({ member.host, member.incarnation });
    return it == m_entries.end() ? nullptr : &it->second;
}

bool PeerTable::alive(const ViewMember& member, Common::Instant now, std::chrono::milliseconds timeout) const
{
    const auto* entry = find(member);
    return entry && entry->lastHeartbeatAt && !entry->disconnectedAt && now - *entry->lastHeartbeatAt < timeout;
}

std::chrono::microseconds PeerTable::timeSinceHeartbeat(const ViewMember& member, Common::Instant now) const
{
    const auto* entry = find(member);
    if (!entry)
        return std::chrono::microseconds::zero();
    return now - entry->lastHeartbeatAt.value_or(entry->firstKnownAt);
}

const Messages::Heartbeat* PeerTable::lastHeartbeat(const ViewMember& member) const
{
    const auto* entry = find(member);
    return entry && entry->lastHeartbeatAt ? &entry->heartbeat : nullptr;
}

void PeerTable::prune(Common::Instant now, std::chrono::milliseconds age, const View& keep)
{
    std::erase_if(m_entries, [&](const auto& item) {
        const auto* member = keep.find(item.first.host);
        if (member && member->incarnation == item.first.incarnation)
            return false;
        return now - item.second.lastHeartbeatAt.value_or(item.second.firstKnownAt) > age;
    });
}

} // namespace Decision
