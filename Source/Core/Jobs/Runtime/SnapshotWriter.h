#pragma once

/// Writes a snapshot of a pool's journal in parts, names it in the journal's head, and deletes what it stands for.

#include "Jobs/Model/JobRecords.h"
#include "Ports/PlatformPort.h"

#include <memory>
#include <string>
#include <vector>

namespace Jobs {

/// Every write depends on the owner key, so that a deposed owner writes nothing. A write that fails ends the snapshot;
/// the next one begins anew.
class SnapshotWriter {
public:
    SnapshotWriter(Ports::PlatformPort&, std::string pool, std::string ownerKey, Fence);

    /// What an earlier owner has left, to be deleted by the next snapshot.
    void inherit(std::uint64_t oldestSegment, std::vector<std::string> snapshotKeys);
    /// The records stand for all segments before `firstSegment`. Not while isBusy().
    void write(const std::vector<JobRecord>&, std::uint64_t firstSegment);
    bool isBusy() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace Jobs
