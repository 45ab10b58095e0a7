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

    constexpr milliseconds storeAbsenceLimit { 6000 }; ///< An owner without the store for longer lets its workers' leases lapse.
    constexpr milliseconds peerMemory { 15000 }; ///< Longer than the store's usual outages.
    constexpr milliseconds handOverStep { 10 };
    constexpr milliseconds handOverLimit { 600 }; ///< A commit under way takes a few milliseconds; the store may be away.

} // namespace

JobNode::State::State(const JobNodePorts& given, JobNodeSettings nodeSettings)
    : ports(given)
    , loop(given.loop)
    , settings(std::move(nodeSettings))
    , metrics(JobMetrics::create())
    , peerCalls(given.loop, given.peers, settings.ownership.incarnation)
    , ownership(given.loop, given.platform, settings.ownership, ownershipHooks())
{
}

Ownership::Hooks JobNode::State::ownershipHooks()
{
    Ownership::Hooks hooks;
    hooks.acquired = [this](const std::string& duty, Fence fence, Predecessor predecessor) { acquired(duty, fence, predecessor); };
    hooks.lost = [this](const std::string& duty) { lost(duty); };
    hooks.changed = [this] { membersChanged(); };
    hooks.overloaded = [this] { shedPool(); };
    return hooks;
}

void JobNode::State::start()
{
    PrefixFeed::Hooks hooks;
    hooks.changed = [this](const Ports::KeyValue& pair) { published(pair); };
    hooks.removed = [](const std::string& key) { writeEvent("node", { "published-removed", key, {} }); };
    operatorFeed = std::make_unique<PrefixFeed>(loop, ports.platform, ports.published.operatorPrefix(), std::move(hooks));
    operatorFeed->start();
    ownership.start();
}

void JobNode::State::published(const Ports::KeyValue& pair)
{
    if (pair.key == ports.published.configurationKey()) {
        auto fresh = ports.published.readConfiguration(pair.value);
        if (!fresh)
            unreadable("configuration", pair.key);
        else if (!isConfigured || fresh->version > configuration.version)
            configure(std::move(*fresh));
    } else if (pair.key.starts_with(ports.published.wavePrefix())) {
        const auto wave = ports.published.readWave(pair.value);
        if (!wave) {
            unreadable("wave", pair.key);
            return;
        }
        waves[wave->number] = *wave;
        if (fleet)
            fleet->wavePublished(*wave);
    }
}

void JobNode::State::unreadable(const std::string& kind, const std::string& key)
{
    writeEvent("node", { "entry-unreadable", key, { { "kind", kind } } });
    metrics->countUnreadable(kind);
}

void JobNode::State::configure(JobConfiguration fresh)
{
    configuration = std::move(fresh);
    writeEvent("node", { "configuration-in-force", std::to_string(configuration.version), { { "queues", std::to_string(configuration.queues.size()) } } });
    isConfigured = true;
    metrics->setConfigurationVersion(configuration.version);
    std::set<std::string> duties { fleetDuty };
    for (const auto& it : configuration.queues)
        duties.insert(it.pool);
    ownership.setDuties(duties);
    for (const auto& [pool, owner] : owners)
        owner->configure(configuration);
    if (fleet)
        fleet->configure(configuration);
}

void JobNode::State::acquired(const std::string& duty, Fence fence, Predecessor predecessor)
{
    metrics->countDuty(duty, "acquired");
    if (duty == fleetDuty) {
        beginFleet(fence, predecessor);
        return;
    }
    if (!workerFeed)
        followWorkers();
    PoolOwner::Hooks hooks;
    hooks.deposed = [this, duty] {
        loop.post([self = weak_from_this(), duty] {
            if (const auto it = self.lock()) {
                it->ownership.release(duty);
                it->drop(duty);
            }
        });
    };
    hooks.mayExtend = [this] { return ownership.isLeaseSure() || loop.now() - ownership.lastContact() < storeAbsenceLimit; };
    hooks.mayOrder = [this] { return ownership.isLeaseSure(); };
    OwnerContext context { loop, ports.platform, ports.workers, ports.machines, *metrics, settings.pool, settings.session };
    if (predecessor != Predecessor::Lapsed)
        context.sessionLimits.takeoverLapse = settings.session.leaseTime * 21 / 20; // Workers' clocks are up to 2% slow.
    auto owner = std::make_unique<PoolOwner>(context, duty, fence, std::move(hooks));
    owner->configure(configuration);
    for (const auto& [id, entry] : workers)
        owner->workerListed(entry);
    owner->begin();
    owners[duty] = std::move(owner);
    metrics->setOwnedPools(owners.size());
}

void JobNode::State::beginFleet(Fence fence, Predecessor predecessor)
{
    FleetContext context { loop, ports.platform, ports.machines, ports.published, settings.ownership.self.host, settings.fleet, predecessor, {}, {} };
    context.askLoad = [this](LoadCall call, std::function<void(const LoadCallAnswer&)> callback) { askLoad(std::move(call), std::move(callback)); };
    context.mayOrder = [this] { return ownership.isLeaseSure(); };
    fleet = std::make_unique<FleetDuty>(context, fence);
    fleet->configure(configuration);
    fleet->begin();
    for (const auto& [number, wave] : waves)
        fleet->wavePublished(wave);
}

void JobNode::State::lost(const std::string& duty)
{
    // Never from within a call of what is to be destroyed.
    loop.post([self = weak_from_this(), duty] {
        if (const auto it = self.lock(); it && !it->ownership.owns(duty))
            it->drop(duty);
    });
}

void JobNode::State::drop(const std::string& duty)
{
    metrics->countDuty(duty, "lost");
    if (duty == fleetDuty)
        fleet.reset();
    else
        owners.erase(duty);
    metrics->setOwnedPools(owners.size());
}

/// Pools only: the fleet's duty pauses its orders between two holders.
void JobNode::State::shedPool()
{
    const auto it = std::ranges::find_if(owners, [](const auto& entry) { return entry.second->isServing(); });
    if (isShedding || isLeaving || it == owners.end())
        return;
    isShedding = true;
    writeEvent("node", { "pool-shed", it->first, { { "pools", std::to_string(owners.size()) } } });
    it->second->stopServing();
    handOverPool(it->first, loop.now() + handOverLimit);
}

void JobNode::State::handOverPool(const std::string& pool, Common::Instant limit)
{
    const auto it = owners.find(pool);
    if (it != owners.end() && !it->second->isIdle() && loop.now() < limit) {
        loop.after(handOverStep, [self = weak_from_this(), pool, limit] {
            if (const auto state = self.lock())
                state->handOverPool(pool, limit);
        });
        return;
    }
    isShedding = false;
    if (it == owners.end() || it->second->isServing())
        return; // Lost meanwhile, and perhaps gained again.
    drop(pool);
    ownership.release(pool);
}

void JobNode::State::followWorkers()
{
    PrefixFeed::Hooks hooks;
    hooks.changed = [this](const Ports::KeyValue& pair) { workerChanged(pair); };
    hooks.removed = [this](const std::string& key) { workerRemoved(key.substr(ports.published.workerPrefix().size())); };
    workerFeed = std::make_unique<PrefixFeed>(loop, ports.platform, ports.published.workerPrefix(), std::move(hooks));
    workerFeed->start();
}

void JobNode::State::workerChanged(const Ports::KeyValue& pair)
{
    const auto id = pair.key.substr(ports.published.workerPrefix().size());
    const auto entry = ports.published.readWorker(id, pair.value);
    if (!entry) {
        unreadable("worker", pair.key);
        workerRemoved(id);
        return;
    }
    workers[id] = *entry;
    for (const auto& [pool, owner] : owners)
        owner->workerListed(*entry);
}

void JobNode::State::workerRemoved(const std::string& id)
{
    workers.erase(id);
    for (const auto& [pool, owner] : owners)
        owner->workerUnlisted(id);
}

void JobNode::State::membersChanged()
{
    for (const auto& [host, member] : ownership.members())
        knownPeers[host] = { member.address, {} };
    for (auto& [host, peer] : knownPeers) {
        if (!ownership.members().contains(host) && peer.goneAt == Common::Instant())
            peer.goneAt = loop.now();
    }
    // A host whose lease has lapsed may go on passing calls, for example while the store is away.
    std::erase_if(knownPeers, [this](const auto& it) { return it.second.goneAt != Common::Instant() && loop.now() - it.second.goneAt > peerMemory; });
    // Calls go to holders of duties, and answers come back from them: other pairs of hosts needn't be connected.
    std::set<std::string> holders;
    for (const auto& [duty, owner] : ownership.owners())
        holders.insert(owner.host);
    const bool isHolder = !owners.empty() || fleet || holders.contains(settings.ownership.self.host);
    std::vector<Ports::PeerAddress> peers;
    for (const auto& [host, peer] : knownPeers) {
        if (host != settings.ownership.self.host && (isHolder || holders.contains(host)))
            peers.push_back({ host, peer.address });
    }
    if (peers == dialledPeers)
        return;
    dialledPeers = peers;
    ports.peers.setPeers(std::move(peers));
}

void JobNode::State::frame(const std::string& from, const std::string& text)
{
    auto message = decodeNodeMessage(text);
    if (!message) {
        unreadable("frame", from);
        return;
    }
    if (auto* call = std::get_if<PoolCall>(&*message))
        poolCalled(from, std::move(*call));
    else if (auto* load = std::get_if<LoadCall>(&*message))
        peerCalls.reply(from, loadAnswer(*load));
    else
        peerCalls.answered(*message);
}

LoadCallAnswer JobNode::State::loadAnswer(const LoadCall& call)
{
    LoadCallAnswer answer;
    answer.call = call.call;
    const auto it = owners.find(call.pool);
    if (it == owners.end() || !it->second->isServing())
        return answer;
    auto& owner = *it->second;
    if (call.fence >= cordonFence) { // Otherwise from a holder that hasn't heard yet that it lost the duty.
        cordonFence = call.fence;
        owner.cordon({ call.cordonedMachines.begin(), call.cordonedMachines.end() });
    }
    answer.isOwner = true;
    answer.fence = owner.fence();
    answer.load = owner.load();
    return answer;
}

void JobNode::State::askLoad(LoadCall call, std::function<void(const LoadCallAnswer&)> callback)
{
    constexpr milliseconds timeout { 500 }; // The duty's step waits for it.
    const auto* owner = ownership.ownerOf(call.pool);
    if (!owner || owner->host == settings.ownership.self.host) {
        // Later, so that the duty has asked all pools before the first answer.
        loop.post([self = weak_from_this(), call = std::move(call), callback = std::move(callback)] {
            if (const auto it = self.lock())
                callback(it->loadAnswer(call));
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

void JobNode::State::leave(std::function<void()> left)
{
    isLeaving = true;
    writeEvent("node", { "leaving", settings.ownership.self.host, { { "pools", std::to_string(owners.size()) } } });
    ownership.leave();
    handOver(loop.now() + handOverLimit, std::move(left));
}

/// Owners stop taking calls, end their commits, and give their pools up.
void JobNode::State::handOver(Common::Instant limit, std::function<void()> left)
{
    const bool isIdle = std::ranges::all_of(owners, [](const auto& it) { return it.second->isIdle(); });
    if (!isIdle && loop.now() < limit) {
        loop.after(handOverStep, [self = weak_from_this(), limit, left = std::move(left)] {
            if (const auto it = self.lock())
                it->handOver(limit, left);
        });
        return;
    }
    std::vector<std::string> duties;
    for (const auto& [pool, owner] : owners) {
        if (!owner->isIdle())
            writeEvent("node", { "handed-over-unstored", pool, { { "limitMs", std::to_string(handOverLimit.count()) } } });
        duties.push_back(pool);
    }
    if (fleet)
        duties.push_back(fleetDuty);
    for (const auto& duty : duties) {
        drop(duty);
        ownership.release(duty);
    }
    left();
}

JobNode::JobNode(const JobNodePorts& ports, JobNodeSettings settings)
    : m_state(std::make_shared<State>(ports, std::move(settings)))
{
}

JobNode::~JobNode() = default;

void JobNode::start() { m_state->start(); }

void JobNode::leave(std::function<void()> left) { m_state->leave(std::move(left)); }

void JobNode::abandon()
{
    m_state->isAbandoned = true;
    m_state->logUnanswered();
    m_state->peerCalls.abandon();
}

void JobNode::onJobCall(Ports::JobCall call, Ports::JobReply reply)
{
    m_state->loop.post([state = m_state, call = std::move(call), reply = std::move(reply)]() mutable { state->called(std::move(call), std::move(reply)); });
}

bool JobNode::isReady() const { return m_state->isConfigured && !m_state->isLeaving; }

std::string JobNode::metrics() const { return m_state->metrics->exposition(); }

void JobNode::onFrameReceived(const Ports::HostId& from, std::string frame)
{
    m_state->loop.post([state = m_state, from, frame = std::move(frame)] { state->frame(from, frame); });
}

void JobNode::onPeerDisconnected(const Ports::HostId& host)
{
    m_state->loop.post([state = m_state, host] { state->peerCalls.disconnected(host); });
}

const Ownership& JobNode::ownership() const { return m_state->ownership; }

} // namespace Jobs
