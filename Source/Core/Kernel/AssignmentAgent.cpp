#include "Kernel/AssignmentAgent.h"

#include "Decision/Assignment/AssignmentCodec.h"

#include <utility>

namespace Kernel {

namespace {

    /// Later versions are learnt from heartbeats; this is for a host that hears no peer.
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
    m_readWanted = true;
}

void AssignmentAgent::hint(std::uint64_t version)
{
    if (version > m_snapshot.record.version)
        m_readWanted = true;
}

void AssignmentAgent::begin(Call call, Decision::PlatformAction action)
{
    m_call = call;
    m_actions.push_back(std::move(action));
}

void AssignmentAgent::read(Common::Instant now)
{
    m_readWanted = false;
    m_nextRead = now + refreshInterval;
    m_askedUnder = m_registered;
    m_token = m_nextToken++;
    begin(Call::Read, Decision::assignmentRead(m_dataCentre, m_token));
}

void AssignmentAgent::tick(Common::Instant now, std::optional<Decision::ViewLease> lease)
{
    m_lease = lease;
    if (!lease || lease->id != m_registered) {
        m_registered = 0;
    } else {
        m_news.lease = lease;
    }
    if (m_call != Call::None || now < m_retryAt)
        return;
    if (lease && !m_registered && m_everRead) {
        m_registering = lease->id;
        m_token = m_nextToken++;
        begin(Call::Register, Decision::registration(m_dataCentre, m_self, lease->id, m_snapshot.members, m_token));
        return;
    }
    if (m_readWanted || now >= m_nextRead)
        read(now);
}

bool AssignmentAgent::addMissing()
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
    begin(Call::Add, Decision::assignmentWrite(m_dataCentre, write));
    return true;
}

void AssignmentAgent::readDone(Common::Instant now, const Ports::PlatformReply& reply)
{
    if (reply.status != Ports::PlatformStatus::Ok) {
        m_readWanted = true;
        m_retryAt = now + retryInterval;
        return;
    }
    m_everRead = true;
    auto snapshot = Decision::snapshotFrom(m_dataCentre, reply.values);
    if (!snapshot) {
        // No record yet: whoever comes first creates it from the configuration, by a compare with "must not exist".
        m_snapshot = {};
        if (!addMissing())
            m_retryAt = now + retryInterval;
        return;
    }
    // A store that came back older is not followed.
    if (snapshot.value().record.version < m_snapshot.record.version)
        return;
    m_snapshot = snapshot.take();
    m_news.record = m_snapshot.record;
    m_news.askedUnder = m_askedUnder;
    addMissing();
}

void AssignmentAgent::handle(Common::Instant now, const Decision::PlatformReplied& event)
{
    if (m_call == Call::None || event.token != m_token)
        return;
    switch (std::exchange(m_call, Call::None)) {
    case Call::Read:
        readDone(now, event.reply);
        return;
    case Call::Register:
        if (event.reply.status == Ports::PlatformStatus::Ok && m_lease && m_lease->id == m_registering) {
            m_registered = m_registering;
            m_news.lease = m_lease;
        } else {
            m_retryAt = now + retryInterval;
        }
        m_readWanted = true;
        return;
    case Call::Add:
        if (event.reply.status != Ports::PlatformStatus::Ok)
            m_retryAt = now + retryInterval;
        m_readWanted = true;
        return;
    case Call::None:
        return;
    }
}

std::vector<Decision::PlatformAction> AssignmentAgent::takeActions()
{
    return std::exchange(m_actions, {});
}

AssignmentNews AssignmentAgent::takeNews()
{
    return std::exchange(m_news, {});
}

} // namespace Kernel
