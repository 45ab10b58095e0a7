#include "Decision/Requests/SlotTable.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Decision {

namespace {

    constexpr std::chrono::milliseconds refusalPause { 20 };
    constexpr std::chrono::milliseconds unreachablePause { 250 };
    constexpr std::size_t ejectedShareDivisor = 3; ///< At most a third of a pool's upstreams are ejected at once.

} // namespace

SlotTable::SlotTable(std::string pool, const RequestGuards& guards)
    : m_pool(std::move(pool))
    , m_guards(guards)
{
}

void SlotTable::setUpstreams(const std::vector<PoolUpstream>& upstreams)
{
    for (auto& [name, entry] : m_upstreams)
        entry.listed = false;
    for (const auto& upstream : upstreams) {
        Entry& entry = m_upstreams[upstream.name];
        entry.upstream = upstream;
        entry.listed = true;
    }
    std::erase_if(m_upstreams, [](const auto& item) { return !item.second.listed && item.second.inFlight == 0; });
}

void SlotTable::setPeerUse(Instant now, const HostId& peer, const std::vector<Messages::UpstreamUse>& uses, std::chrono::milliseconds retention)
{
    for (auto& [name, entry] : m_upstreams)
        entry.peerUse.erase(peer);
    for (const auto& use : uses) {
        const auto it = m_upstreams.find(use.upstream);
        if (it != m_upstreams.end() && use.inFlight > 0)
            it->second.peerUse[peer] = PeerUse { use.inFlight, now + retention, std::chrono::microseconds(0) };
    }
}

void SlotTable::releasePeerSlots(Instant now, const HostId& peer, std::chrono::microseconds runTime)
{
    for (auto& [name, entry] : m_upstreams) {
        const auto it = entry.peerUse.find(peer);
        if (it == entry.peerUse.end() || it->second.decay.count() > 0)
            continue;
        it->second.until = std::min(it->second.until, now + runTime);
        it->second.decay = runTime;
    }
}

unsigned SlotTable::remainingSlots(const PeerUse& peerUse, Instant now)
{
    if (now >= peerUse.until)
        return 0;
    if (peerUse.decay.count() == 0)
        return peerUse.slots;
    const auto left = std::min(peerUse.decay, peerUse.until - now);
    return static_cast<unsigned>((peerUse.slots * left.count() + peerUse.decay.count() - 1) / peerUse.decay.count());
}

unsigned SlotTable::peerSlots(const Entry& entry, Instant now) const
{
    if (!m_guards.peerUseCounted)
        return 0;
    unsigned slots = 0;
    for (const auto& [peer, peerUse] : entry.peerUse)
        slots += remainingSlots(peerUse, now);
    return slots;
}

unsigned SlotTable::freeSlots(const Entry& entry, Instant now) const
{
    // Fast path: in a busy pool most upstreams are full, and the checks below could only lower the limit further.
    if (!entry.listed || entry.inFlight >= std::max(1u, entry.upstream.slots) || now < entry.pausedUntil)
        return 0;
    unsigned limit = entry.upstream.slots;
    const auto state = entry.health.state(now);
    if (state == UpstreamHealth::State::Ejected)
        return 0;
    if (state == UpstreamHealth::State::Probing)
        limit = 1;
    const unsigned used = entry.inFlight + peerSlots(entry, now);
    return used >= limit ? 0 : limit - used;
}

const PoolUpstream* SlotTable::acquire(Instant now, const MayDispatch& mayDispatch, const std::vector<std::string>& avoid, bool mayProbe)
{
    Entry* best = nullptr;
    std::tuple<bool, bool, unsigned> bestScore;
    for (auto& [name, entry] : m_upstreams) {
        const unsigned spare = freeSlots(entry, now);
        if (spare == 0 || !mayDispatch(name, m_pool, now))
            continue;
        const bool untried = std::find(avoid.begin(), avoid.end(), name) == avoid.end();
        const bool probing = entry.health.state(now) == UpstreamHealth::State::Probing;
        const std::tuple score { untried, probing == mayProbe, spare };
        if (best && score <= bestScore)
            continue;
        best = &entry;
        bestScore = score;
    }
    if (!best)
        return nullptr;
    ++best->inFlight;
    ++m_busy;
    return &best->upstream;
}

void SlotTable::release(const std::string& upstream)
{
    const auto it = m_upstreams.find(upstream);
    if (it == m_upstreams.end() || it->second.inFlight == 0)
        return;
    --it->second.inFlight;
    --m_busy;
    if (!it->second.listed && it->second.inFlight == 0)
        m_upstreams.erase(it);
}

void SlotTable::recordUnreachable(Instant now, const std::string& upstream)
{
    recordFailure(now, upstream);
    const auto it = m_upstreams.find(upstream);
    if (it != m_upstreams.end())
        it->second.pausedUntil = now + unreachablePause;
}

void SlotTable::recordRefusal(Instant now, const std::string& upstream)
{
    const auto it = m_upstreams.find(upstream);
    if (it != m_upstreams.end())
        it->second.pausedUntil = now + refusalPause;
}

void SlotTable::recordSuccess(const std::string& upstream)
{
    const auto it = m_upstreams.find(upstream);
    if (it != m_upstreams.end())
        it->second.health.recordSuccess();
}

void SlotTable::recordFailure(Instant now, const std::string& upstream)
{
    const auto it = m_upstreams.find(upstream);
    if (it == m_upstreams.end())
        return;
    auto& health = it->second.health;
    health.recordFailure(now, health.state(now) == UpstreamHealth::State::Probing && mostFailLike(now, it->second));
    if (m_guards.ejectionEnabled)
        considerEjection(now, it->second);
}

/// When most of the pool fails alike, the requests or another common cause are at fault and ejecting an upstream wouldn't help.
bool SlotTable::mostFailLike(Instant now, const Entry& entry) const
{
    const auto alike = std::ranges::count_if(m_upstreams, [&](const auto& item) {
        const auto& health = item.second.health;
        return &item.second != &entry && health.state(now) == UpstreamHealth::State::Healthy && health.failureShare() >= entry.health.failureShare() / 2;
    });
    return static_cast<std::size_t>(alike) * 2 > m_upstreams.size();
}

void SlotTable::considerEjection(Instant now, Entry& entry)
{
    if (!entry.health.shouldEject())
        return;
    if (mostFailLike(now, entry))
        return;
    const auto ejected = static_cast<std::size_t>(std::ranges::count_if(m_upstreams, [&](const auto& item) { return item.second.health.state(now) != UpstreamHealth::State::Healthy; }));
    const std::size_t allowed = std::max<std::size_t>(1, m_upstreams.size() / ejectedShareDivisor);
    if (ejected < allowed && m_upstreams.size() > 1)
        entry.health.eject(now);
}

unsigned SlotTable::usableSlots(Instant now, const MayDispatch& mayDispatch) const
{
    unsigned slots = 0;
    for (const auto& [name, entry] : m_upstreams) {
        if (!entry.listed || entry.health.state(now) == UpstreamHealth::State::Ejected)
            continue;
        if (mayDispatch(name, m_pool, now))
            slots += entry.upstream.slots;
    }
    return slots;
}

bool SlotTable::hasFreeSlot(Instant now, const MayDispatch& mayDispatch) const
{
    return std::any_of(m_upstreams.begin(), m_upstreams.end(), [&](const auto& item) {
        return freeSlots(item.second, now) > 0 && mayDispatch(item.first, m_pool, now);
    });
}

std::string SlotTable::addressOf(const std::string& upstream) const
{
    const auto it = m_upstreams.find(upstream);
    return it == m_upstreams.end() ? std::string() : it->second.upstream.address;
}

unsigned SlotTable::busyOn(const std::string& upstream) const
{
    const auto it = m_upstreams.find(upstream);
    return it == m_upstreams.end() ? 0 : it->second.inFlight;
}

std::vector<Messages::UpstreamUse> SlotTable::uses() const
{
    std::vector<Messages::UpstreamUse> uses;
    for (const auto& [name, entry] : m_upstreams) {
        if (entry.inFlight > 0)
            uses.push_back({ name, entry.inFlight });
    }
    return uses;
}

} // namespace Decision
