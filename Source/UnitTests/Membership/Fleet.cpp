#include "Membership/Fleet.h"

#include <algorithm>

namespace Testing {

using namespace Decision;

namespace {

    const std::string dataCentreName = "imlil";
    const std::string dutyOutputKey = "/work";

    std::string hostName(std::size_t index)
    {
        return "host-" + std::to_string(index);
    }

} // namespace

Fleet::Fleet(std::uint64_t seed, MembershipGuards guards, DutyGuards dutyGuards, std::size_t size)
    : simulation(seed)
    , store(simulation)
    , hosts(size)
    , m_guards(guards)
    , m_dutyGuards(dutyGuards)
{
    store.onChange = [this](const std::string& key, const std::string* value) { onStoreChange(key, value); };
    for (std::size_t i = 0; i < size; ++i)
        startHost(i);
}

void Fleet::startHost(std::size_t index)
{
    MembershipSettings settings;
    settings.self = hostName(index);
    settings.dataCentre = dataCentreName;
    settings.dataCentres = { dataCentreName };
    settings.peerAddress = "127.0.0.1:" + std::to_string(9000 + index);
    settings.incarnation = simulation.incarnation();
    const auto send = [this](const std::string& from, const PeerSend& message) { this->send(from, message); };
    if (hosts[index])
        replacedHosts.push_back(hosts[index]);
    hosts[index] = std::make_shared<MemberHost>(simulation, store, settings, m_guards, m_dutyGuards, send);
    hosts[index]->start();
}

void Fleet::send(const std::string& from, const PeerSend& message)
{
    const auto* beat = std::get_if<Messages::Heartbeat>(&message.message);
    if (!beat)
        return;
    for (const auto& host : hosts) {
        if (host->name == message.to)
            simulation.after(simulation.between(milliseconds(1), milliseconds(5)), [host, from, beat = *beat] { host->deliverHeartbeat(from, beat); });
    }
}

void Fleet::onStoreChange(const std::string& key, const std::string* value)
{
    if (key == viewKey(dataCentreName) && value)
        onViewChange(*decodeView(*value));
    if (key != dutyOutputKey || !value)
        return;
    const auto fence = std::stoull(*value);
    if (fence < m_lastFence)
        violations.insert(Violation::StaleDutyWrite);
    m_lastFence = std::max<std::uint64_t>(m_lastFence, fence);
}

void Fleet::onViewChange(const View& view)
{
    if (view.epoch != m_lastView.epoch + 1)
        violations.insert(Violation::LostViewChange);
    std::set<std::string> names;
    for (const auto& member : view.members) {
        if (!names.insert(member.host).second)
            violations.insert(Violation::TwoIncarnationsInView);
        if (m_replacedIncarnations.count(member.incarnation))
            violations.insert(Violation::ReplacedIncarnationRejoined);
    }
    for (const auto& member : m_lastView.members) {
        const auto* now = view.find(member.host);
        if (now && now->incarnation != member.incarnation)
            m_replacedIncarnations.insert(member.incarnation);
        if (!now && store.find(memberKey(dataCentreName, member.host)))
            violations.insert(Violation::RemovedWhileLeased);
    }
    m_lastView = view;
}

void Fleet::injectFault()
{
    const auto index = simulation.below(hosts.size());
    const auto length = simulation.between(milliseconds(500), milliseconds(15000));
    switch (simulation.below(6)) {
    case 0:
        store.faults.down = true;
        simulation.after(length, [this] { store.faults.down = false; });
        break;
    case 1:
        store.faults.longestDelay = simulation.between(milliseconds(100), milliseconds(6000));
        simulation.after(length, [this] { store.faults.longestDelay = milliseconds(5); });
        break;
    case 2:
        store.disconnectedHosts.insert(hosts[index]->name);
        simulation.after(length, [this, index] { store.disconnectedHosts.erase(hosts[index]->name); });
        break;
    case 3:
        hosts[index]->pause();
        simulation.after(length, [host = hosts[index]] { host->resume(); });
        break;
    default:
        injectRestart(index);
    }
}

/// Starts a new process under the same name. The old one is killed, paused and resumed later, or keeps running.
void Fleet::injectRestart(std::size_t index)
{
    const auto old = hosts[index];
    if (simulation.chance(50)) {
        old->kill();
    } else if (simulation.chance(50)) {
        old->pause();
        simulation.after(simulation.between(milliseconds(500), milliseconds(20000)), [old] { old->resume(); });
    }
    startHost(index);
}

void Fleet::runFaults(seconds length)
{
    store.faults.lostAnswerPercent = 5;
    store.faults.lateEffectPercent = 5;
    const auto end = simulation.now() + length;
    while (simulation.now() < end && !isStopped()) {
        runFor(simulation.between(milliseconds(200), milliseconds(5000)));
        injectFault();
    }
    runFor(seconds(20));
    store.faults = {};
    store.disconnectedHosts.clear();
    for (const auto& host : hosts)
        host->resume();
    runFor(seconds(60));
}

void Fleet::runFor(milliseconds length)
{
    constexpr milliseconds checkInterval { 100 };
    for (milliseconds passed { 0 }; passed < length && !isStopped(); passed += checkInterval) {
        simulation.runFor(checkInterval);
        check();
        writeAsDutyHolders();
    }
}

void Fleet::check()
{
    std::size_t holders = 0;
    for (const auto* group : { &hosts, &replacedHosts }) {
        for (const auto& host : *group) {
            if (!host->isRunning())
                continue;
            checkHost(*host);
            holders += host->duty->holds(simulation.now()) ? 1 : 0;
        }
    }
    if (holders > 1)
        violations.insert(Violation::TwoDutyHolders);
}

void Fleet::checkHost(const MemberHost& host)
{
    auto& epoch = m_lastEpochs[host.incarnation];
    if (host.membership->epoch() < epoch)
        violations.insert(Violation::EpochDecreased);
    epoch = host.membership->epoch();
    if (!host.membership->leaseValid(simulation.now()))
        return;
    const auto* item = store.find(memberKey(dataCentreName, host.name));
    const auto record = item ? decodeMember(item->value) : std::nullopt;
    if (!record || record->incarnation != host.incarnation)
        violations.insert(Violation::LeaseUsedAfterExpiry);
}

/// Duty holders write now and then. Some writes reach the store long after they were decided, as from a paused process.
void Fleet::writeAsDutyHolders()
{
    for (const auto* group : { &hosts, &replacedHosts }) {
        for (const auto& host : *group) {
            if (!host->isRunning() || !host->duty->holds(simulation.now()) || !simulation.chance(20))
                continue;
            Ports::Transaction transaction;
            transaction.puts.push_back({ dutyOutputKey, std::to_string(host->duty->fence()), 0 });
            const PlatformTransact call { 0, host->duty->fencedTransaction(std::move(transaction)) };
            const auto delay = simulation.chance(10) ? simulation.between(milliseconds(0), milliseconds(30000)) : milliseconds(0);
            simulation.after(delay, [this, call, name = host->name] { store.call(name, call, [](const PlatformReplied&) {}); });
        }
    }
}

void Fleet::checkConverged()
{
    const auto* item = store.find(viewKey(dataCentreName));
    const auto view = item ? decodeView(item->value) : std::nullopt;
    if (!view || view->members.size() != hosts.size())
        violations.insert(Violation::NotConverged);
    if (!view)
        return;
    for (const auto& host : hosts) {
        // Of two running processes of one name the one that joined later stays. It may be either, but one of them must.
        const auto* member = view->find(host->name);
        const bool isLatest = member && member->incarnation == host->incarnation;
        const bool agrees = host->membership->currentView() == *view && host->membership->leaseValid(simulation.now());
        if (!member || (isLatest && !agrees))
            violations.insert(Violation::NotConverged);
    }
}

} // namespace Testing
