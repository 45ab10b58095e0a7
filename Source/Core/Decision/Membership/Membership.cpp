#include "Decision/Membership/Membership.h"

#include "Common/Rendezvous.h"
#include "Decision/Membership/ForeignViews.h"
#include "Decision/Membership/PeerTable.h"
#include "Decision/Membership/ViewKeeper.h"

#include <algorithm>
#include <utility>

namespace Decision {

namespace {

    /// How many hosts of a data centre send heartbeats to the others, and how many hosts there each sends to in a round.
    constexpr std::size_t linkCount = 2;
    /// How long the heartbeats of hosts outside the own view are kept.
    constexpr std::chrono::milliseconds heartbeatRetention { 60000 };

    void setEarlier(std::optional<Common::Instant>& first, std::optional<Common::Instant> candidate)
    {
        if (candidate && (!first || *candidate < *first))
            first = candidate;
    }

} // namespace

class Membership::Impl {
public:
    Impl(MembershipSettings, MembershipGuards);

    void handle(Common::Instant now, const PlatformReplied&);
    void handle(Common::Instant now, const HeartbeatReceived&);
    void tick(Common::Instant now);
    std::optional<Common::Instant> nextDeadline() const;
    std::vector<Action> takeActions();
    bool leaseValid(Common::Instant now) const;
    std::vector<Ports::HostId> aliveMembers(Common::Instant now) const;
    const ViewMember* findHost(const Ports::HostId&) const;
    std::vector<Ports::PeerAddress> peers() const;
    ViewMember self() const { return { settings.self, settings.incarnation, settings.peerAddress }; }

    MembershipSettings settings;
    LeaseKeeper leaseKeeper;
    PeerTable peerTable;
    ForeignViews foreign;
    ViewKeeper viewKeeper;
    Messages::Heartbeat content;
    bool listedLeaving = false;
    std::uint64_t peersVersion = 0;

private:
    void onViewUpdated(Common::Instant now);
    Messages::Heartbeat heartbeat() const;
    void sendHeartbeats(Common::Instant now);
    void sendForeignHeartbeats(Common::Instant now);

    PlatformToken m_nextToken = 1;
    std::uint64_t m_lastEpoch = 0;
    std::uint64_t m_round = 0; ///< Of heartbeats to other data centres; rotates their targets.
    Common::Instant m_nextHeartbeat {};
    Common::Instant m_nextForeignHeartbeat {};
    std::vector<Action> m_actions;
};

Membership::Impl::Impl(MembershipSettings initialSettings, MembershipGuards guards)
    : settings(std::move(initialSettings))
    , leaseKeeper(settings.lease, !guards.countLeaseFromRequest)
    , foreign(settings.dataCentres, settings.dataCentre, settings.foreignRefresh)
    , viewKeeper(settings, guards)
{
}

void Membership::Impl::handle(Common::Instant now, const PlatformReplied& event)
{
    bool foreignChanged = false;
    if (leaseKeeper.handle(now, event) || viewKeeper.handle(now, event)) {
        onViewUpdated(now);
        tick(now);
        return;
    }
    if (foreign.handle(event, foreignChanged) && foreignChanged)
        ++peersVersion;
}

void Membership::Impl::handle(Common::Instant now, const HeartbeatReceived& event)
{
    peerTable.onHeartbeat(now, event);
    if (event.heartbeat.dataCentre == settings.dataCentre)
        viewKeeper.onPeerEpoch(now, event.heartbeat.viewEpoch);
    else
        foreign.onPeerEpoch(now, event.heartbeat.dataCentre, event.heartbeat.viewEpoch);
}

void Membership::Impl::tick(Common::Instant now)
{
    if (viewKeeper.isSuperseded())
        return;
    leaseKeeper.tick(now, m_nextToken);
    viewKeeper.tick(now, leaseKeeper.lease(now), peerTable, m_nextToken);
    foreign.tick(now, m_nextToken);
    if (now >= m_nextHeartbeat)
        sendHeartbeats(now);
    if (now >= m_nextForeignHeartbeat)
        sendForeignHeartbeats(now);
}

void Membership::Impl::onViewUpdated(Common::Instant now)
{
    const View& view = viewKeeper.view();
    if (view.epoch == m_lastEpoch)
        return;
    m_lastEpoch = view.epoch;
    ++peersVersion;
    for (const auto& member : view.members)
        peerTable.addMember(now, member);
    // Peers learn of the new view from the epoch in heartbeats, so the next ones are sent at once.
    m_nextHeartbeat = now;
}

Messages::Heartbeat Membership::Impl::heartbeat() const
{
    Messages::Heartbeat beat = content;
    beat.incarnation = settings.incarnation;
    beat.dataCentre = settings.dataCentre;
    beat.viewEpoch = viewKeeper.view().epoch;
    beat.leaving = content.leaving || viewKeeper.isLeaving() || listedLeaving;
    return beat;
}

void Membership::Impl::sendHeartbeats(Common::Instant now)
{
    m_nextHeartbeat = now + settings.heartbeatInterval;
    for (const auto& member : viewKeeper.view().members) {
        if (member.host != settings.self)
            m_actions.push_back(PeerSend { member.host, heartbeat() });
    }
    peerTable.prune(now, heartbeatRetention, viewKeeper.view());
}

void Membership::Impl::sendForeignHeartbeats(Common::Instant now)
{
    m_nextForeignHeartbeat = now + settings.foreignHeartbeatInterval;
    const auto senders = Common::rendezvousTop("link/" + settings.dataCentre, aliveMembers(now), linkCount);
    if (std::find(senders.begin(), senders.end(), settings.self) == senders.end())
        return;
    const auto roundKey = settings.self + "/" + std::to_string(m_round++);
    for (const auto& dataCentre : foreign.dataCentres()) {
        std::vector<Ports::HostId> hosts;
        for (const auto& member : foreign.find(dataCentre)->members)
            hosts.push_back(member.host);
        for (const auto& host : Common::rendezvousTop(roundKey, hosts, linkCount))
            m_actions.push_back(PeerSend { host, heartbeat() });
    }
}

std::optional<Common::Instant> Membership::Impl::nextDeadline() const
{
    if (viewKeeper.isSuperseded())
        return std::nullopt;
    std::optional<Common::Instant> first = std::min(m_nextHeartbeat, m_nextForeignHeartbeat);
    setEarlier(first, leaseKeeper.nextDeadline());
    setEarlier(first, viewKeeper.nextDeadline());
    setEarlier(first, foreign.nextDeadline());
    return first;
}

std::vector<Action> Membership::Impl::takeActions()
{
    std::vector<Action> actions = std::exchange(m_actions, {});
    for (auto taken : { leaseKeeper.takeActions(), viewKeeper.takeActions(), foreign.takeActions() })
        actions.insert(actions.end(), taken.begin(), taken.end());
    return actions;
}

bool Membership::Impl::leaseValid(Common::Instant now) const
{
    const auto lease = leaseKeeper.lease(now);
    return lease && viewKeeper.isMember() && !viewKeeper.isSuperseded() && viewKeeper.keyLease() == *lease;
}

std::vector<Ports::HostId> Membership::Impl::aliveMembers(Common::Instant now) const
{
    std::vector<Ports::HostId> hosts;
    for (const auto& member : viewKeeper.view().members) {
        if (member == self() || peerTable.alive(member, now, settings.aliveTimeout))
            hosts.push_back(member.host);
    }
    return hosts;
}

const ViewMember* Membership::Impl::findHost(const Ports::HostId& host) const
{
    if (const auto* member = viewKeeper.view().find(host))
        return member;
    for (const auto& dataCentre : foreign.dataCentres()) {
        if (const auto* member = foreign.find(dataCentre)->find(host))
            return member;
    }
    return nullptr;
}

std::vector<Ports::PeerAddress> Membership::Impl::peers() const
{
    std::vector<Ports::PeerAddress> addresses;
    const auto add = [&](const View& view) {
        for (const auto& member : view.members) {
            if (member.host != settings.self)
                addresses.push_back({ member.host, member.peerAddress });
        }
    };
    add(viewKeeper.view());
    for (const auto& dataCentre : foreign.dataCentres())
        add(*foreign.find(dataCentre));
    return addresses;
}

Common::Result<std::unique_ptr<Membership>, DecisionError> Membership::create(MembershipSettings settings, MembershipGuards guards)
{
    if (settings.self.empty() || settings.dataCentre.empty())
        return DecisionError("membership needs a host name and a data centre");
    if (!settings.incarnation)
        return DecisionError("membership needs an incarnation other than zero");
    return std::unique_ptr<Membership>(new Membership(std::make_unique<Impl>(std::move(settings), guards)));
}

Membership::Membership(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Membership::~Membership() = default;

void Membership::handle(Common::Instant now, const PlatformReplied& event)
{
    m_impl->handle(now, event);
}

void Membership::handle(Common::Instant now, const HeartbeatReceived& event)
{
    m_impl->handle(now, event);
}

void Membership::handle(Common::Instant now, const PeerDisconnected& event)
{
    m_impl->peerTable.onDisconnected(now, event.peer);
}

void Membership::handle(Common::Instant, const HostListReplied& event)
{
    if (event.status != Ports::PlatformStatus::Ok)
        return;
    m_impl->listedLeaving = std::any_of(event.hosts.begin(), event.hosts.end(), [&](const Ports::ListedHost& host) {
        return host.name == m_impl->settings.self && host.state == Ports::ListedHost::State::Leaving;
    });
}

void Membership::tick(Common::Instant now)
{
    m_impl->tick(now);
}

void Membership::leave(Common::Instant now)
{
    m_impl->viewKeeper.leave(now);
    m_impl->tick(now);
}

void Membership::setHeartbeatContent(Messages::Heartbeat content)
{
    m_impl->content = std::move(content);
}

std::optional<Common::Instant> Membership::nextDeadline() const
{
    return m_impl->nextDeadline();
}

std::vector<Action> Membership::takeActions()
{
    return m_impl->takeActions();
}

const View& Membership::currentView() const
{
    return m_impl->viewKeeper.view();
}

std::uint64_t Membership::epoch() const
{
    return currentView().epoch;
}

bool Membership::isMember() const
{
    return m_impl->viewKeeper.isMember() && !m_impl->viewKeeper.isSuperseded();
}

bool Membership::leaseValid(Common::Instant now) const
{
    return m_impl->leaseValid(now);
}

Common::Instant Membership::leaseValidUntil() const
{
    return m_impl->leaseKeeper.validUntil();
}

std::optional<Ports::LeaseId> Membership::lease(Common::Instant now) const
{
    return leaseValid(now) ? m_impl->leaseKeeper.lease(now) : std::nullopt;
}

bool Membership::alive(const Ports::HostId& host, Common::Instant now) const
{
    const auto* member = m_impl->findHost(host);
    return member && (*member == m_impl->self() || m_impl->peerTable.alive(*member, now, m_impl->settings.aliveTimeout));
}

std::vector<Ports::HostId> Membership::aliveMembers(Common::Instant now) const
{
    return m_impl->aliveMembers(now);
}

std::vector<ViewMember> Membership::hostsOf(const std::string& dataCentre) const
{
    if (dataCentre == m_impl->settings.dataCentre)
        return currentView().members;
    const auto* view = m_impl->foreign.find(dataCentre);
    return view ? view->members : std::vector<ViewMember> {};
}

const Messages::Heartbeat* Membership::lastHeartbeat(const Ports::HostId& host) const
{
    const auto* member = m_impl->findHost(host);
    return member ? m_impl->peerTable.lastHeartbeat(*member) : nullptr;
}

std::vector<Ports::PeerAddress> Membership::peers() const
{
    return m_impl->peers();
}

std::uint64_t Membership::peersVersion() const
{
    return m_impl->peersVersion;
}

MembershipReadiness Membership::readiness(Common::Instant now) const
{
    const auto& keeper = m_impl->viewKeeper;
    return { isMember(), leaseValid(now), keeper.isSuperseded(), keeper.isLeaving() || m_impl->listedLeaving };
}

const std::string& Membership::alarm() const
{
    return m_impl->viewKeeper.alarm();
}

} // namespace Decision
