#pragma once

/// Tickets for steps of queues whose policy allows only some workers.

#include "Jobs/Model/JobTypes.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Jobs {

/// A worker that may run a step, with its ticket.
struct AdvisedWorker {
    std::string worker;
    std::string ticket;
};

/// Which workers may run which steps. Whether a worker may doesn't change; its ticket runs out, or goes with its incarnation.
class AdviceCache {
public:
    void add(const TaskKey& step, const std::vector<std::string>& asked, const std::vector<AdvisedWorker>&, Common::Instant validUntil);
    /// The ticket of a worker for a step; nothing when there is none that is valid.
    std::optional<std::string> ticketOf(const TaskKey& step, const std::string& worker, Common::Instant now) const;
    /// True when asking about the worker may give a ticket.
    bool isWorthAsking(const TaskKey& step, const std::string& worker, Common::Instant now) const;
    bool isAsking(const TaskKey& step) const;
    void asking(const TaskKey& step);
    /// The worker's tickets are void: it began anew, or refused one.
    void dropWorker(const std::string& worker);
    void dropJob(const JobId&);

private:
    struct Entry {
        bool isAllowed = false;
        std::string ticket;
        Common::Instant validUntil {};
    };
    struct Step {
        bool isAsking = false;
        std::map<std::string, Entry> workers;
    };

    static TaskKey keyOf(TaskKey);
    const Entry* find(const TaskKey& step, const std::string& worker) const;

    std::map<TaskKey, Step> m_steps;
};

} // namespace Jobs
