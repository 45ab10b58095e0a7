#include "Kernel/ControlServiceImpl.h"

#include "Kernel/Logging.h"
#include "Objects/ObjectSetLoader.h"

#include <algorithm>
#include <utility>

namespace Kernel {

namespace {

    constexpr std::chrono::milliseconds recentDisconnectTime { 3000 }; ///< How long a host counts as unreachable after its connection broke.

    const char* stateName(Decision::AssignmentState state)
    {
        switch (state) {
        case Decision::AssignmentState::Serving:
            return "serving";
        case Decision::AssignmentState::Draining:
            return "draining";
        case Decision::AssignmentState::Idle:
            return "idle";
        }
        return "idle";
    }

    const char* publishName(Decision::PublishStatus status)
    {
        switch (status) {
        case Decision::PublishStatus::Accepted:
            return "accepted";
        case Decision::PublishStatus::Conflict:
            return "refused: conflict";
        case Decision::PublishStatus::Invalid:
            return "refused: invalid";
        case Decision::PublishStatus::Unavailable:
            return "refused: store unavailable";
        case Decision::PublishStatus::Unsettled:
            return "unsettled";
        }
        return "unsettled";
    }

} // namespace

void ControlService::Impl::record(const std::string& who, const std::string& what, const std::string& why)
{
    Decision::AuditRecord entry;
    entry.who = who;
    entry.what = what;
    entry.why = why;
    entry.when = Common::wallNow();
    entry.revision = keeper->revision();
    auditTrail->record(Common::BootClock::now(), std::move(entry));
}

void ControlService::Impl::applyConfiguration(const Decision::ConfigurationAdopted& adopted)
{
    auto set = Objects::ObjectSetLoader::loadText("configuration", *adopted.document);
    if (!set) {
        // The keeper has validated it by the same rules, so this would be a bug.
        Logging::write(LogLevel::Error, "configuration", std::string("keeping the previous configuration, because the adopted document can't be read: ") + set.error().what());
        return;
    }
    objects = std::make_shared<const Objects::ObjectSet>(set.take());
    LogContext context;
    context.revision = adopted.revision;
    Logging::write(LogLevel::Info, "configuration", "configuration in force", context);
    metrics.setConfigurationRevision(adopted.revision);
    requests.run([&](auto& core, Decision::Moment at) { core.setConfiguration(at, objects, adopted.revision); });
    std::map<std::string, ConfiguredUpstream> configured;
    std::map<std::string, unsigned> pinned;
    for (const auto& [name, upstream] : objects->upstreams) {
        if (objects->dataCentreOf(upstream) != settings.dataCentre)
            continue;
        const auto pool = objects->pools.find(upstream.pool);
        const bool pin = pool != objects->pools.end() && pinned[upstream.pool]++ < pool->second.pinnedHosts;
        configured[name] = { upstream.pool, pin };
    }
    assignments.setConfigured(std::move(configured));
    fleet.setObjects(objects);
    updateUpstreams();
}

std::optional<Decision::ViewLease> ControlService::Impl::viewLease(Common::Instant now) const
{
    const auto lease = membership->lease(now);
    if (!lease)
        return std::nullopt;
    const auto timeToLive = std::chrono::ceil<std::chrono::seconds>(settings.limits.viewLease);
    // The lease core counts from before it sent the request, so the time of sending follows from the lease's end.
    return Decision::ViewLease { *lease, membership->leaseValidUntil() - timeToLive, timeToLive };
}

void ControlService::Impl::applyAssignment(Common::Instant now)
{
    const AssignmentUpdates updates = assignments.takeUpdates();
    if (!updates.lease && !updates.record)
        return;
    requests.withTable([&](Decision::AssignmentTable& table) {
        if (updates.lease)
            table.handleLeaseReply(*updates.lease, now);
        if (updates.record)
            table.handleRecordRead(*updates.record, updates.readLease);
    });
    if (!updates.record)
        return;
    fleet.setSnapshot(now, assignments.snapshot());
    updateUpstreams();
}

void ControlService::Impl::updateUpstreams()
{
    if (!objects)
        return;
    std::map<std::string, std::vector<Decision::PoolUpstream>> pools;
    for (const auto& [name, pool] : objects->pools)
        pools[name];
    for (const auto& [name, assignment] : assignments.snapshot().record.upstreams) {
        const auto upstream = objects->upstreams.find(name);
        if (upstream == objects->upstreams.end() || leavingUpstreams.count(upstream->second.address))
            continue;
        if (assignment.state == Decision::AssignmentState::Serving)
            pools[assignment.pool].push_back({ name, upstream->second.address, upstream->second.slots });
    }
    for (const auto& it : pools) {
        auto& applied = appliedUpstreams[it.first];
        if (applied == it.second)
            continue;
        applied = it.second;
        requests.run([&](auto& core, Decision::Moment at) { core.setUpstreams(at, it.first, it.second); });
    }
}

void ControlService::Impl::handleHostList(Common::Instant now, const Decision::HostListReplied& event)
{
    if (event.status != Ports::PlatformStatus::Ok)
        return;
    leavingUpstreams.clear();
    for (const auto& host : event.hosts) {
        if (host.state == Ports::ListedHost::State::Leaving)
            leavingUpstreams.insert(host.address);
    }
    membership->handle(now, event);
    fleet.setHosts(event.hosts);
    updateUpstreams();
}

void ControlService::Impl::handleAssignmentQuery(const Ports::HostId& from, const Messages::AssignmentQuery& query)
{
    assignments.noteVersion(query.version);
    std::optional<Messages::AssignmentAnswer> answer;
    requests.withTable([&](Decision::AssignmentTable& table) { answer = table.answer(query, Common::BootClock::now()); });
    if (!answer)
        return;
    if (from == settings.host)
        fleet.handleAssignmentAnswer(from, *answer);
    else
        send(from, *answer);
}

void ControlService::Impl::tickFleet(Common::Instant now)
{
    std::vector<HostLoads> allLoads { { settings.host, ownLoads(now) } };
    for (const auto& host : membership->aliveMembers(now)) {
        const auto* heartbeat = membership->lastHeartbeat(host);
        if (host != settings.host && heartbeat)
            allLoads.push_back({ host, heartbeat->loads });
    }
    fleet.setLoads(std::move(allLoads));
    const Decision::DutyContext context { membership->lease(now), membership->leaseValidUntil(), membership->aliveMembers(now) };
    fleet.tick(now, Common::wallNow(), context);
    if (fleet.needsRead())
        assignments.requestRead();
    for (const auto& step : fleet.takeAuditSteps()) {
        if (step.starts_with("move "))
            metrics.countMove();
        record(settings.host, step, "");
    }
}

const std::vector<Messages::PoolLoad>& ControlService::Impl::ownLoads(Common::Instant now)
{
    if (now >= nextLoads) {
        nextLoads = now + settings.limits.heartbeat / 2;
        loads = requests.loads();
    }
    return loads;
}

std::vector<Ports::HostId> ControlService::Impl::readyMembers(Common::Instant now) const
{
    std::vector<Ports::HostId> members;
    for (const auto& host : membership->aliveMembers(now)) {
        if (host == settings.host) {
            if (!draining)
                members.push_back(host);
            continue;
        }
        const auto* heartbeat = membership->lastHeartbeat(host);
        if (heartbeat && heartbeat->ready && !heartbeat->leaving)
            members.push_back(host);
    }
    return members;
}

std::vector<Ports::HostId> ControlService::Impl::settledMembers(Common::Instant now)
{
    if (!membership->isMember()) {
        memberSince.reset();
        return {};
    }
    if (!memberSince)
        memberSince = now;
    if (now - *memberSince < settings.limits.suspectAfter)
        return {};
    return membership->aliveMembers(now);
}

bool ControlService::Impl::recentlyDisconnected(const Ports::HostId& host, Common::Instant now) const
{
    const auto it = disconnectedAt.find(host);
    return it != disconnectedAt.end() && now - it->second < recentDisconnectTime;
}

void ControlService::Impl::applyMembership(Common::Instant now)
{
    updatePeers();
    // The request core may only be given views that include this host.
    if (membership->isMember() && membership->epoch() != appliedEpoch) {
        appliedEpoch = membership->epoch();
        Decision::LedgerView view { appliedEpoch, {} };
        for (const auto& member : membership->currentView().members)
            view.members.push_back(member.host);
        metrics.setViewEpoch(appliedEpoch);
        metrics.setViewMembers(view.members.size());
        requests.run([&](auto& core, Decision::Moment at) { core.setView(at, view); });
    }
    const auto leaseEnd = membership->leaseValidUntil();
    requests.run([&](auto& core, Decision::Moment at) { core.setMembershipValidUntil(at.now, leaseEnd); });
    auto alive = readyMembers(now);
    if (alive != appliedAlive) {
        appliedAlive = alive;
        requests.run([&](auto& core, Decision::Moment at) { core.setAlive(at, std::move(alive)); });
    }
}

void ControlService::Impl::updatePeers()
{
    if (peersApplied && membership->peersVersion() == appliedPeersVersion)
        return;
    appliedPeersVersion = membership->peersVersion();
    peersApplied = true;
    auto peers = membership->peers();
    for (const auto& seed : settings.peers.seeds) {
        const bool known = std::any_of(peers.begin(), peers.end(), [&](const auto& it) { return it.host == seed.host; });
        if (!known && seed.host != settings.host)
            peers.push_back({ seed.host, seed.address });
    }
    ports.peers.setPeers(std::move(peers));
}

void ControlService::Impl::updateReadiness(Common::Instant now)
{
    notReadyBecause.clear();
    const auto readiness = membership->readiness(now);
    if (draining)
        notReadyBecause.push_back("draining");
    if (!readiness.member)
        notReadyBecause.push_back("not a member of the data centre's view");
    if (readiness.superseded)
        notReadyBecause.push_back("another start of this host took its place");
    if (!keeper->isReady(now))
        notReadyBecause.push_back("no current configuration");
    if (!requests.hasCompleteLedger())
        notReadyBecause.push_back("records of claims are still being gathered");
    bool confirmed = false;
    requests.withTable([&](const Decision::AssignmentTable& table) { confirmed = table.isConfirmed(); });
    if (!confirmed)
        notReadyBecause.push_back("assignments not read yet");
    ready = notReadyBecause.empty();
    requests.setReady(ready);
}

void ControlService::Impl::updateHeartbeat(Common::Instant now)
{
    Messages::Heartbeat content;
    content.configurationRevision = keeper->revision();
    content.assignmentVersion = assignments.version();
    content.ready = ready;
    content.loads = ownLoads(now);
    membership->setHeartbeatContent(std::move(content));
    for (const auto& dataCentre : remoteDataCentres) {
        std::vector<Ports::HostId> hosts;
        for (const auto& member : membership->hostsOf(dataCentre)) {
            if (!recentlyDisconnected(member.host, now))
                hosts.push_back(member.host);
        }
        requests.run([&](auto& core, Decision::Moment) { core.setRemoteHosts(dataCentre, hosts); });
    }
}

void ControlService::Impl::finishPublications()
{
    for (const auto& result : publisher->takeResults()) {
        const auto request = publishRequests.extract(result.ticket);
        // marigoldctl's conflict report finds publications by the form of this text.
        if (!request.empty())
            record(request.mapped().author, "publish " + result.changeId + " on revision " + std::to_string(request.mapped().baseRevision) + ": " + publishName(result.status), request.mapped().reason);
        const auto callback = publishCallbacks.extract(result.ticket);
        if (!callback.empty())
            callback.mapped()(result);
    }
}

ControlStatus ControlService::status()
{
    const std::lock_guard guard(m_impl->lock);
    const auto now = Common::BootClock::now();
    ControlStatus status;
    status.host = m_impl->settings.host;
    status.dataCentre = m_impl->settings.dataCentre;
    status.ready = m_impl->ready;
    status.notReadyBecause = m_impl->notReadyBecause;
    status.viewEpoch = m_impl->membership->epoch();
    for (const auto& member : m_impl->membership->currentView().members)
        status.members.push_back(member.host);
    status.alive = m_impl->membership->aliveMembers(now);
    status.revision = m_impl->keeper->revision();
    status.highestKnownRevision = m_impl->keeper->highestKnown();
    status.inForce = m_impl->keeper->inForceReport(now);
    for (const auto& alarm : { m_impl->membership->alarm(), m_impl->keeper->alarm() }) {
        if (!alarm.empty())
            status.alarms.push_back(alarm);
    }
    status.auditWaiting = m_impl->auditTrail->waitingRecords();
    return status;
}

std::vector<UpstreamStatus> ControlService::upstreams()
{
    const std::lock_guard guard(m_impl->lock);
    std::vector<UpstreamStatus> upstreams;
    for (const auto& [name, it] : m_impl->assignments.snapshot().record.upstreams)
        upstreams.push_back({ name, it.pool, stateName(it.state), it.target, it.pinned });
    return upstreams;
}

} // namespace Kernel
