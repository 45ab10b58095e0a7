#pragma once

/// Views of the other data centres, polled from the store.

#include "Common/Time.h"
#include "Decision/Membership/PlatformActions.h"
#include "Decision/Membership/ViewRecord.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Decision {

/// Caches the view of each other data centre; a read that fails leaves the cached view as it was.
class ForeignViews {
public:
    /// Reads the view of each of `dataCentres` but `own` every `refreshInterval`.
    ForeignViews(const std::vector<std::string>& dataCentres, const std::string& own, std::chrono::milliseconds refreshInterval);

    /// Starts the reads that are due; takes their tokens from `nextToken`.
    void tick(Common::Instant now, PlatformToken& nextToken);
    /// True when the reply was to one of these reads; sets `changed` when it brought a later epoch.
    bool handle(const PlatformReplied&, bool& changed);
    /// Takes the epoch in a heartbeat from that data centre; one later than the cached epoch makes a read due at once.
    void onPeerEpoch(Common::Instant now, const std::string& dataCentre, std::uint64_t epoch);

    /// The cached view, with epoch zero until the first read succeeds; null for a data centre that isn't covered.
    const View* find(const std::string& dataCentre) const;
    /// The data centres covered, sorted.
    std::vector<std::string> dataCentres() const;
    /// When the next read is due; nothing while all are in flight.
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
