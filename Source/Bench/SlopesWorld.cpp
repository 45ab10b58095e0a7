#include "SlopesWorld.h"

#include "Messages/Codec.h"
#include "SlopesSamples.h"

#include <cstdio>
#include <type_traits>
#include <utility>

namespace Slopes {

using namespace Decision;
using namespace std::chrono_literals;

namespace {

    constexpr auto controlTick = 50ms;
    constexpr auto peerLatency = 2ms; ///< Latency of a frame between two hosts.
    constexpr auto viewLease = 5000ms;

    /// Accepts every document, because only the traffic is measured.
    class AcceptingValidator : public ConfigurationValidator {
    public:
        std::vector<std::string> faults(const std::string&) const override { return {}; }
    };

    const AcceptingValidator acceptingValidator;

    std::string nameOf(unsigned dataCentre)
    {
        char buf[32];
        std::snprintf(buf, sizeof buf, "centre-%02u", dataCentre);
        return buf;
    }

    double sizeOf(const Ports::PlatformReply& reply)
    {
        double bytes = 0;
        for (const auto& it : reply.values)
            bytes += static_cast<double>(it.key.size() + it.value.size());
        return bytes;
    }

} // namespace

World::World(const WorldSize& size)
    : m_size(size)
{
    for (unsigned n = 0; n < size.dataCentres; ++n) {
        for (unsigned it = 0; it < size.members; ++it)
            addHost(n, it);
    }
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
        m_simulation.after(std::chrono::microseconds(m_simulation.below(50000)), [this, i] { tick(i); });
}

void World::addHost(unsigned dataCentre, unsigned member)
{
    WorldHost host;
    host.dataCentre = nameOf(dataCentre);
    host.name = host.dataCentre + "-entry-" + std::to_string(member);
    MembershipSettings settings;
    settings.self = host.name;
    settings.dataCentre = host.dataCentre;
    settings.peerAddress = "10.10.10.10:9001";
    settings.incarnation = m_simulation.incarnation();
    for (unsigned n = 0; n < m_size.dataCentres; ++n)
        settings.dataCentres.push_back(nameOf(n));
    settings.lease.timeToLive = std::chrono::duration_cast<std::chrono::seconds>(viewLease);
    settings.lease.renewInterval = viewLease / 3;
    host.membership = Membership::create(settings).take();
    KeeperSettings keeperSettings;
    keeperSettings.self = host.name;
    keeperSettings.dataCentre = host.dataCentre;
    keeperSettings.incarnation = settings.incarnation;
    host.keeper = ConfigurationKeeper::create(keeperSettings, acceptingValidator).take();
    host.publisher = ConfigurationPublisher::create({}, acceptingValidator).take();
    host.assignments = std::make_unique<Kernel::AssignmentAgent>(host.dataCentre, ProcessId { host.name, settings.incarnation });
    host.duty = DutyHolder::create({ "fleet/" + host.dataCentre, host.name, settings.incarnation }).take();
    std::map<std::string, Kernel::ConfiguredUpstream> configured;
    for (unsigned n = 0; n < m_size.upstreams; ++n)
        configured[upstreamName(n)] = { poolName(n % m_size.pools), false };
    host.assignments->setConfigured(std::move(configured));
    m_byName[host.name] = m_hosts.size();
    m_hosts.push_back(std::move(host));
}

void World::tick(std::size_t index)
{
    auto& host = m_hosts[index];
    const auto now = m_simulation.now();
    auto content = makeHeartbeat(m_size.pools / m_size.members, 0);
    content.configurationRevision = host.keeper->revision();
    content.assignmentVersion = host.assignments->version();
    host.membership->setHeartbeatContent(std::move(content));
    host.membership->tick(now);
    host.keeper->tick(now, host.membership->aliveMembers(now));
    host.publisher->tick(now);
    std::optional<ViewLease> lease;
    if (const auto id = host.membership->lease(now))
        lease = ViewLease { *id, host.membership->leaseValidUntil() - viewLease, viewLease };
    host.assignments->tick(now, lease);
    host.duty->tick(now, { host.membership->lease(now), host.membership->leaseValidUntil(), host.membership->aliveMembers(now) });
    processActions(index);
    m_simulation.after(controlTick, [this, index] { tick(index); });
}

void World::processActions(std::size_t index)
{
    auto& host = m_hosts[index];
    const auto processActionsOf = [&](auto member) {
        for (const auto& action : (host.*member)->takeActions()) {
            if (const auto* it = std::get_if<PeerSend>(&action))
                send(index, *it);
            else
                call(index, member, std::get<PlatformAction>(action));
        }
    };
    processActionsOf(&WorldHost::membership);
    processActionsOf(&WorldHost::keeper);
    for (const auto& it : host.publisher->takeActions())
        call(index, &WorldHost::publisher, it);
    for (const auto& it : host.assignments->takeActions())
        call(index, &WorldHost::assignments, it);
    for (const auto& it : host.duty->takeActions())
        call(index, &WorldHost::duty, it);
    host.keeper->takeAdopted();
    host.assignments->takeUpdates();
}

template<typename Core, typename Event>
void World::handleEvent(std::size_t index, std::uint64_t generation, Core WorldHost::*member, const Event& event)
{
    if (generation != m_generation)
        return;
    auto& core = *(m_hosts[index].*member);
    if constexpr (requires { core.handle(m_simulation.now(), event); })
        core.handle(m_simulation.now(), event);
    processActions(index);
}

template<typename Core>
void World::call(std::size_t index, Core WorldHost::*member, const PlatformAction& action)
{
    countCall(action);
    const bool isRead = std::holds_alternative<PlatformRead>(action);
    const auto replied = [this, index, member, isRead, generation = m_generation](const PlatformReplied& event) {
        if (isRead)
            m_traffic.readBytes += sizeOf(event.reply);
        handleEvent(index, generation, member, event);
    };
    const auto watched = [this, index, member, generation = m_generation](const PlatformWatched& event) { handleEvent(index, generation, member, event); };
    m_store.call(m_hosts[index].name, action, replied, watched);
}

void World::countCall(const PlatformAction& action)
{
    if (std::holds_alternative<PlatformRead>(action)) {
        ++m_traffic.reads;
    } else if (const auto* it = std::get_if<PlatformTransact>(&action)) {
        ++m_traffic.writes;
        for (const auto& put : it->transaction.puts)
            m_traffic.writtenBytes += static_cast<double>(put.key.size() + put.value.size());
    } else if (std::holds_alternative<PlatformWatch>(action)) {
        ++m_traffic.watches;
    } else {
        ++m_traffic.leaseCalls;
    }
}

void World::send(std::size_t from, const PeerSend& message)
{
    const auto bytes = static_cast<double>(Messages::encode(message.message).size());
    const bool isHeartbeat = std::holds_alternative<Messages::Heartbeat>(message.message);
    (isHeartbeat ? m_traffic.heartbeats : m_traffic.otherFrames) += 1;
    (isHeartbeat ? m_traffic.heartbeatBytes : m_traffic.otherFrameBytes) += bytes;
    const auto to = m_byName.find(message.to);
    if (to == m_byName.end())
        return;
    m_simulation.after(peerLatency, [this, to = to->second, name = m_hosts[from].name, content = message.message] { handleMessage(to, name, content); });
}

void World::handleMessage(std::size_t to, const std::string& from, const Messages::PeerMessage& message)
{
    auto& host = m_hosts[to];
    const auto now = m_simulation.now();
    if (const auto* it = std::get_if<Messages::Heartbeat>(&message)) {
        const HeartbeatReceived event { from, *it };
        host.membership->handle(now, event);
        host.keeper->handle(now, event);
        if (it->dataCentre == host.dataCentre)
            host.assignments->noteVersion(it->assignmentVersion);
    } else if (const auto* it = std::get_if<Messages::ConfigurationRequest>(&message)) {
        host.keeper->handle(now, ConfigurationRequested { from, *it });
    } else if (const auto* it = std::get_if<Messages::ConfigurationOffer>(&message)) {
        host.keeper->handle(now, ConfigurationOffered { from, *it });
    }
    processActions(to);
}

void World::runFor(std::chrono::seconds length)
{
    m_simulation.runFor(length);
}

void World::publish(std::uint64_t baseRevision, std::string document)
{
    auto& host = m_hosts.front();
    host.publisher->setInForce(host.keeper->inForce());
    PublishRequest request;
    request.baseRevision = baseRevision;
    request.changeId = "change-" + std::to_string(baseRevision + 1);
    request.document = std::move(document);
    request.author = "operator-name";
    request.reason = "a line that says why";
    host.publisher->publish(m_simulation.now(), std::move(request));
    processActions(0);
}

std::size_t World::inForce(std::uint64_t revision) const
{
    std::size_t n = 0;
    for (const auto& host : m_hosts)
        n += host.keeper->revision() == revision ? 1 : 0;
    return n;
}

std::size_t World::memberCount() const
{
    std::size_t n = 0;
    for (const auto& host : m_hosts)
        n += host.membership->isMember() ? 1 : 0;
    return n;
}

void World::restartAll()
{
    ++m_generation;
    m_hosts.clear();
    m_byName.clear();
    for (unsigned n = 0; n < m_size.dataCentres; ++n) {
        for (unsigned it = 0; it < m_size.members; ++it)
            addHost(n, it);
    }
}

} // namespace Slopes
