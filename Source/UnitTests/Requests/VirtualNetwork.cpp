#include "Requests/VirtualFleet.h"

#include <algorithm>

namespace RequestTests {

using namespace std::chrono_literals;

namespace {

    constexpr milliseconds heartbeatInterval { 150 };
    constexpr milliseconds aliveTimeout { 500 };
    constexpr milliseconds leaseTime { 1000 };
    constexpr milliseconds removalTimeout { 1500 };
    constexpr milliseconds clockSkew { 500 };
    constexpr std::uint64_t revision = 1;

} // namespace

bool VirtualFleet::isCut(const HostId& a, const HostId& b) const
{
    return m_cuts.count({ std::min(a, b), std::max(a, b) }) > 0;
}

void VirtualFleet::setCut(const HostId& a, const HostId& b, bool cut)
{
    m_lastFault = m_now;
    const std::pair<HostId, HostId> pair { std::min(a, b), std::max(a, b) };
    if (!cut) {
        m_cuts.erase(pair);
        return;
    }
    if (a == b || !m_cuts.insert(pair).second)
        return;
    onConnectionLost(a, b);
    onConnectionLost(b, a);
}

void VirtualFleet::onConnectionLost(const HostId& name, const HostId& lost)
{
    const auto incarnation = m_hosts.at(name).incarnation;
    after(milliseconds(1 + draw(100)), [this, name, incarnation, lost] {
        onHost(name, incarnation, [this, lost](Host& host) {
            host.lastHeartbeats.erase(lost);
            host.core->peerLost(momentOf(host), lost);
        });
    });
}

void VirtualFleet::send(Host& from, const HostId& to, const Messages::PeerMessage& message)
{
    const auto target = m_hosts.find(to);
    if (target == m_hosts.end() || !target->second.core || isCut(from.name, to)) {
        onConnectionLost(from.name, to);
        return;
    }
    // Messages between two hosts are delivered in order, independently of other pairs.
    Instant& last = m_lastDelivery[{ from.name, to }];
    const auto delay = std::chrono::microseconds(200 + m_random() % static_cast<unsigned>(m_options.maximumDelay.count() * 1000));
    last = std::max(last, m_now + delay);
    at(last, [this, sender = from.name, to, incarnation = target->second.incarnation, message] {
        if (isCut(sender, to))
            return;
        onHost(to, incarnation, [this, sender, message](Host& host) {
            if (std::holds_alternative<Messages::Heartbeat>(message))
                host.lastHeartbeats[sender] = m_now;
            host.core->peerMessage(momentOf(host), sender, message);
        });
    });
}

void VirtualFleet::sendHeartbeat(Host& host)
{
    Messages::Heartbeat message;
    message.incarnation = host.incarnation;
    message.dataCentre = host.dataCentre;
    message.viewEpoch = host.view.epoch;
    message.configurationRevision = revision;
    message.leaving = host.leaving;
    message.loads = host.core->loads(m_now);
    for (const auto& [name, other] : m_hosts) {
        if (name != host.name && other.core && !isCut(name, host.name))
            send(host, name, message);
    }
    refreshAlive(host);
    after(heartbeatInterval, [this, name = host.name, incarnation = host.incarnation] {
        onHost(name, incarnation, [this](Host& awake) { sendHeartbeat(awake); });
    });
}

void VirtualFleet::refreshAlive(Host& host)
{
    std::vector<HostId> alive;
    std::map<std::string, std::vector<HostId>> remotes;
    for (const auto& [name, other] : m_hosts) {
        const auto it = host.lastHeartbeats.find(name);
        const bool reachable = name == host.name || (it != host.lastHeartbeats.end() && m_now - it->second < aliveTimeout);
        if (other.dataCentre != host.dataCentre) {
            auto& hosts = remotes[other.dataCentre];
            if (reachable)
                hosts.push_back(name);
        } else if (reachable && !other.leaving) {
            alive.push_back(name);
        }
    }
    host.core->setAlive(momentOf(host), std::move(alive));
    for (auto& [dataCentre, hosts] : remotes)
        host.core->setRemoteHosts(dataCentre, std::move(hosts));
    host.core->setMembershipValidUntil(m_now, host.leaseUntil);
}

void VirtualFleet::refreshStore(Host& host)
{
    if (!host.storeCut) {
        const auto& view = m_views[host.dataCentre];
        const auto member = view.members.find(host.name);
        if (member != view.members.end() && member->second == host.incarnation) {
            host.leaseUntil = m_now + leaseTime;
            host.leaseEnds = m_now + leaseTime + milliseconds(draw(50));
            if (view.epoch != host.view.epoch) {
                host.view = { view.epoch, {} };
                for (const auto& [name, incarnation] : view.members)
                    host.view.members.push_back(name);
                host.core->setView(momentOf(host), host.view);
            }
        }
    }
    refreshAlive(host);
    after(milliseconds(5 + draw(300)), [this, name = host.name, incarnation = host.incarnation] {
        onHost(name, incarnation, [this](Host& awake) { refreshStore(awake); });
    });
}

bool VirtualFleet::mayRemove(const HostId& member, const View& view) const
{
    const Host& host = m_hosts.at(member);
    if (m_now <= host.leaseEnds)
        return false;
    // A member is removed by another member that can reach the store and has received no heartbeat from it for the removal timeout.
    return std::any_of(view.members.begin(), view.members.end(), [&](const auto& item) {
        const Host& remover = m_hosts.at(item.first);
        if (item.first == member || !remover.core || remover.frozen || remover.storeCut || remover.incarnation != item.second || m_now > remover.leaseUntil)
            return false;
        const auto lastHeartbeat = remover.lastHeartbeats.find(member);
        return lastHeartbeat == remover.lastHeartbeats.end() || m_now - lastHeartbeat->second > removalTimeout;
    });
}

void VirtualFleet::updateViews()
{
    for (auto& [dataCentre, view] : m_views) {
        for (const auto& name : hostsOf(dataCentre)) {
            Host& host = m_hosts.at(name);
            const auto member = view.members.find(name);
            const bool present = member != view.members.end();
            const bool joins = host.core && !host.frozen && !host.storeCut && (!present || (member->second != host.incarnation && m_now > host.leaseEnds));
            if (joins)
                view.members[name] = host.incarnation;
            else if (present && mayRemove(name, view))
                view.members.erase(member);
            else
                continue;
            ++view.epoch;
            ++m_record.views;
            m_lastFault = m_now;
            if (joins)
                host.leaseEnds = m_now + leaseTime;
            break;
        }
    }
    after(milliseconds(20 + draw(100)), [this] { updateViews(); });
}

void VirtualFleet::start(Host& host)
{
    host.incarnation = m_nextIncarnation++;
    host.frozen = false;
    host.tickAt = {};
    host.waiting.clear();
    host.lastHeartbeats.clear();
    host.leaseUntil = {};
    host.view = {};
    Decision::RequestLimits limits;
    limits.clockSkew = clockSkew;
    host.core = Decision::RequestCore::create({ host.name, host.dataCentre, host.incarnation, m_random() }, limits, m_options.guards);
    const auto now = momentOf(host);
    host.core->setConfiguration(now, m_objects, revision);
    host.core->setMembershipValidUntil(m_now, m_now);
    for (const auto& [pool, object] : m_objects->pools) {
        std::vector<Decision::PoolUpstream> upstreams;
        for (unsigned i = 1; i <= m_options.upstreams; ++i)
            upstreams.push_back({ host.dataCentre + "-" + pool + "-" + std::to_string(i), "127.0.0.1:1", 8 });
        host.core->setUpstreams(now, pool, upstreams);
    }
    if (m_views.empty())
        after(1ms, [this] { updateViews(); });
    m_views[host.dataCentre];
    after(milliseconds(1 + draw(20)), [this, name = host.name, incarnation = host.incarnation] {
        onHost(name, incarnation, [this](Host& awake) {
            sendHeartbeat(awake);
            refreshStore(awake);
        });
    });
}

void VirtualFleet::crash(Host& host)
{
    m_lastFault = m_now;
    if (!host.core)
        return;
    host.core.reset();
    host.waiting.clear();
    for (auto& [handle, place] : m_handles) {
        Try& attempt = m_record.requests[place.first].tries[place.second];
        if (attempt.host == host.name && attempt.answers == 0) {
            attempt.hostFailed = true;
            retryRequest(place.first, milliseconds(5 + draw(100)));
        }
    }
    for (const auto& [name, other] : m_hosts) {
        if (other.core)
            onConnectionLost(name, host.name);
    }
}

void VirtualFleet::freeze(Host& host, bool frozen)
{
    m_lastFault = m_now;
    host.frozen = frozen;
    for (auto& [handle, place] : m_handles) {
        Try& attempt = m_record.requests[place.first].tries[place.second];
        if (attempt.host == host.name && attempt.answers == 0)
            attempt.hostFailed = true;
    }
    if (frozen)
        return;
    auto waiting = std::exchange(host.waiting, {});
    for (auto& task : waiting)
        task();
}

} // namespace RequestTests
