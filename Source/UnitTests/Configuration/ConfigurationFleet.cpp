#include "Configuration/ConfigurationFleet.h"

#include <algorithm>

namespace Testing {

using namespace Decision;

namespace {

    constexpr std::size_t hostsPerDataCentre = 3;

} // namespace

std::vector<std::string> FakeValidator::faults(const std::string& document) const
{
    if (document.starts_with("bad"))
        return { "the document is bad" };
    return {};
}

ConfigurationFleet::ConfigurationFleet(std::uint64_t seed, ConfigurationGuards guards)
    : simulation(seed)
    , store(simulation)
    , hosts(2 * hostsPerDataCentre)
    , m_guards(guards)
{
    store.onChange = [this](const std::string& key, const std::string* value) {
        if (key != headKey || !value)
            return;
        const auto head = decodeHead(*value);
        m_acceptedRevisions[head->changeId] = head->revision;
        const auto [it, isNew] = m_changeByRevision.try_emplace(head->revision, head->changeId);
        if (!isNew && it->second != head->changeId)
            violations.insert(ConfigurationViolation::TwoChangesAtOneRevision);
    };
    for (std::size_t i = 0; i < hosts.size(); ++i)
        restart(i);
}

void ConfigurationFleet::restart(std::size_t index)
{
    if (hosts[index])
        hosts[index]->running = false;
    auto host = std::make_shared<Host>();
    host->dataCentre = index < hostsPerDataCentre ? "vasteras" : "enkoping";
    host->name = host->dataCentre + "-" + std::to_string(index);
    host->incarnation = simulation.incarnation();
    KeeperSettings settings;
    settings.self = host->name;
    settings.dataCentre = host->dataCentre;
    settings.incarnation = host->incarnation;
    host->keeper = ConfigurationKeeper::create(settings, m_validator, m_guards.keeper).take();
    host->publisher = ConfigurationPublisher::create({}, m_validator, m_guards.publisher).take();
    hosts[index] = host;
}

void ConfigurationFleet::publish(std::size_t index, const std::string& changeId, std::uint64_t base, const std::string& document)
{
    PublishRequest request;
    request.changeId = changeId;
    request.baseRevision = base;
    request.document = document;
    request.author = "operator";
    results.erase(changeId);
    hosts[index]->publisher->publish(simulation.now(), request);
    pump(hosts[index]);
}

void ConfigurationFleet::pump(const std::shared_ptr<Host>& host)
{
    for (const auto& action : host->keeper->takeActions()) {
        if (const auto* message = std::get_if<PeerSend>(&action))
            deliver(host->name, *message);
        else
            run(host, std::get<PlatformAction>(action), true);
    }
    for (const auto& action : host->publisher->takeActions())
        run(host, action, false);
    for (const auto& result : host->publisher->takeResults())
        onResult(result);
    host->publisher->setInForce(host->keeper->inForce());
}

void ConfigurationFleet::run(const std::shared_ptr<Host>& host, const PlatformAction& action, bool forKeeper)
{
    const auto replied = [this, host, forKeeper](const PlatformReplied& event) {
        if (!host->running)
            return;
        if (forKeeper)
            host->keeper->handle(simulation.now(), event);
        else
            host->publisher->handle(simulation.now(), event);
        pump(host);
    };
    const auto watched = [this, host](const PlatformWatched& event) {
        if (!host->running)
            return;
        host->keeper->handle(simulation.now(), event);
        pump(host);
    };
    store.call(host->name, action, replied, watched);
}

void ConfigurationFleet::deliver(const std::string& from, const PeerSend& peerSend)
{
    for (const auto& host : hosts) {
        if (host->name != peerSend.to)
            continue;
        simulation.after(simulation.between(milliseconds(1), milliseconds(5)), [this, host, from, message = peerSend.message] {
            const auto now = simulation.now();
            if (!host->running)
                return;
            if (const auto* beat = std::get_if<Messages::Heartbeat>(&message))
                host->keeper->handle(now, HeartbeatReceived { from, *beat });
            else if (const auto* request = std::get_if<Messages::ConfigurationRequest>(&message))
                host->keeper->handle(now, ConfigurationRequested { from, *request });
            else if (const auto* offer = std::get_if<Messages::ConfigurationOffer>(&message))
                host->keeper->handle(now, ConfigurationOffered { from, *offer });
            pump(host);
        });
    }
}

void ConfigurationFleet::sendHeartbeats()
{
    m_nextHeartbeat = simulation.now() + milliseconds(500);
    for (const auto& host : hosts) {
        Messages::Heartbeat beat;
        beat.incarnation = host->incarnation;
        beat.dataCentre = host->dataCentre;
        beat.configurationRevision = host->keeper->revision();
        for (const auto& other : hosts) {
            const bool isLink = host == hosts[0] || host == hosts[hostsPerDataCentre];
            if (other != host && (other->dataCentre == host->dataCentre || isLink))
                deliver(host->name, { other->name, beat });
        }
    }
}

void ConfigurationFleet::runFor(milliseconds length)
{
    constexpr milliseconds step { 50 };
    for (milliseconds passed { 0 }; passed < length; passed += step) {
        simulation.runFor(step);
        if (simulation.now() >= m_nextHeartbeat)
            sendHeartbeats();
        for (const auto& host : hosts) {
            std::vector<std::string> alive;
            for (const auto& other : hosts) {
                if (other->dataCentre == host->dataCentre && !store.disconnectedHosts.count(other->name))
                    alive.push_back(other->name);
            }
            host->keeper->tick(simulation.now(), alive);
            host->publisher->tick(simulation.now());
            pump(host);
        }
        check();
    }
}

void ConfigurationFleet::check()
{
    for (const auto& host : hosts) {
        const auto revision = host->keeper->revision();
        if (revision < host->lastRevision)
            violations.insert(ConfigurationViolation::RevisionDecreased);
        host->lastRevision = revision;
    }
}

void ConfigurationFleet::onResult(const PublishResult& result)
{
    results[result.changeId] = result;
    const auto it = m_acceptedRevisions.find(result.changeId);
    acceptedCount += result.status == PublishStatus::Accepted ? 1 : 0;
    conflictCount += result.status == PublishStatus::Conflict ? 1 : 0;
    if (result.status == PublishStatus::Accepted && (it == m_acceptedRevisions.end() || it->second != result.revision))
        violations.insert(ConfigurationViolation::AcceptedIsNotInStore);
    if (result.status == PublishStatus::Conflict && it != m_acceptedRevisions.end())
        violations.insert(ConfigurationViolation::ConflictForAcceptedChange);
}

/// An operator publishes a change on the revision of a host, and retries it through another host until it is accepted or in conflict.
void ConfigurationFleet::runOperator(std::size_t index)
{
    auto& state = m_operators[index];
    const auto viaHost = simulation.below(hosts.size());
    const auto result = results.find(state.changeId);
    if (result != results.end() && (result->second.status == PublishStatus::Accepted || result->second.status == PublishStatus::Conflict))
        state.changeId.clear();
    if (state.changeId.empty()) {
        state.changeId = "change-" + std::to_string(m_nextChange++);
        state.base = hosts[viaHost]->keeper->revision();
    }
    publish(viaHost, state.changeId, state.base, "document of " + state.changeId);
}

void ConfigurationFleet::injectFault()
{
    const auto length = simulation.between(milliseconds(500), milliseconds(8000));
    const auto index = simulation.below(hosts.size());
    switch (simulation.below(4)) {
    case 0:
        store.faults.down = true;
        simulation.after(length, [this] { store.faults.down = false; });
        break;
    case 1:
        store.faults.longestDelay = simulation.between(milliseconds(50), milliseconds(2000));
        simulation.after(length, [this] { store.faults.longestDelay = milliseconds(5); });
        break;
    case 2:
        store.disconnectedHosts.insert(hosts[index]->name);
        simulation.after(length, [this, name = hosts[index]->name] { store.disconnectedHosts.erase(name); });
        break;
    default:
        restart(index);
    }
}

void ConfigurationFleet::runFaults(seconds length)
{
    store.faults.lostAnswerPercent = 15;
    store.faults.lateEffectPercent = 10;
    const auto end = simulation.now() + length;
    while (simulation.now() < end) {
        runFor(simulation.between(milliseconds(100), milliseconds(2000)));
        runOperator(0);
        if (simulation.chance(70))
            runOperator(1);
        if (simulation.chance(30))
            injectFault();
    }
    runFor(seconds(25));
    store.faults = {};
    store.disconnectedHosts.clear();
    runFor(seconds(20));
    const auto* item = store.find(headKey);
    if (!allAt(item ? decodeHead(item->value)->revision : 0))
        violations.insert(ConfigurationViolation::NotInForceEverywhere);
}

bool ConfigurationFleet::allAt(std::uint64_t revision) const
{
    return std::all_of(hosts.begin(), hosts.end(), [&](const auto& host) { return host->keeper->revision() == revision; });
}

} // namespace Testing
