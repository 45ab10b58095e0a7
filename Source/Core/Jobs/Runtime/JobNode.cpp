#include "Jobs/Runtime/JobNode.h"

#include "Jobs/Runtime/Events.h"
#include "Jobs/Runtime/FleetDuty.h"
#include "Jobs/Runtime/JobNodeState.h"

#include <algorithm>
#include <utility>

namespace Jobs {

using Ports::JobAnswer;
using Ports::JobOutcome;

namespace {

    constexpr milliseconds storeOutageLimit { 6000 }; ///< After a longer outage of the store an owner lets its workers' leases lapse.
    constexpr milliseconds peerRetention { 15000 }; ///< Longer than the store's usual outages.
    constexpr milliseconds retirementInterval { 10000 };
    constexpr milliseconds handOverPollInterval { 10 };
    constexpr milliseconds handOverLimit { 600 }; ///< A pending commit takes a few milliseconds, but the store may be unavailable.

} // namespace

JobNode::State::State(const JobNodePorts& nodePorts, JobNodeSettings nodeSettings)
    : ports(nodePorts)
    , loop(nodePorts.loop)
    , settings(std::move(nodeSettings))
    , metrics(JobMetrics::create())
    , peerCalls(nodePorts.loop, nodePorts.peers, settings.ownership.incarnation)
    , ownership(nodePorts.loop, nodePorts.platform, settings.ownership, ownershipHooks())
{
}

Ownership::Hooks JobNode::State::ownershipHooks()
{
    Ownership::Hooks hooks;
    hooks.acquired = [this](const std::string& duty, Fence fence, Predecessor predecessor) { onDutyAcquired(duty, fence, predecessor); };
    hooks.lost = [this](const std::string& duty) { onDutyLost(duty); };
    hooks.changed = [this] { onMembersChanged(); };
    hooks.overloaded = [this] { handOverOnePool(); };
    hooks.renewalSent = [this] { storeSilence.onSent(loop.now()); };
    hooks.renewalAnswered = [this] { storeSilence.onAnswered(); };
    return hooks;
}

void JobNode::State::start()
{
    PrefixFeed::Hooks hooks;
    hooks.changed = [this](const Ports::KeyValue& pair) { onPublished(pair); };
    hooks.removed = [](const std::string& key) { writeEvent("node", { "published-entry-removed", key, {} }); };
    operatorFeed = std::make_unique<PrefixFeed>(loop, ports.platform, ports.published.operatorPrefix(), std::move(hooks));
    operatorFeed->start();
    ownership.start();
}

void JobNode::State::onPublished(const Ports::KeyValue& pair)
{
    if (pair.key == ports.published.configurationKey()) {
        auto newConfiguration = ports.published.readConfiguration(pair.value);
        if (!newConfiguration)
            reportUnreadable("configuration", pair.key);
        else if (!isConfigured || newConfiguration->version > configuration.version)
            configure(std::move(*newConfiguration));
    } else if (pair.key.starts_with(ports.published.wavePrefix())) {
        const auto wave = ports.published.readWave(pair.value);
        if (!wave) {
            reportUnreadable("wave", pair.key);
            return;
        }
        waves[wave->number] = *wave;
        if (fleet)
            fleet->addWave(*wave);
    }
}

void JobNode::State::reportUnreadable(const std::string& kind, const std::string& key)
{
    limiter.write({ "entry-unreadable", key, { { "kind", kind } } }, loop.now());
    metrics->countUnreadable(kind);
}

void JobNode::State::configure(JobConfiguration newConfiguration)
{
    configuration = std::move(newConfiguration);
    writeEvent("node", { "configuration-in-force", std::to_string(configuration.version), { { "queues", std::to_string(configuration.queues.size()) }, { "leftOut", std::to_string(configuration.itemsLeftOut) } } });
    for (unsigned n = 0; n < configuration.itemsLeftOut; ++n)
        metrics->countUnreadable("configuration-item");
    isConfigured = true;
    metrics->setConfigurationVersion(configuration.version);
    std::set<std::string> duties { fleetDuty };
    for (const auto& it : configuration.queues)
        duties.insert(it.pool);
    ownership.setDuties(duties);
    scheduleRetirement();
    for (const auto& [pool, owner] : owners)
        owner->configure(configuration);
    if (fleet)
        fleet->configure(configuration);
}

/// A pool that has lost its queues keeps an owner until its jobs are done and their states are no longer queried.
void JobNode::State::scheduleRetirement()
{
    if (retirementTimer != 0)
        return;
    retirementTimer = loop.after(retirementInterval, [self = weak_from_this()] {
        const auto it = self.lock();
        if (!it)
            return;
        it->retirementTimer = 0;
        it->retirePools();
    });
}

void JobNode::State::retirePools()
{
    std::vector<std::string> unused;
    bool isAnyLeft = false;
    for (const auto& [pool, owner] : owners) {
        if (std::ranges::find(configuration.queues, pool, &QueueRule::pool) != configuration.queues.end())
            continue;
        if (!isLeaving && ownership.isLeaseValid() && owner->isUnused())
            unused.push_back(pool);
        else
            isAnyLeft = true;
    }
    for (const auto& pool : unused) {
        dropDuty(pool);
        ownership.retire(pool);
    }
    if (isAnyLeft && !isLeaving)
        scheduleRetirement();
}

void JobNode::State::onDutyAcquired(const std::string& duty, Fence fence, Predecessor predecessor)
{
    metrics->countDuty(duty, "acquired");
    if (duty == fleetDuty) {
        startFleetDuty(fence, predecessor);
        return;
    }
    if (!workerFeed)
        watchWorkers();
    PoolOwner::Hooks hooks;
    hooks.onDeposed = [this, duty] {
        loop.post([self = weak_from_this(), duty] {
            if (const auto it = self.lock()) {
                it->ownership.release(duty);
                it->dropDuty(duty);
            }
        });
    };
    hooks.askPool = [this](PoolCall call, Ports::JobReply reply) {
        constexpr milliseconds timeout { 700 }; // The caller's call to this host times out after 1.5 s.
        callPool(std::move(call), timeout, std::move(reply));
    };
    hooks.mayExtendLease = [this] { return ownership.isLeaseValid() || loop.now() - ownership.lastContact() < storeOutageLimit; };
    hooks.mayOrder = [this] { return ownership.isLeaseValid(); };
    OwnerContext context { loop, ports.platform, ports.workers, ports.machines, *metrics, storeSilence, settings.pool, settings.session };
    // A predecessor that may be running extends leases until it knows that it is deposed.
    const auto extendedFor = predecessor == Predecessor::Lapsed ? storeOutageLimit : milliseconds(0);
    context.sessionLimits.takeoverLapse = extendedFor + longestCall + maximumSpanOf(settings.session.longestLease);
    context.poolLimits.takeoverLapse = context.sessionLimits.takeoverLapse;
    auto owner = std::make_unique<PoolOwner>(context, duty, fence, std::move(hooks));
    owner->configure(configuration);
    for (const auto& [id, entry] : workers)
        owner->onWorkerListed(entry);
    owner->begin();
    owners[duty] = std::move(owner);
    scheduleRetirement();
    metrics->setOwnedPools(owners.size());
}

void JobNode::State::startFleetDuty(Fence fence, Predecessor predecessor)
{
    FleetContext context { loop, ports.platform, ports.machines, ports.published, settings.ownership.self.host, settings.fleet, predecessor, {}, {} };
    context.requestLoad = [this](LoadCall call, std::function<void(const LoadCallAnswer&)> callback) { requestLoad(std::move(call), std::move(callback)); };
    context.mayOrder = [this] { return ownership.isLeaseValid(); };
    context.onForecastError = [this](milliseconds error) { metrics->observeForecastError(error); };
    fleet = std::make_unique<FleetDuty>(context, fence);
    fleet->configure(configuration);
    fleet->begin();
    for (const auto& [number, wave] : waves)
        fleet->addWave(wave);
}

void JobNode::State::onDutyLost(const std::string& duty)
{
    // Posted, as this may run within a call of the object that is to be destroyed.
    loop.post([self = weak_from_this(), duty] {
        if (const auto it = self.lock(); it && !it->ownership.owns(duty))
            it->dropDuty(duty);
    });
}

void JobNode::State::dropDuty(const std::string& duty)
{
    metrics->countDuty(duty, "lost");
    if (duty == fleetDuty)
        fleet.reset();
    else
        owners.erase(duty);
    metrics->setOwnedPools(owners.size());
}

/// Hands over one pool of an overloaded host. Never the fleet duty, as its next holder has to pause before its first orders.
void JobNode::State::handOverOnePool()
{
    const auto it = std::ranges::find_if(owners, [](const auto& entry) { return entry.second->isServing(); });
    if (isHandingOverPool || isLeaving || it == owners.end())
        return;
    isHandingOverPool = true;
    writeEvent("node", { "pool-handover", it->first, { { "pools", std::to_string(owners.size()) } } });
    it->second->stopServing();
    handOverPool(it->first, loop.now() + handOverLimit);
}

void JobNode::State::handOverPool(const std::string& pool, Common::Instant limit)
{
    const auto it = owners.find(pool);
    if (it != owners.end() && !it->second->isIdle() && loop.now() < limit) {
        loop.after(handOverPollInterval, [self = weak_from_this(), pool, limit] {
            if (const auto state = self.lock())
                state->handOverPool(pool, limit);
        });
        return;
    }
    isHandingOverPool = false;
    if (it == owners.end() || it->second->isServing())
        return; // Lost in the meantime, and perhaps acquired again.
    dropDuty(pool);
    ownership.release(pool);
}

void JobNode::State::watchWorkers()
{
    PrefixFeed::Hooks hooks;
    hooks.changed = [this](const Ports::KeyValue& pair) { onWorkerChanged(pair); };
    hooks.removed = [this](const std::string& key) { onWorkerRemoved(key.substr(ports.published.workerPrefix().size())); };
    workerFeed = std::make_unique<PrefixFeed>(loop, ports.platform, ports.published.workerPrefix(), std::move(hooks));
    workerFeed->start();
}

void JobNode::State::onWorkerChanged(const Ports::KeyValue& pair)
{
    const auto id = pair.key.substr(ports.published.workerPrefix().size());
    const auto entry = ports.published.readWorker(id, pair.value);
    if (!entry) {
        reportUnreadable("worker", pair.key);
        onWorkerRemoved(id);
        return;
    }
    workers[id] = *entry;
    for (const auto& [pool, owner] : owners)
        owner->onWorkerListed(*entry);
}

void JobNode::State::onWorkerRemoved(const std::string& id)
{
    workers.erase(id);
    for (const auto& [pool, owner] : owners)
        owner->onWorkerUnlisted(id);
}

void JobNode::State::onMembersChanged()
{
    for (const auto& [host, member] : ownership.members())
        knownPeers[host] = { member.address, {} };
    for (auto& [host, peer] : knownPeers) {
        if (!ownership.members().contains(host) && peer.departedAt == Common::Instant())
            peer.departedAt = loop.now();
    }
    // A host whose lease has lapsed may go on forwarding calls, for example during an outage of the store.
    std::erase_if(knownPeers, [this](const auto& it) { return it.second.departedAt != Common::Instant() && loop.now() - it.second.departedAt > peerRetention; });
    // Calls go only to holders of duties, and answers come only from them: other pairs of hosts needn't be connected.
    std::set<std::string> holders;
    for (const auto& [duty, owner] : ownership.owners())
        holders.insert(owner.host);
    const bool isHolder = !owners.empty() || fleet || holders.contains(settings.ownership.self.host);
    std::vector<Ports::PeerAddress> peers;
    for (const auto& [host, peer] : knownPeers) {
        if (host != settings.ownership.self.host && (isHolder || holders.contains(host)))
            peers.push_back({ host, peer.address });
    }
    if (peers == connectedPeers)
        return;
    connectedPeers = peers;
    ports.peers.setPeers(std::move(peers));
}

void JobNode::State::onFrame(const std::string& from, const std::string& text)
{
    peerCalls.handleFrame(from);
    auto message = decodeNodeMessage(text);
    if (!message) {
        reportUnreadable("frame", from);
        return;
    }
    if (auto* call = std::get_if<PoolCall>(&*message))
        handlePoolCall(from, std::move(*call));
    else if (auto* load = std::get_if<LoadCall>(&*message))
        peerCalls.reply(from, answerLoadCall(*load));
    else
        peerCalls.handleAnswer(*message);
}

LoadCallAnswer JobNode::State::answerLoadCall(const LoadCall& call)
{
    LoadCallAnswer answer;
    answer.call = call.call;
    const auto it = owners.find(call.pool);
    if (it == owners.end() || !it->second->isServing())
        return answer;
    auto& owner = *it->second;
    if (call.fence >= cordonFence) { // A lower fence is that of a former holder that doesn't know yet that it lost the duty.
        cordonFence = call.fence;
        owner.cordon({ call.cordonedMachines.begin(), call.cordonedMachines.end() });
    }
    answer.isOwner = true;
    answer.fence = owner.fence();
    answer.load = owner.load();
    return answer;
}

void JobNode::State::requestLoad(LoadCall call, std::function<void(const LoadCallAnswer&)> callback)
{
    constexpr milliseconds timeout { 500 }; // The step of the fleet duty waits for the answer.
    const auto* owner = ownership.ownerOf(call.pool);
    if (!owner || owner->host == settings.ownership.self.host) {
        // Posted, so that the duty has sent the requests for all pools before the first answer.
        loop.post([self = weak_from_this(), call = std::move(call), callback = std::move(callback)] {
            if (const auto it = self.lock())
                callback(it->answerLoadCall(call));
        });
        return;
    }
    peerCalls.call(owner->host, std::move(call), timeout, [self = weak_from_this(), callback = std::move(callback)](PeerStatus status, const NodeMessage& message) {
        const auto* answer = std::get_if<LoadCallAnswer>(&message);
        auto result = status == PeerStatus::Answered && answer ? *answer : LoadCallAnswer();
        if (const auto it = self.lock())
            it->loop.post([callback, result = std::move(result)] { callback(result); });
    });
}

void JobNode::State::leave(std::function<void()> onLeft)
{
    isLeaving = true;
    writeEvent("node", { "leaving", settings.ownership.self.host, { { "pools", std::to_string(owners.size()) } } });
    ownership.leave();
    // Under load the journals of pools that go on accepting jobs would never be idle.
    for (const auto& [pool, owner] : owners)
        owner->stopServing();
    handOverDuties(loop.now() + handOverLimit, std::move(onLeft));
}

/// Waits until the owners have no commit pending, at the latest until the limit, and releases all duties.
void JobNode::State::handOverDuties(Common::Instant limit, std::function<void()> onLeft)
{
    const bool isIdle = std::ranges::all_of(owners, [](const auto& it) { return it.second->isIdle(); });
    if (!isIdle && loop.now() < limit) {
        loop.after(handOverPollInterval, [self = weak_from_this(), limit, onLeft = std::move(onLeft)] {
            if (const auto it = self.lock())
                it->handOverDuties(limit, onLeft);
        });
        return;
    }
    std::vector<std::string> duties;
    for (const auto& [pool, owner] : owners) {
        if (!owner->isIdle())
            writeEvent("node", { "handed-over-uncommitted", pool, { { "limitMs", std::to_string(handOverLimit.count()) } } });
        duties.push_back(pool);
    }
    if (fleet)
        duties.push_back(fleetDuty);
    for (const auto& duty : duties) {
        dropDuty(duty);
        ownership.release(duty);
    }
    onLeft();
}

JobNode::JobNode(const JobNodePorts& ports, JobNodeSettings settings)
    : m_state(std::make_shared<State>(ports, std::move(settings)))
{
}

JobNode::~JobNode() = default;

void JobNode::start() { m_state->start(); }

void JobNode::leave(std::function<void()> onLeft) { m_state->leave(std::move(onLeft)); }

void JobNode::abandon()
{
    m_state->isAbandoned = true;
    m_state->logUnanswered();
    m_state->peerCalls.abandon();
}

void JobNode::onJobCall(Ports::JobCall call, Ports::JobReply reply)
{
    m_state->loop.post([state = m_state, call = std::move(call), reply = std::move(reply)]() mutable { state->handleCall(std::move(call), std::move(reply)); });
}

bool JobNode::isReady() const { return m_state->isConfigured && !m_state->isLeaving; }

std::string JobNode::metrics() const { return m_state->metrics->exposition(); }

void JobNode::onFrameReceived(const Ports::HostId& from, std::string frame)
{
    m_state->loop.post([state = m_state, from, frame = std::move(frame)] { state->onFrame(from, frame); });
}

void JobNode::onPeerDisconnected(const Ports::HostId& host)
{
    m_state->loop.post([state = m_state, host] { state->peerCalls.handleDisconnect(host); });
}

const Ownership& JobNode::ownership() const { return m_state->ownership; }

} // namespace Jobs
