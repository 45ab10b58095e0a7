#include "Decision/Membership/LeaseKeeper.h"

#include <utility>

namespace Decision {

LeaseKeeper::LeaseKeeper(LeaseSettings settings, bool countFromReply)
    : m_settings(settings)
    , m_countFromReply(countFromReply)
{
}

void LeaseKeeper::tick(Common::Instant now, PlatformToken& nextToken)
{
    if (m_lease && now >= m_validUntil)
        drop();
    if (m_pending || now < m_nextCall)
        return;
    const PlatformToken token = nextToken++;
    m_pending = token;
    m_pendingLease = m_lease;
    m_requestedAt = now;
    if (m_lease)
        m_actions.push_back(LeaseRenew { token, m_lease });
    else
        m_actions.push_back(LeaseGrant { token, m_settings.timeToLive });
}

bool LeaseKeeper::handle(Common::Instant now, const PlatformReplied& event)
{
    if (m_pending != event.token)
        return false;
    m_pending.reset();
    if (event.reply.status != Ports::PlatformStatus::Ok) {
        m_nextCall = now + m_settings.retryInterval;
        return true;
    }
    if (m_pendingLease)
        onRenewed(now, event.reply);
    else
        onGranted(now, event.reply);
    return true;
}

void LeaseKeeper::drop()
{
    m_lease = 0;
    m_nextCall = {};
}

void LeaseKeeper::onGranted(Common::Instant now, const Ports::PlatformReply& reply)
{
    m_lease = reply.lease;
    m_validUntil = (m_countFromReply ? now : m_requestedAt) + reply.timeToLive;
    m_nextCall = m_requestedAt + m_settings.renewInterval;
}

void LeaseKeeper::onRenewed(Common::Instant now, const Ports::PlatformReply& reply)
{
    if (m_pendingLease != m_lease)
        return;
    if (reply.timeToLive.count() == 0) {
        drop();
        return;
    }
    m_validUntil = (m_countFromReply ? now : m_requestedAt) + reply.timeToLive;
    m_nextCall = m_requestedAt + m_settings.renewInterval;
}

std::optional<Ports::LeaseId> LeaseKeeper::lease(Common::Instant now) const
{
    if (!m_lease || now >= m_validUntil)
        return std::nullopt;
    return m_lease;
}

std::optional<Common::Instant> LeaseKeeper::nextDeadline() const
{
    if (m_pending)
        return m_lease ? std::optional(m_validUntil) : std::nullopt;
    return m_lease && m_validUntil < m_nextCall ? m_validUntil : m_nextCall;
}

std::vector<PlatformAction> LeaseKeeper::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace Decision
