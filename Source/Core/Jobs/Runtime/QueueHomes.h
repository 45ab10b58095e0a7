#pragma once

/// The pools that may hold jobs of a queue: a new version of the configuration can give a queue another pool, and the jobs that were
/// accepted before stay in theirs.

#include "Common/TaskLoop.h"
#include "Jobs/Model/FleetTypes.h"
#include "Ports/PlatformPort.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Jobs {

/// A pool that may hold jobs of a queue, and the name that the queue had there.
struct QueueHome {
    std::string pool;
    std::string queue;

    bool operator==(const QueueHome&) const = default;
};

/// The homes of queues, as the owner of one pool sees them. A queue is known by the URL that callers use, since its name may change. The pool is
/// recorded in the store as a home before its owner accepts a job of the queue, and the homes are read after that: of two pools that accept
/// jobs of a queue at the same time, at least one sees the other, asks it, and is noted by it. Used on the loop's thread only.
class QueueHomes {
public:
    /// Gets null when the store didn't answer. The list contains the pool itself.
    using Callback = std::function<void(const std::vector<QueueHome>*)>;
    /// Whether the pool holds a job, final ones included, that was accepted under that name of a queue.
    using IsInUse = std::function<bool(const std::string& queue)>;

    /// `ownership` holds as long as the pool has this owner; nothing is written without.
    QueueHomes(Common::TaskLoop&, Ports::PlatformPort&, std::string pool, Ports::Compare ownership, IsInUse);
    ~QueueHomes();
    QueueHomes(const QueueHomes&) = delete;
    QueueHomes& operator=(const QueueHomes&) = delete;

    /// Records the pool as a home of its queues, and reads all homes again. Homes of queues that the pool had before are deleted once none of
    /// their jobs is left.
    void configure(const JobConfiguration&);
    /// Returns the queue's homes. `version` is the version of the configuration by which the caller chose the pool: homes that were read under
    /// an older one are read again. Calls back at once if they are known, otherwise once the store has answered, or never if this object is
    /// destroyed before.
    void find(const QueueRule&, std::uint64_t version, Callback);
    /// The owner of that pool asks about the queue, so that the pool is one of its homes, if it isn't known yet. It has recorded itself
    /// before; this owner may have read the homes earlier, under a version of the configuration that is older or the same.
    void note(const QueueRule&, const QueueHome&);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Jobs
