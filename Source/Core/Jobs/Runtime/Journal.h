#pragma once

/// Journal of a pool in the platform's store: numbered segments, each created once by the holder of the pool's owner key,
/// so that a deposed owner can't append. Records are committed in groups; effects wait until what they rest on is stored.

#include "Common/TaskLoop.h"
#include "Jobs/Model/JobRecords.h"
#include "Ports/PlatformPort.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Jobs {

/// Which journal, and by what right it is written.
struct JournalSettings {
    std::string pool;
    std::string ownerKey;
    Fence fence = 0; ///< Revision of the owner key.
    milliseconds commitInterval { 20 }; ///< Between commits: an end gives its place to the next task only once it is stored.
    std::uint64_t segmentsPerSnapshot = 400;
};

/// Used on the loop's thread only.
class Journal {
public:
    struct Hooks {
        std::function<void()> deposed; ///< Another owner holds the pool; called once. Effects that wait are dropped.
        std::function<std::vector<JobRecord>()> snapshot; ///< Records that stand for all appended so far.
        std::function<void(milliseconds)> committed; ///< How long a commit took.
    };
    using Effect = std::function<void()>;
    using LoadCallback = std::function<void(const std::vector<JobRecord>&)>;

    Journal(Common::TaskLoop&, Ports::PlatformPort&, JournalSettings, Hooks);
    ~Journal();
    Journal(const Journal&) = delete;
    Journal& operator=(const Journal&) = delete;

    /// Reads the whole journal, until that succeeds. Appending is allowed from the callback on.
    void load(LoadCallback);
    /// The effect runs once the records and all earlier ones are stored; at once when nothing is being waited for.
    void append(const std::vector<JobRecord>&, Effect);
    /// How long the oldest commit under way has taken; zero when none is.
    milliseconds stalledFor() const;
    /// True when nothing waits to be stored.
    bool isIdle() const;

private:
    struct State;
    std::shared_ptr<State> m_state; ///< Shared with calls under way, which outlive the journal.
};

} // namespace Jobs
