#pragma once

/// Cache of the advice service's answers: which workers may run the steps of queues with an advice service.

#include "Jobs/Model/JobTypes.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Jobs {

/// A worker that may run a step, and the ticket that its start order carries.
struct AdvisedWorker {
    std::string worker;
    std::string ticket;
};

/// Caches which workers may run which steps. Whether a worker may run a step never changes; its ticket expires, or becomes
/// void when the worker restarts. The index of a TaskKey is ignored throughout: answers hold for all tasks of a step.
class AdviceCache {
public:
    /// Stores an answer and clears isRequested(). `requested` are the workers that the request named; those that aren't among the
    /// advised ones may not run the step. Empty when the request failed, so that advice on the same workers can be requested again.
    void add(const TaskKey& step, const std::vector<std::string>& requested, const std::vector<AdvisedWorker>&, Common::Instant validUntil);
    /// The ticket of a worker for a step, or nothing when it has no valid one. May be an empty string.
    std::optional<std::string> ticketOf(const TaskKey& step, const std::string& worker, Common::Instant now) const;
    /// True when a request that names the worker could yield a new ticket.
    bool needsRequest(const TaskKey& step, const std::string& worker, Common::Instant now) const;
    /// True while a request for the step is in flight.
    bool isRequested(const TaskKey& step) const;
    /// Notes that a request for the step was issued; add() ends it.
    void markRequested(const TaskKey& step);
    /// Invalidates the worker's tickets, when it has restarted or has refused one.
    void voidTickets(const std::string& worker);
    /// Drops all entries of a job that has finished.
    void removeJob(const JobId&);

private:
    struct Entry {
        bool isAllowed = false;
        std::string ticket;
        Common::Instant validUntil {};
    };
    struct Step {
        bool isRequested = false;
        std::map<std::string, Entry> workers;
    };

    static TaskKey keyOf(TaskKey);
    const Entry* find(const TaskKey& step, const std::string& worker) const;

    std::map<TaskKey, Step> m_steps;
};

} // namespace Jobs
