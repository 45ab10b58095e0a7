#include "Decision/Membership/ForeignViews.h"

#include <algorithm>
#include <utility>

namespace Decision {

ForeignViews::ForeignViews(const std::vector<std::string>& dataCentres, const std::string& own, std::chrono::milliseconds refreshInterval)
    : m_refreshInterval(refreshInterval)
{
    for (const auto& name : dataCentres) {
        if (name != own)
            m_entries.try_emplace(name);
    }
}

void ForeignViews::tick(Common::Instant now, PlatformToken& nextToken)
{
    for (auto& [name, entry] : m_entries) {
        if (entry.pending || now < entry.nextRead)
            continue;
        entry.pending = nextToken++;
        entry.nextRead = now + m_refreshInterval;
        m_actions.push_back(PlatformRead { *entry.pending, viewKey(name), false });
    }
}

bool ForeignViews::handle(const PlatformReplied& event, bool& changed)
{
    const auto it = std::find_if(m_entries.begin(), m_entries.end(), [&](const auto& item) { return item.second.pending == event.token; });
    if (it == m_entries.end())
        return false;
    Entry& entry = it->second;
    entry.pending.reset();
    if (event.reply.status != Ports::PlatformStatus::Ok || event.reply.values.empty())
        return true;
    const auto view = decodeView(event.reply.values.front().value);
    if (!view || view->epoch <= entry.view.epoch)
        return true;
    entry.view = *view;
    changed = true;
    return true;
}

void ForeignViews::onPeerEpoch(Common::Instant now, const std::string& dataCentre, std::uint64_t epoch)
{
    const auto it = m_entries.find(dataCentre);
    if (it != m_entries.end() && epoch > it->second.view.epoch)
        it->second.nextRead = std::min(it->second.nextRead, now);
}

const View* ForeignViews::find(const std::string& dataCentre) const
{
    const auto it = m_entries.find(dataCentre);
    return it == m_entries.end() ? nullptr : &it->second.view;
}

std::vector<std::string> ForeignViews::dataCentres() const
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : m_entries)
        names.push_back(name);
    return names;
}

std::optional<Common::Instant> ForeignViews::nextDeadline() const
{
    std::optional<Common::Instant> first;
    for (const auto& [name, entry] : m_entries) {
        if (!entry.pending && (!first || entry.nextRead < *first))
            first = entry.nextRead;
    }
    return first;
}

std::vector<PlatformAction> ForeignViews::takeActions()
{
    return std::exchange(m_actions, {});
}

} // namespace Decision
