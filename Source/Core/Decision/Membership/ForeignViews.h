#pragma once

/// Views of the other data centres, read from the store at a slow pace.

#include "Common/Time.h"
#include "Decision/Membership/PlatformActions.h"
#include "Decision/Membership/ViewRecord.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Decision {

/// Keeps the last known view of each other data centre; one that can't be read stays as it was.
class ForeignViews {
public:
    ForeignViews(const std::vector<std::string>& dataCentres, const std::string& own, std::chrono::milliseconds refreshInterval);

    void tick(Common::Instant now, PlatformToken& nextToken);
    /// True when the reply was to one of these reads; `changed` is set when a view changed.
    bool handle(const PlatformReplied&, bool& changed);
    /// A peer there knows of a later epoch.
    void hint(Common::Instant now, const std::string& dataCentre, std::uint64_t epoch);

    const View* find(const std::string& dataCentre) const;
    std::vector<std::string> dataCentres() const;
    std::optional<Common::Instant> nextDeadline() const;
    std::vector<PlatformAction> takeActions();

private:
    struct Entry {
        View view;
        std::optional<PlatformToken> pending;
        Common::Instant nextRead {};
    };

    std::chrono::milliseconds m_refreshInterval;
    std::map<std::string, Entry> m_entries;
    std::vector<PlatformAction> m_actions;
};

} // namespace Decision
