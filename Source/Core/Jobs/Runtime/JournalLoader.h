#pragma once

/// Reads a pool's journal: the snapshot that its head names, and the segments that follow.

#include "Common/TaskLoop.h"
#include "Jobs/Model/JobRecords.h"
#include "Jobs/Runtime/EventLimiter.h"
#include "Ports/PlatformPort.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Jobs {

/// What was read.
struct JournalContents {
    std::vector<JobRecord> records;
    std::uint64_t firstSegment = 1; ///< Behind the snapshot.
    std::uint64_t nextSegment = 1; ///< To be written next.
    std::uint64_t oldestSegment = 0; ///< Still stored; zero when there is none.
    std::vector<std::string> snapshotKeys; ///< Of the parts that were read.
};

/// Which snapshot stands for the segments before its number.
struct JournalHead {
    std::uint64_t firstSegment = 1;
    unsigned parts = 0;
};

/// Text of a head, "<first segment> <parts>".
std::string headText(const JournalHead&);
/// Prefix of the parts of a snapshot.
std::string snapshotPrefix(const std::string& pool, std::uint64_t firstSegment);

/// Tries until the whole journal is read. Kept alive by its calls.
class JournalLoader : public std::enable_shared_from_this<JournalLoader> {
public:
    using Callback = std::function<void(JournalContents)>;

    JournalLoader(Common::TaskLoop&, Ports::PlatformPort&, std::string pool);
    void load(Callback);

private:
    void readHead();
    void readSnapshot(const JournalHead&);
    void readSegments();
    bool takeSnapshot(const std::vector<Ports::KeyValue>&, const JournalHead&);
    bool takeSegments(const std::vector<Ports::KeyValue>&);
    /// `step` is what failed.
    void again(const char* step, const Ports::PlatformReply&);

    Common::TaskLoop& m_loop;
    Ports::PlatformPort& m_platform;
    std::string m_pool;
    Callback m_callback;
    JournalContents m_contents;
    unsigned m_tries = 0;
    EventLimiter m_limiter { "journal" };
};

} // namespace Jobs
