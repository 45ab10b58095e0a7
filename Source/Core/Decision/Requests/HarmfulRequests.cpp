#include "Decision/Requests/HarmfulRequests.h"

#include <algorithm>

namespace Decision {

namespace {

    constexpr std::size_t maximumEntries = 4096;
    constexpr std::chrono::milliseconds burstLength { 200 }; ///< Connections to upstreams that are lost by one cause end within this time.

} // namespace

HarmfulRequests::HarmfulRequests(unsigned losses, std::chrono::milliseconds retention)
    : m_losses(losses)
    , m_retention(retention)
{
}

void HarmfulRequests::recordLoss(Common::Instant now, Common::Instant started, std::uint64_t bodyHash, const std::string& upstream)
{
    if (!m_burst || now - m_burst->beganAt > burstLength)
        m_burst = std::make_shared<Burst>(Burst { now, {} });
    m_burst->upstreams.insert(upstream);
    if (m_entries.size() >= maximumEntries)
        prune(now);
    Entry& entry = m_entries[bodyHash];
    std::erase_if(entry.losses, [&](const Loss& it) { return it.upstream == upstream; });
    entry.losses.push_back({ upstream, started, now, m_burst });
    entry.last = now;
}

unsigned HarmfulRequests::weigh(const Entry& entry)
{
    unsigned count = 0;
    const Loss* counted = nullptr;
    for (const auto& loss : entry.losses) {
        // An attempt that was dispatched after the loss counted before is evidence of its own.
        const bool isSimultaneous = counted && counted->burst == loss.burst && loss.started < counted->at;
        const auto isOfBurst = [&](const Loss& it) { return it.burst == loss.burst; };
        if (isSimultaneous && static_cast<std::size_t>(std::ranges::count_if(entry.losses, isOfBurst)) < loss.burst->upstreams.size())
            continue;
        ++count;
        counted = &loss;
    }
    return count;
}

bool HarmfulRequests::isHarmful(Common::Instant now, std::uint64_t bodyHash) const
{
    const auto it = m_entries.find(bodyHash);
    if (it == m_entries.end() || now - it->second.last > m_retention)
        return false;
    return weigh(it->second) >= m_losses;
}

void HarmfulRequests::prune(Common::Instant now)
{
    std::erase_if(m_entries, [&](const auto& item) { return now - item.second.last > m_retention; });
    if (m_entries.size() < maximumEntries)
        return;
    const auto oldest = std::min_element(m_entries.begin(), m_entries.end(), [](const auto& a, const auto& b) { return a.second.last < b.second.last; });
    m_entries.erase(oldest);
}

} // namespace Decision
