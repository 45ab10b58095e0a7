#include "Waves/FakeFleet.h"

#include "Decision/Waves/BudgetRecord.h"

#include <algorithm>

namespace Fakes {

using namespace Decision;
using namespace std::chrono_literals;
using Common::Instant;

namespace {

    constexpr auto rebootTime = 120s;
    constexpr std::int64_t maximumDecisionDelayMs = 1500;
    constexpr std::int64_t maximumDrainMs = 8000;

    const char* phaseName(ReservationPhase phase)
    {
        constexpr const char* names[] = { "draining", "rebooting", "returning", "moving" };
        return names[static_cast<int>(phase)];
    }

} // namespace

FakeFleet::FakeFleet(const FakeStore& store, std::string dataCentre, std::uint64_t seed)
    : m_store(store)
    , m_dataCentre(std::move(dataCentre))
    , m_random(seed)
{
}

void FakeFleet::addPool(const std::string& pool, unsigned hosts, unsigned racks)
{
    for (unsigned i = 0; i < hosts; ++i) {
        FakeHost host;
        host.view.name = pool + "-" + std::to_string(i);
        host.view.pool = host.view.homePool = pool;
        host.view.rack = "rack-" + std::to_string(m_nextRack++ % racks);
        host.view.health = HostHealth::Up;
        host.view.incarnation = 1;
        host.view.serving = true;
        m_hosts.push_back(std::move(host));
    }
}

FakeHost* FakeFleet::find(const std::string& name)
{
    const auto it = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const FakeHost& host) { return host.view.name == name; });
    return it == m_hosts.end() ? nullptr : &*it;
}

void FakeFleet::execute(const WaveDecision& decision, Instant now)
{
    const auto delay = std::uniform_int_distribution<std::int64_t>(50, maximumDecisionDelayMs)(m_random);
    m_decisions.emplace(now + std::chrono::milliseconds(delay), decision);
}

bool FakeFleet::holdsReservation(const std::string& host, const std::string& phase) const
{
    for (const auto& pair : m_store.values(budgetPrefix(m_dataCentre))) {
        const auto record = decodeBudgetRecord(pair.value);
        for (const auto& it : record.value().reserved) {
            if (it.upstream == host && phaseName(it.phase) == phase)
                return true;
        }
    }
    return false;
}

void FakeFleet::drain(const DrainHost& decision, Instant now)
{
    auto& host = *find(decision.upstream);
    if (!host.view.serving || (m_checksReservation && !holdsReservation(decision.upstream, "draining")))
        return;
    host.view.serving = false;
    host.idleAt = now + std::chrono::milliseconds(std::uniform_int_distribution<std::int64_t>(500, maximumDrainMs)(m_random));
    m_drains.push_back({ host.view.pool, now });
}

void FakeFleet::reboot(const RebootHost& decision, Instant now)
{
    auto& host = *find(decision.upstream);
    if (host.view.incarnation != decision.incarnation || (m_checksReservation && !holdsReservation(decision.upstream, "rebooting")))
        return;
    if (!host.up)
        return;
    ++host.reboots;
    host.up = false;
    host.upAt = now + rebootTime;
}

void FakeFleet::returnToService(const ReturnHost& decision)
{
    auto& host = *find(decision.upstream);
    if (m_checksReservation && !holdsReservation(decision.upstream, "returning"))
        return;
    host.view.serving = host.up;
    host.view.knownIdle = false;
}

void FakeFleet::advance(Instant now)
{
    while (!m_decisions.empty() && m_decisions.begin()->first <= now) {
        const auto decision = m_decisions.begin()->second;
        m_decisions.erase(m_decisions.begin());
        if (const auto* it = std::get_if<DrainHost>(&decision))
            drain(*it, now);
        if (const auto* it = std::get_if<RebootHost>(&decision))
            reboot(*it, now);
        if (const auto* it = std::get_if<ReturnHost>(&decision))
            returnToService(*it);
    }
    for (auto& host : m_hosts) {
        if (!host.up && now >= host.upAt) {
            host.up = true;
            ++host.view.incarnation;
        }
        if (!host.view.serving && now >= host.idleAt)
            host.view.knownIdle = true;
    }
}

void FakeFleet::fail(const std::string& name, Instant until)
{
    auto& host = *find(name);
    host.up = false;
    host.upAt = std::max(host.upAt, until);
}

void FakeFleet::failRack(const std::string& rack, Instant until)
{
    for (const auto& host : m_hosts) {
        if (host.view.rack == rack)
            fail(host.view.name, until);
    }
}

FleetView FakeFleet::view()
{
    FleetView view;
    for (auto& host : m_hosts) {
        const bool unknown = std::uniform_real_distribution<double>(0, 1)(m_random) < m_unknownShare;
        host.view.health = host.up ? HostHealth::Up : HostHealth::Down;
        view.hosts.push_back(host.view);
        if (unknown)
            view.hosts.back().health = HostHealth::Unknown;
    }
    // Planners must not depend on the order of the hosts.
    std::shuffle(view.hosts.begin(), view.hosts.end(), m_random);
    return view;
}

unsigned FakeFleet::available(const std::string& pool) const
{
    return static_cast<unsigned>(std::count_if(m_hosts.begin(), m_hosts.end(), [&](const FakeHost& host) { return host.view.pool == pool && host.up && host.view.serving; }));
}

unsigned FakeFleet::availableAfterWorstRack(const std::string& pool) const
{
    std::map<std::string, unsigned> byRack;
    for (const auto& host : m_hosts)
        byRack[host.view.rack] += host.view.pool == pool && host.up && host.view.serving;
    unsigned worst = 0;
    for (const auto& [rack, hosts] : byRack)
        worst = std::max(worst, hosts);
    return available(pool) - worst;
}

unsigned FakeFleet::published(const std::string& pool) const
{
    return static_cast<unsigned>(std::count_if(m_hosts.begin(), m_hosts.end(), [&](const FakeHost& host) { return host.view.homePool == pool; }));
}

} // namespace Fakes
