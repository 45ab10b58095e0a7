#pragma once

/// Writes a snapshot of a pool's journal in parts, points the journal's head to it, then deletes the segments and the
/// snapshot that it replaces.

#include "Jobs/Model/JobRecords.h"
#include "Ports/PlatformPort.h"

#include <memory>
#include <string>
#include <vector>

namespace Jobs {

/// Every write is fenced by the owner key, so that a deposed owner writes nothing. A failed write abandons the snapshot; the
/// next one starts from scratch. Used by Journal on the loop's thread.
class SnapshotWriter {
public:
    SnapshotWriter(Ports::PlatformPort&, std::string pool, std::string ownerKey, Fence);

    /// Sets what an earlier owner left in the store, for the next snapshot to delete.
    void inherit(std::uint64_t oldestSegment, std::vector<std::string> snapshotKeys);
    /// Writes records that replace all segments before `firstSegment`. Don't call it while isBusy().
    void write(const std::vector<JobRecord>&, std::uint64_t firstSegment);
    /// True while a snapshot is being written.
    bool isBusy() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Jobs
