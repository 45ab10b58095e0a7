#include "Kernel/ControlService.h"

#include "Kernel/ControlServiceImpl.h"
#include "Kernel/Logging.h"
#include "Messages/Codec.h"
#include "Objects/ObjectSetLoader.h"
#include "Objects/Validator.h"

#include <algorithm>
#include <sstream>
#include <type_traits>
#include <utility>

namespace Kernel {

namespace {

    constexpr std::chrono::milliseconds hostListInterval { 2000 }; ///< A leaving upstream must stop getting new requests within 3 s.

    Decision::MembershipSettings membershipSettings(const Settings& settings, std::uint64_t incarnation)
    {
        Decision::MembershipSettings to;
        to.self = settings.host;
        to.dataCentre = settings.dataCentre;
        to.peerAddress = settings.peers.listen;
        to.incarnation = incarnation;
        to.dataCentres.push_back(settings.dataCentre);
        for (const auto& seed : settings.peers.seeds) {
            if (std::find(to.dataCentres.begin(), to.dataCentres.end(), seed.dataCentre) == to.dataCentres.end())
                to.dataCentres.push_back(seed.dataCentre);
        }
        to.heartbeatInterval = settings.limits.heartbeat;
        to.aliveTimeout = settings.limits.suspectAfter;
        // The lapsed lease proves that a member may be removed; the time without heartbeats only has to outlast a hiccup.
        to.removalTimeout = settings.limits.suspectAfter;
        to.removalRetry = settings.limits.heartbeat;
        to.lease.timeToLive = std::chrono::ceil<std::chrono::seconds>(settings.limits.viewLease);
        to.lease.renewInterval = settings.limits.viewLease / 3;
        return to;
    }

    Decision::KeeperSettings keeperSettings(const Settings& settings, std::uint64_t incarnation)
    {
        Decision::KeeperSettings to;
        to.self = settings.host;
        to.dataCentre = settings.dataCentre;
        to.incarnation = incarnation;
        return to;
    }

    Decision::AuditSettings auditSettings(const Settings& settings, std::uint64_t incarnation)
    {
        Decision::AuditSettings to;
        to.self = settings.host;
        to.dataCentre = settings.dataCentre;
        to.incarnation = incarnation;
        return to;
    }

} // namespace

ControlService::Impl::Impl(const Settings& settings, std::uint64_t incarnation, const ControlPorts& ports, RequestService& requests, WorkerPool& workers, Metrics& metrics)
    : settings(settings)
    , incarnation(incarnation)
    , ports(ports)
    , requests(requests)
    , workers(workers)
    , metrics(metrics)
    , runner(ports.platform, workers, metrics)
    , membership(valueOrThrow(Decision::Membership::create(membershipSettings(settings, incarnation))))
    , keeper(valueOrThrow(Decision::ConfigurationKeeper::create(keeperSettings(settings, incarnation), validator)))
    , publisher(valueOrThrow(Decision::ConfigurationPublisher::create({}, validator)))
    , auditTrail(valueOrThrow(Decision::AuditTrail::create(auditSettings(settings, incarnation))))
    , assignments(settings.dataCentre, { settings.host, incarnation })
    , fleet(settings, incarnation)
{
    for (const auto& name : membershipSettings(settings, incarnation).dataCentres) {
        if (name != settings.dataCentre)
            remoteDataCentres.push_back(name);
    }
}

/// Wraps a core's handler for platform replies. They arrive on a worker without the lock: take it, run the handler,
/// then carry out the core's actions.
template<typename Handler>
PlatformReplies ControlService::Impl::repliesTo(Handler handler)
{
    const auto guarded = [this, handler](const auto& event) {
        const std::lock_guard guard(lock);
        const auto now = Common::BootClock::now();
        handler(now, event);
        pump(now);
    };
    return { guarded, guarded, guarded };
}

void ControlService::Impl::send(const Ports::HostId& to, const Messages::PeerMessage& message)
{
    if (to == settings.host) {
        // Queries to all members include this host.
        if (const auto* it = std::get_if<Messages::AssignmentQuery>(&message))
            handleAssignmentQuery(to, *it);
        return;
    }
    ports.peers.send(to, Messages::encode(message));
}

void ControlService::Impl::carryOut(const Decision::Action& action, const PlatformReplies& replies)
{
    if (const auto* it = std::get_if<Decision::PeerSend>(&action))
        send(it->to, it->message);
    else if (const auto* it = std::get_if<Decision::PlatformAction>(&action))
        runner.run(*it, replies);
}

template<typename Core>
void ControlService::Impl::carryOut(Core& core, const PlatformReplies& replies)
{
    for (const auto& action : core.takeActions())
        carryOut(Decision::Action(action), replies);
}

namespace {

    /// Passes a platform event to a core if it handles that kind.
    template<typename Core, typename Event>
    void handleIfSupported(Core& core, Common::Instant now, const Event& event)
    {
        if constexpr (requires { core.handle(now, event); })
            core.handle(now, event);
    }

} // namespace

void ControlService::Impl::pump(Common::Instant now)
{
    carryOut(*membership, repliesTo([this](Common::Instant at, const auto& event) { handleIfSupported(*membership, at, event); }));
    carryOut(*keeper, repliesTo([this](Common::Instant at, const auto& event) { handleIfSupported(*keeper, at, event); }));
    carryOut(*publisher, repliesTo([this](Common::Instant at, const auto& event) { handleIfSupported(*publisher, at, event); }));
    carryOut(*auditTrail, repliesTo([this](Common::Instant at, const auto& event) { handleIfSupported(*auditTrail, at, event); }));
    carryOut(assignments, repliesTo([this](Common::Instant at, const auto& event) { handleIfSupported(assignments, at, event); }));
    carryOut(fleet, repliesTo([this](Common::Instant at, const auto& event) { handleIfSupported(fleet, at, event); }));
    for (const auto& adopted : keeper->takeAdopted())
        applyConfiguration(adopted);
    finishPublications();
    applyMembership(now);
    applyAssignment(now);
    updateReadiness(now);
}

void ControlService::Impl::tick(Common::Instant now)
{
    updateHeartbeat(now);
    membership->tick(now);
    keeper->tick(now, settledMembers(now));
    publisher->tick(now);
    auditTrail->tick(now);
    assignments.tick(now, viewLease(now));
    tickFleet(now);
    if (now >= nextHostList) {
        nextHostList = now + hostListInterval;
        runner.run(Decision::HostListRead {}, repliesTo([this](Common::Instant at, const auto& event) {
            using Event = std::decay_t<decltype(event)>;
            if constexpr (std::is_same_v<Event, Decision::HostListReplied>) {
                handleHostList(at, event);
            }
        }));
    }
    pump(now);
}

void ControlService::Impl::handleControlMessage(const Ports::HostId& from, const Messages::PeerMessage& message)
{
    const auto now = Common::BootClock::now();
    const std::lock_guard guard(lock);
    if (const auto* it = std::get_if<Messages::Heartbeat>(&message))
        handleHeartbeat(now, from, *it);
    else if (const auto* it = std::get_if<Messages::ConfigurationRequest>(&message))
        keeper->handle(now, Decision::ConfigurationRequested { from, *it });
    else if (const auto* it = std::get_if<Messages::ConfigurationOffer>(&message))
        keeper->handle(now, Decision::ConfigurationOffered { from, *it });
    else if (const auto* it = std::get_if<Messages::AssignmentQuery>(&message))
        handleAssignmentQuery(from, *it);
    else if (const auto* it = std::get_if<Messages::AssignmentAnswer>(&message))
        fleet.handleAssignmentAnswer(from, *it);
    pump(now);
    if (std::holds_alternative<Messages::Heartbeat>(message))
        requests.peerMessage(from, message);
}

void ControlService::Impl::handleHeartbeat(Common::Instant now, const Ports::HostId& from, const Messages::Heartbeat& message)
{
    disconnectedAt.erase(from);
    const Decision::HeartbeatReceived event { from, message };
    membership->handle(now, event);
    keeper->handle(now, event);
    if (message.dataCentre == settings.dataCentre)
        assignments.noteVersion(message.assignmentVersion);
}

namespace {

    bool isControl(const Messages::PeerMessage& message)
    {
        using namespace Messages;
        return std::holds_alternative<Heartbeat>(message) || std::holds_alternative<ConfigurationRequest>(message)
            || std::holds_alternative<ConfigurationOffer>(message) || std::holds_alternative<AssignmentQuery>(message)
            || std::holds_alternative<AssignmentAnswer>(message);
    }

} // namespace

ControlService::ControlService(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

ControlService::~ControlService() = default;

std::unique_ptr<ControlService> ControlService::create(const Settings& settings, std::uint64_t incarnation, const ControlPorts& ports, RequestService& requests, WorkerPool& workers, Metrics& metrics)
{
    return std::unique_ptr<ControlService>(new ControlService(std::make_unique<Impl>(settings, incarnation, ports, requests, workers, metrics)));
}

void ControlService::onFrameReceived(const Ports::HostId& from, std::string frame)
{
    auto decoded = Messages::decode(frame);
    if (!decoded) {
        Logging::write(LogLevel::Warn, "peers", "dropping a malformed frame from " + from + ": " + decoded.error().what());
        return;
    }
    auto message = decoded.take();
    if (isControl(message))
        m_impl->workers.post([this, from, message = std::move(message)] { m_impl->handleControlMessage(from, message); });
    else
        m_impl->requests.peerMessage(from, message);
}

void ControlService::onPeerDisconnected(const Ports::HostId& host)
{
    m_impl->requests.peerLost(host);
    m_impl->workers.post([this, host] {
        const std::lock_guard guard(m_impl->lock);
        const auto now = Common::BootClock::now();
        m_impl->disconnectedAt[host] = now;
        m_impl->membership->handle(now, Decision::PeerDisconnected { host });
        m_impl->pump(now);
    });
}

void ControlService::tick()
{
    const std::lock_guard guard(m_impl->lock);
    m_impl->tick(Common::BootClock::now());
}

void ControlService::beginDrain()
{
    const std::lock_guard guard(m_impl->lock);
    m_impl->draining = true;
    m_impl->updateReadiness(Common::BootClock::now());
}

void ControlService::leave()
{
    const std::lock_guard guard(m_impl->lock);
    const auto now = Common::BootClock::now();
    m_impl->membership->leave(now);
    m_impl->auditTrail->flush(now);
    m_impl->pump(now);
}

bool ControlService::hasLeft()
{
    const std::lock_guard guard(m_impl->lock);
    return !m_impl->membership->isMember() && m_impl->auditTrail->waitingRecords() == 0;
}

Ports::Bytes ControlService::document()
{
    const std::lock_guard guard(m_impl->lock);
    return m_impl->keeper->document();
}

std::uint64_t ControlService::revision()
{
    const std::lock_guard guard(m_impl->lock);
    return m_impl->keeper->revision();
}

void ControlService::publish(Decision::PublishRequest request, PublishCallback callback)
{
    const std::lock_guard guard(m_impl->lock);
    const auto now = Common::BootClock::now();
    request.ticket = m_impl->nextTicket++;
    m_impl->publishCallbacks[request.ticket] = std::move(callback);
    m_impl->publishRequests[request.ticket] = request;
    m_impl->publisher->setInForce(m_impl->keeper->inForce());
    m_impl->publisher->publish(now, std::move(request));
    m_impl->pump(now);
}

std::vector<std::string> ControlService::faultsOfChange(const std::string& document)
{
    std::shared_ptr<const Objects::ObjectSet> base;
    {
        const std::lock_guard guard(m_impl->lock);
        base = m_impl->objects;
    }
    std::vector<std::string> faults = m_impl->validator.faults(document);
    if (!faults.empty() || !base)
        return faults;
    const auto next = Objects::ObjectSetLoader::load({ { "configuration", document } });
    if (!next)
        return faults;
    for (const auto& error : Objects::Validator::validateChange(*base, next.value().set, next.value().sources))
        faults.push_back(Objects::describe(error));
    return faults;
}

std::optional<std::string> ControlService::requestMove(const std::string& who, const std::string& upstream, const std::string& target, const std::string& why)
{
    const std::lock_guard guard(m_impl->lock);
    auto refusal = m_impl->fleet.requestMove(upstream, target);
    m_impl->record(who, "move " + upstream + " to " + target + (refusal ? ": refused: " + *refusal : ""), why);
    m_impl->pump(Common::BootClock::now());
    return refusal;
}

std::vector<WaveStatus> ControlService::waves()
{
    const std::lock_guard guard(m_impl->lock);
    m_impl->fleet.refreshWaves(Common::BootClock::now());
    m_impl->pump(Common::BootClock::now());
    return m_impl->fleet.waves(Common::wallNow());
}

bool ControlService::holdsFleetDuty()
{
    const std::lock_guard guard(m_impl->lock);
    return m_impl->fleet.holdsDuty(Common::BootClock::now());
}

void ControlService::audit(const std::string& who, const std::string& what, const std::string& why)
{
    const std::lock_guard guard(m_impl->lock);
    m_impl->record(who, what, why);
}

void ControlService::readAudit(const std::string& dataCentre, std::function<void(Ports::PlatformStatus, std::vector<std::string>)> callback)
{
    m_impl->ports.platform.read(Decision::auditPrefix(dataCentre), true, [callback = std::move(callback)](const Ports::PlatformReply& reply) {
        std::vector<std::string> lines;
        for (const auto& pair : reply.values) {
            std::istringstream batch(pair.value);
            for (std::string line; std::getline(batch, line);) {
                if (!line.empty())
                    lines.push_back(line);
            }
        }
        callback(reply.status, std::move(lines));
    });
}

} // namespace Kernel
