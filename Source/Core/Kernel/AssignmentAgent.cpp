#include "Kernel/AssignmentAgent.h"

#include "Decision/Assignment/AssignmentCodec.h"

#include <utility>

namespace Kernel {

namespace {

    /// Heartbeats announce later versions; this interval is for a host that receives none.
    constexpr std::chrono::milliseconds refreshInterval { 60000 };
    constexpr std::chrono::milliseconds retryInterval { 300 };

} // namespace

AssignmentAgent::AssignmentAgent(std::string dataCentre, Decision::ProcessId self)
    : m_dataCentre(std::move(dataCentre))
    , m_self(std::move(self))
{
}

void AssignmentAgent::setConfigured(std::map<std::string, ConfiguredUpstream> configured)
{
    m_configured = std::move(configured);
    m_readRequested = true;
}

void AssignmentAgent::noteVersion(std::uint64_t version)
{
    if (version > m_snapshot.record.version)
        m_readRequested = true;
}

void AssignmentAgent::startCall(Call call, Decision::PlatformAction action)
{
    m_call = call;
    m_actions.push_back(std::move(action));
}

void AssignmentAgent::read(Common::Instant now)
{
    m_readRequested = false;
    m_nextRead = now + refreshInterval;
    m_readLease = m_registeredLease;
    m_token = m_nextToken++;
    startCall(Call::Read, Decision::assignmentRead(m_dataCentre, m_token));
}

void AssignmentAgent::tick(Common::Instant now, std::optional<Decision::ViewLease> lease)
{
    m_lease = lease;
    if (!lease || lease->id != m_registeredLease) {
        m_registeredLease = 0;
    } else {
        m_updates.lease = lease;
    }
    if (m_call != Call::None || now < m_retryAt)
        return;
    if (lease && !m_registeredLease && m_hasRead) {
        m_registeringLease = lease->id;
        m_token = m_nextToken++;
        startCall(Call::Register, Decision::registration(m_dataCentre, m_self, lease->id, m_snapshot.members, m_token));
        return;
    }
    if (m_readRequested || now >= m_nextRead)
        read(now);
}

bool AssignmentAgent::addMissingUpstreams()
{
    Decision::AssignmentRecord next = m_snapshot.record;
    ++next.version;
    bool changed = false;
    for (const auto& [name, configured] : m_configured) {
        if (next.upstreams.count(name))
            continue;
        Decision::UpstreamAssignment added;
        added.pool = configured.pool;
        added.pinned = configured.pinned;
        added.since = next.version;
        next.upstreams.emplace(name, added);
        changed = true;
    }
    if (!changed)
        return false;
    m_token = m_nextToken++;
    const Decision::RecordWrite write { m_token, std::move(next), m_snapshot.recordRevision };
    startCall(Call::Add, Decision::assignmentWrite(m_dataCentre, write));
    return true;
}

void AssignmentAgent::handleRead(Common::Instant now, const Ports::PlatformReply& reply)
{
    if (reply.status != Ports::PlatformStatus::Ok) {
        m_readRequested = true;
        m_retryAt = now + retryInterval;
        return;
    }
    m_hasRead = true;
    auto snapshot = Decision::snapshotFrom(m_dataCentre, reply.values);
    if (!snapshot) {
        // No record yet: the first host creates it from the configuration, by a write that compares for "must not exist".
        m_snapshot = {};
        if (!addMissingUpstreams())
            m_retryAt = now + retryInterval;
        return;
    }
    // Ignore a store that went back to an older record.
    if (snapshot.value().record.version < m_snapshot.record.version)
        return;
    m_snapshot = snapshot.take();
    m_updates.record = m_snapshot.record;
    m_updates.readLease = m_readLease;
    addMissingUpstreams();
}

void AssignmentAgent::handle(Common::Instant now, const Decision::PlatformReplied& event)
{
    if (m_call == Call::None || event.token != m_token)
        return;
    switch (std::exchange(m_call, Call::None)) {
    case Call::Read:
        handleRead(now, event.reply);
        return;
    case Call::Register:
        if (event.reply.status == Ports::PlatformStatus::Ok && m_lease && m_lease->id == m_registeringLease) {
            m_registeredLease = m_registeringLease;
            m_updates.lease = m_lease;
        } else {
            m_retryAt = now + retryInterval;
        }
        m_readRequested = true;
        return;
    case Call::Add:
        if (event.reply.status != Ports::PlatformStatus::Ok)
            m_retryAt = now + retryInterval;
        m_readRequested = true;
        return;
    case Call::None:
        return;
    }
}

std::vector<Decision::PlatformAction> AssignmentAgent::takeActions()
{
    return std::exchange(m_actions, {});
}

AssignmentUpdates AssignmentAgent::takeUpdates()
{
    return std::exchange(m_updates, {});
}

} // namespace Kernel
