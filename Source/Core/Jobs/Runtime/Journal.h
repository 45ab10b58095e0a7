#pragma once

/// Write-ahead journal of a pool in the platform's store. It consists of numbered segments; each is created once, in a
/// transaction that is fenced by the pool's owner key, so that a deposed owner can't append. Records are committed in groups,
/// and effects run only once the records that they depend on are stored.

#include "Common/TaskLoop.h"
#include "Jobs/Model/JobRecords.h"
#include "Ports/PlatformPort.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Jobs {

/// Identifies a journal and the owner that writes it.
struct JournalSettings {
    std::string pool;
    std::string ownerKey;
    Fence fence = 0; ///< Revision of the owner key that this owner holds; the fencing token.
    milliseconds commitInterval { 20 }; ///< Least time between commits. Kept short, as the place of a finished task is free only once its end is stored.
    std::uint64_t segmentsPerSnapshot = 400; ///< Segments after which a new snapshot is written.
};

/// Written by the owner of a pool. Used on the loop's thread only.
class Journal {
public:
    struct Hooks {
        std::function<void()> deposed; ///< Another owner holds the pool; called at most once. Pending effects are dropped, and later appends are ignored.
        std::function<std::vector<JobRecord>()> snapshot; ///< Returns records that are equivalent to all those appended so far.
        std::function<void(milliseconds)> committed; ///< Called after each commit with its duration, retries included.
        std::function<void()> sent; ///< A call that commits was sent to the store.
        std::function<void()> answered; ///< The store has carried one out, or its compares failed.
    };
    using Effect = std::function<void()>;
    using LoadCallback = std::function<void(const std::vector<JobRecord>&)>;

    Journal(Common::TaskLoop&, Ports::PlatformPort&, JournalSettings, Hooks);
    ~Journal();
    Journal(const Journal&) = delete;
    Journal& operator=(const Journal&) = delete;

    /// Reads the whole journal; retries until that succeeds. Call append() only once the callback has run.
    void load(LoadCallback);
    /// Appends the records and runs the effect once they and all earlier records are stored. Without records, and when none are
    /// pending, the effect runs within the call. Failed commits are retried; see Hooks::deposed for the end.
    void append(const std::vector<JobRecord>&, Effect);
    /// How long the commit in flight has taken; zero when there is none.
    milliseconds stalledFor() const;
    /// True when all records are stored.
    bool isIdle() const;
    /// Store revision of the newest commit of this owner; its fence before the first one. Lower than the fence of any later owner, as
    /// each commit expects the owner key at this owner's fence.
    Fence newestRevision() const;

private:
    struct State;
    std::shared_ptr<State> m_state; ///< Shared with calls in flight, which may outlive the journal.
};

} // namespace Jobs
