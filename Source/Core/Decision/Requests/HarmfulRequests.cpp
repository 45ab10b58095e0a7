#include "Decision/Requests/HarmfulRequests.h"

#include <algorithm>

namespace Decision {

namespace {

    constexpr std::size_t maximumEntries = 4096;

} // namespace

HarmfulRequests::HarmfulRequests(unsigned losses, std::chrono::milliseconds retention)
    : m_losses(losses)
    , m_retention(retention)
{
}

void HarmfulRequests::recordLoss(Common::Instant now, std::uint64_t bodyHash, const std::string& upstream)
{
    if (m_entries.size() >= maximumEntries)
        prune(now);
    Entry& entry = m_entries[bodyHash];
    entry.upstreams.insert(upstream);
    entry.last = now;
}

bool HarmfulRequests::isHarmful(Common::Instant now, std::uint64_t bodyHash) const
{
    const auto it = m_entries.find(bodyHash);
    if (it == m_entries.end() || now - it->second.last > m_retention)
        return false;
    return it->second.upstreams.size() >= m_losses;
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
