#include "Decision/Membership/ViewKeeper.h"

#include "Common/Rendezvous.h"

#include <algorithm>
#include <utility>

namespace Decision {

namespace {

    /// Alive members that may remove a member as soon as the removal timeout has passed; the others wait longer.
    constexpr std::size_t removerCount = 2;
    /// Any member may remove it after this many times the removal timeout.
    constexpr int anyRemoverFactor = 3;

} // namespace

ViewKeeper::ViewKeeper(const MembershipSettings& settings, MembershipGuards guards)
    : m_settings(settings)
    , m_guards(guards)
{
}

void ViewKeeper::tick(Common::Instant now, std::optional<Ports::LeaseId> lease, const PeerTable& peers, PlatformToken& nextToken)
{
    if (m_superseded || m_call != Call::None)
        return;
    if (isMember() && lease && *lease != m_keyLease && !m_hasFreshRead)
        m_nextStep = std::min(m_nextStep, now + m_settings.joinRetry);
    if (m_hasFreshRead && lease) {
        m_hasFreshRead = false;
        decide(now, *lease, peers, nextToken);
        return;
    }
    if (!m_hasFreshRead && now >= m_nextRemoval && m_keyLease && removeUnresponsive(now, peers, nextToken))
        return;
    if (now < m_nextStep)
        return;
    m_hasFreshRead = false;
    m_lastReadAt = now;
    startRead(m_nextRead, nextToken);
}

void ViewKeeper::startRead(Call call, PlatformToken& nextToken)
{
    m_call = call;
    m_token = nextToken++;
    const bool wantsView = call == Call::ReadView;
    const auto& dataCentre = m_settings.dataCentre;
    m_actions.push_back(PlatformRead { m_token, wantsView ? viewKey(dataCentre) : memberKey(dataCentre, m_settings.self), false });
}

bool ViewKeeper::handle(Common::Instant now, const PlatformReplied& event)
{
    if (m_call == Call::None || event.token != m_token)
        return false;
    const Call call = std::exchange(m_call, Call::None);
    const bool isOk = event.reply.status == Ports::PlatformStatus::Ok;
    if (call == Call::Write) {
        m_nextRead = Call::ReadView;
        const bool isSettled = isOk || event.reply.status == Ports::PlatformStatus::ComparesFailed;
        m_nextStep = isSettled ? now : now + m_settings.joinRetry;
        return true;
    }
    if (!isOk) {
        m_nextRead = Call::ReadView;
        m_nextStep = now + m_settings.joinRetry;
        return true;
    }
    if (call == Call::ReadView)
        onViewRead(now, event.reply);
    else
        onKeyRead(now, event.reply);
    return true;
}

void ViewKeeper::onViewRead(Common::Instant now, const Ports::PlatformReply& reply)
{
    if (!adopt(reply)) {
        m_nextStep = now + m_settings.viewRefresh;
        return;
    }
    checkOwnEntry();
    m_nextRead = Call::ReadKey;
    m_nextStep = now;
}

void ViewKeeper::onKeyRead(Common::Instant now, const Ports::PlatformReply& reply)
{
    m_key.reset();
    m_keyRevision = 0;
    if (!reply.values.empty()) {
        m_key = decodeMember(reply.values.front().value);
        m_keyRevision = reply.values.front().modRevision;
    }
    m_nextRead = Call::ReadView;
    m_nextStep = now + m_settings.viewRefresh;
    m_hasFreshRead = true;
}

/// False when the view in the store can't be decoded, is older than the known one, or differs from it at the same epoch.
bool ViewKeeper::adopt(const Ports::PlatformReply& reply)
{
    View view;
    if (!reply.values.empty()) {
        const auto decoded = decodeView(reply.values.front().value);
        if (!decoded) {
            m_alarm = "the membership view in the store can't be decoded; the last known view stays in use";
            return false;
        }
        view = *decoded;
    }
    if (view.epoch < m_view.epoch || (view.epoch == m_view.epoch && view != m_view)) {
        m_alarm = "the store returned view epoch " + std::to_string(view.epoch)
            + ", which is older than or conflicts with the known epoch " + std::to_string(m_view.epoch) + "; the known view stays in use";
        return false;
    }
    m_alarm.clear();
    m_view = std::move(view);
    m_viewRevision = reply.values.empty() ? 0 : reply.values.front().modRevision;
    return true;
}

void ViewKeeper::checkOwnEntry()
{
    const auto* entry = m_view.find(m_settings.self);
    if (!m_predecessor)
        m_predecessor = entry ? entry->incarnation : 0;
    if (isMember()) {
        m_wasMember = true;
        return;
    }
    m_keyLease = 0;
    if (entry && m_guards.yieldToNewer && (m_wasMember || entry->incarnation != *m_predecessor))
        m_superseded = true;
}

void ViewKeeper::decide(Common::Instant now, Ports::LeaseId lease, const PeerTable& peers, PlatformToken& nextToken)
{
    if (m_leaving) {
        if (isMember())
            removeSelf(nextToken);
        return;
    }
    if (!isMember()) {
        join(now, lease, nextToken);
        return;
    }
    const MemberRecord wanted { m_settings.incarnation, lease };
    if (m_key != wanted) {
        m_keyLease = 0;
        putKey(lease, nextToken);
        return;
    }
    m_keyLease = lease;
    if (now >= m_nextRemoval)
        removeUnresponsive(now, peers, nextToken);
}

void ViewKeeper::join(Common::Instant now, Ports::LeaseId lease, PlatformToken& nextToken)
{
    const bool isOlderAlive = m_key && m_key->incarnation != m_settings.incarnation;
    if (isOlderAlive && m_guards.awaitOlderLease) {
        m_nextStep = now + m_settings.joinRetry;
        return;
    }
    View view = m_view;
    if (m_guards.replaceOlderSelf)
        std::erase_if(view.members, [&](const ViewMember& member) { return member.host == m_settings.self; });
    view.members.push_back(self());
    auto transaction = viewChange(view);
    const auto key = memberKey(m_settings.dataCentre, m_settings.self);
    transaction.compares.push_back({ key, m_keyRevision });
    transaction.puts.push_back({ key, encodeMember({ m_settings.incarnation, lease }), lease });
    write(std::move(transaction), nextToken);
}

/// Writes the member key under the current lease, for a host that the view already contains.
void ViewKeeper::putKey(Ports::LeaseId lease, PlatformToken& nextToken)
{
    const auto key = memberKey(m_settings.dataCentre, m_settings.self);
    Ports::Transaction transaction;
    transaction.compares = { { viewKey(m_settings.dataCentre), m_viewRevision }, { key, m_keyRevision } };
    transaction.puts = { { key, encodeMember({ m_settings.incarnation, lease }), lease } };
    write(std::move(transaction), nextToken);
}

void ViewKeeper::removeSelf(PlatformToken& nextToken)
{
    View view = m_view;
    std::erase(view.members, self());
    auto transaction = viewChange(view);
    transaction.deletes.push_back(memberKey(m_settings.dataCentre, m_settings.self));
    m_keyLease = 0;
    write(std::move(transaction), nextToken);
}

/// Tries to remove one unresponsive member; the transaction fails while the member's lease key exists. False without a candidate.
bool ViewKeeper::removeUnresponsive(Common::Instant now, const PeerTable& peers, PlatformToken& nextToken)
{
    m_nextRemoval = now + m_settings.removalRetry;
    const auto candidates = removable(now, peers);
    if (candidates.empty())
        return false;
    const ViewMember& removed = candidates[m_removalIndex++ % candidates.size()];
    View view = m_view;
    std::erase(view.members, removed);
    auto transaction = viewChange(view);
    if (m_guards.requireLeaseGone)
        transaction.compares.push_back({ memberKey(m_settings.dataCentre, removed.host), 0 });
    write(std::move(transaction), nextToken);
    return true;
}

std::vector<ViewMember> ViewKeeper::removable(Common::Instant now, const PeerTable& peers) const
{
    std::vector<Ports::HostId> alive;
    for (const auto& member : m_view.members) {
        if (member == self() || peers.alive(member, now, m_settings.aliveTimeout))
            alive.push_back(member.host);
    }
    std::vector<ViewMember> removable;
    for (const auto& member : m_view.members) {
        if (member == self())
            continue;
        const auto timeSinceHeartbeat = peers.timeSinceHeartbeat(member, now);
        if (m_guards.requireRemovalTimeout && timeSinceHeartbeat < m_settings.removalTimeout)
            continue;
        const auto removers = Common::rendezvousTop("removal/" + member.host, alive, removerCount);
        const bool isRemover = std::find(removers.begin(), removers.end(), m_settings.self) != removers.end();
        if (isRemover || timeSinceHeartbeat >= anyRemoverFactor * m_settings.removalTimeout)
            removable.push_back(member);
    }
    return removable;
}

Ports::Transaction ViewKeeper::viewChange(const View& changed) const
{
    View view = changed;
    view.epoch = m_view.epoch + 1;
    const auto key = viewKey(m_settings.dataCentre);
    Ports::Transaction transaction;
    if (m_guards.compareAndSwap)
        transaction.compares.push_back({ key, m_viewRevision });
    transaction.puts.push_back({ key, encodeView(view), 0 });
    return transaction;
}

void ViewKeeper::write(Ports::Transaction transaction, PlatformToken& nextToken)
{
    m_call = Call::Write;
    m_token = nextToken++;
    m_actions.push_back(PlatformTransact { m_token, std::move(transaction) });
}

void ViewKeeper::onPeerEpoch(Common::Instant now, std::uint64_t epoch)
{
    // Reads no more often than the retry interval: while the store is down or was restored to an older state, every heartbeat
    // shows a later epoch.
    if (epoch > m_view.epoch && m_nextRead == Call::ReadView)
        m_nextStep = std::min(m_nextStep, std::max(now, m_lastReadAt + m_settings.joinRetry));
}

void ViewKeeper::leave(Common::Instant now)
{
    m_leaving = true;
    m_nextRead = Call::ReadView;
    m_hasFreshRead = false;
    m_nextStep = now;
}

bool ViewKeeper::isMember() const
{
    const auto* entry = m_view.find(m_settings.self);
    return entry && entry->incarnation == m_settings.incarnation;
}

ViewMember ViewKeeper::self() const
{
    return { m_settings.self, m_settings.incarnation, m_settings.peerAddress };
}

std::optional<Common::Instant> ViewKeeper::nextDeadline() const
{
    if (m_superseded || m_call != Call::None)
        return std::nullopt;
    return m_keyLease && !m_hasFreshRead ? std::min(m_nextStep, m_nextRemoval) : m_nextStep;
}

std::vector<PlatformAction> ViewKeeper::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace Decision
