#pragma once

/// Queue of a pool: priority first, teams fair within a priority by weight, teams held to quotas.

#include "Decision/Requests/RequestTypes.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

namespace Decision {

/// What a team pays for, as the queue needs it.
struct TeamShare {
    unsigned weight = 1;
    unsigned slotQuota = 0; ///< Slots at once in this pool; zero for no limit.
};

/// Orders waiting requests. Within a priority, the team with the smallest served time by weight goes next
/// (start-time fair queueing); within a team, the oldest. A team that has its quota of slots is passed over.
class FairQueue {
public:
    using Cost = std::chrono::microseconds; ///< Expected run time.

    explicit FairQueue(bool priorityOrdered = true);
    FairQueue(const FairQueue&) = delete; // Its entries point into it.
    FairQueue& operator=(const FairQueue&) = delete;

    /// Adds a request. `cost` is charged to the team when it is popped.
    void push(RequestNumber, const std::string& team, unsigned rank, Cost cost, TeamShare);

    /// Takes a request out wherever it stands; false when it isn't queued.
    bool remove(RequestNumber);

    /// The next request that may start, taken out; nothing when none is waiting or every waiting team has its quota.
    std::optional<RequestNumber> pop();

    /// Newest request of the lowest priority, if that is lower than `rank`.
    std::optional<RequestNumber> victimFor(unsigned rank) const;

    /// The team got a slot, or gave one back.
    void slotTaken(const std::string& team);
    void slotFreed(const std::string& team);
    unsigned slotsOf(const std::string& team) const;

    /// True while the team has less than its quota of slots.
    bool mayStart(const std::string& team, const TeamShare&) const;

    std::size_t size() const { return m_entries.size(); }

    /// Run time that is expected to be served before a new request of the team at this rank.
    Cost costAhead(const std::string& team, unsigned rank, TeamShare) const;

    /// Run time queued by the team, over all ranks.
    Cost costOf(const std::string& team) const;

private:
    struct TeamLine {
        std::map<RequestNumber, Cost> waiting; ///< Numbers grow with arrival.
        Cost queued { 0 };
        double served = 0; ///< Virtual time, microseconds by weight.
        TeamShare share;
    };

    using TeamLines = std::unordered_map<std::string, TeamLine>;

    /// The team served least goes first; the name settles ties.
    struct ServedLess {
        bool operator()(const TeamLines::value_type* left, const TeamLines::value_type* right) const
        {
            return std::tie(left->second.served, left->first) < std::tie(right->second.served, right->first);
        }
    };

    /// Teams with waiting requests, the one that is to be served next first. A team's served time only changes while
    /// the team is out of the set.
    using ServiceOrder = std::set<TeamLines::value_type*, ServedLess>;

    struct Rank {
        TeamLines teams;
        ServiceOrder order;
        unsigned waitingWeight = 0; ///< Of the teams with waiting requests.
        Cost queued { 0 };
        double virtualTime = 0;
        std::size_t waiting = 0;
    };

    /// Where a request waits. Its rank and its team's line stay as long as it does.
    struct Entry {
        Rank* rank = nullptr;
        TeamLines::value_type* team = nullptr;
    };

    std::optional<RequestNumber> popFrom(Rank&);
    static void enterOrder(Rank&, TeamLines::value_type&);
    static void leaveOrder(Rank&, TeamLines::value_type&);
    void forget(RequestNumber, Rank&, TeamLines::value_type&);

    bool m_priorityOrdered;
    std::map<unsigned, Rank> m_ranks;
    std::unordered_map<RequestNumber, Entry> m_entries;
    std::unordered_map<std::string, unsigned> m_slots;
};

} // namespace Decision
