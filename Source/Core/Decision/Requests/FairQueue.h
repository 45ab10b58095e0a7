#pragma once

/// Request queue of a pool: strict priorities, weighted fair queueing between the teams of a priority, slot quotas.

#include "Decision/Requests/RequestTypes.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>

namespace Decision {

/// Entitlement of a team.
struct TeamShare {
    unsigned weight = 1; ///< Relative to the other teams of the priority.
    unsigned slotQuota = 0; ///< Maximum concurrent slots in this pool; zero for no limit.
};

/// Orders queued requests. Within a priority, the team with the least served time divided by weight goes next
/// (start-time fair queueing); within a team, the oldest request. Teams that have reached their slot quota are skipped.
class FairQueue {
public:
    using Cost = std::chrono::microseconds; ///< Expected run time.

    /// Without `priorityOrdered` the queue is a plain FIFO for all teams and ranks.
    explicit FairQueue(bool priorityOrdered = true);
    FairQueue(const FairQueue&) = delete; // Entries hold pointers into the queue.
    FairQueue& operator=(const FairQueue&) = delete;

    /// Adds a request. Its cost is charged to the team when the request is popped.
    void push(RequestNumber, const std::string& team, unsigned rank, Cost cost, TeamShare);

    /// Removes a request from any position; false when it isn't queued.
    bool remove(RequestNumber);

    /// Removes and returns the next request that may start; nullopt when the queue is empty or every waiting team has
    /// reached its quota.
    std::optional<RequestNumber> pop();

    /// Request to evict for a new one of `rank`: the newest of the lowest priority, if that is lower than `rank`.
    std::optional<RequestNumber> evictionCandidate(unsigned rank) const;

    /// The team has acquired or released a slot. Quotas depend on every change being reported.
    void onSlotAcquired(const std::string& team);
    void onSlotFreed(const std::string& team);
    unsigned slotsOf(const std::string& team) const;

    /// True while the team is below its slot quota.
    bool mayStart(const std::string& team, const TeamShare&) const;

    std::size_t size() const { return m_entries.size(); }

    /// Expected run time, summed over all slots, that is served before a new request of the team at this rank.
    Cost costAhead(const std::string& team, unsigned rank, TeamShare) const;

    /// Run time queued by the team, over all ranks.
    Cost costOf(const std::string& team) const;

private:
    struct TeamQueue {
        std::map<RequestNumber, Cost> waiting; ///< In order of arrival, since request numbers increase.
        Cost queued { 0 };
        double servedTime = 0; ///< Virtual time: microseconds divided by weight.
        TeamShare share;
    };

    using TeamQueues = std::unordered_map<std::string, TeamQueue>;

    /// Orders teams by served time; ties are broken by name.
    struct ServedLess {
        bool operator()(const TeamQueues::value_type* left, const TeamQueues::value_type* right) const
        {
            return std::tie(left->second.servedTime, left->first) < std::tie(right->second.servedTime, right->first);
        }
    };

    /// Teams with waiting requests in the order in which they are served. A team must be removed from the set before its
    /// served time changes.
    using ServiceOrder = std::set<TeamQueues::value_type*, ServedLess>;

    struct RankQueue {
        TeamQueues teams;
        ServiceOrder order;
        unsigned waitingWeight = 0; ///< Sum of the weights of the teams with waiting requests.
        Cost queued { 0 };
        double virtualTime = 0;
        std::size_t waiting = 0;
    };

    /// Position of a queued request. Both pointers stay valid for as long as the request is queued.
    struct Entry {
        RankQueue* rank = nullptr;
        TeamQueues::value_type* team = nullptr;
    };

    std::optional<RequestNumber> popFrom(RankQueue&);
    static void addToOrder(RankQueue&, TeamQueues::value_type&);
    static void removeFromOrder(RankQueue&, TeamQueues::value_type&);
    void removeEntry(RequestNumber, RankQueue&, TeamQueues::value_type&);

    bool m_priorityOrdered;
    std::map<unsigned, RankQueue> m_ranks;
    std::unordered_map<RequestNumber, Entry> m_entries;
    std::unordered_map<std::string, unsigned> m_slots;
};

} // namespace Decision
