#pragma once

/// Reads a pool's journal: the snapshot that its head names and the segments that follow it.

#include "Common/TaskLoop.h"
#include "Jobs/Model/JobRecords.h"
#include "Jobs/Runtime/EventLimiter.h"
#include "Ports/PlatformPort.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Jobs {

/// Contents of a journal.
struct JournalContents {
    std::vector<JobRecord> records;
    std::uint64_t firstSegment = 1; ///< First segment that the snapshot doesn't cover.
    std::uint64_t nextSegment = 1; ///< Number of the next segment to write.
    std::uint64_t oldestSegment = 0; ///< Oldest segment that is still stored; zero when there is none.
    std::vector<std::string> snapshotKeys; ///< Keys of the snapshot's parts.
};

/// Names the snapshot that replaces all segments before `firstSegment`.
struct JournalHead {
    std::uint64_t firstSegment = 1;
    unsigned parts = 0; ///< Number of keys that the snapshot is split into.
};

/// Formats a head for the store as "<first segment> <parts>".
std::string formatHead(const JournalHead&);
/// Prefix of the keys of a snapshot's parts.
std::string snapshotPrefix(const std::string& pool, std::uint64_t firstSegment);

/// Retries until the whole journal is read. Keeps itself alive until then, so it must be held by a shared_ptr.
class JournalLoader : public std::enable_shared_from_this<JournalLoader> {
public:
    using Callback = std::function<void(JournalContents)>;

    JournalLoader(Common::TaskLoop&, Ports::PlatformPort&, std::string pool);
    /// Starts to read; the callback runs once, on the loop's thread. Call it once.
    void load(Callback);

private:
    void readHead();
    void readSnapshot(const JournalHead&);
    void readSegments();
    /// False when the parts are incomplete or unreadable.
    bool applySnapshot(const std::vector<Ports::KeyValue>&, const JournalHead&);
    /// False when a segment is missing. Skips unreadable ones, with a log event.
    bool applySegments(const std::vector<Ports::KeyValue>&);
    /// Starts over after a delay; `step` is the read that failed, for the log.
    void retry(const char* step, const Ports::PlatformReply&);

    Common::TaskLoop& m_loop;
    Ports::PlatformPort& m_platform;
    std::string m_pool;
    Callback m_callback;
    JournalContents m_contents;
    unsigned m_attempts = 0;
    EventLimiter m_limiter { "journal" };
};

} // namespace Jobs
