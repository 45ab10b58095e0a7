#pragma once

/// Turns the assignment values into calls of the platform's key-value service and back.

#include "Common/Result.h"
#include "Decision/Assignment/MoveCoordinator.h"

#include <string>
#include <vector>

namespace Decision {

/// The one read of everything: prefix read of all assignment keys.
PlatformRead assignmentRead(const std::string& dataCentre, PlatformToken);
/// Reply of that read as a snapshot; an error when the record is missing or damaged.
Common::Result<AssignmentSnapshot, AssignmentError> snapshotFrom(
    const std::string& dataCentre, const std::vector<Ports::KeyValue>&);
/// The compare-and-swap of the record.
PlatformTransact assignmentWrite(const std::string& dataCentre, const RecordWrite&);
/// Registers a process: its durable entry and its lease key, and marks earlier processes of its host as gone.
/// Only to be used when the earlier ones can't run any more, for example because this one holds their listening address.
PlatformTransact registration(const std::string& dataCentre, const ProcessId& self, Ports::LeaseId,
    const std::vector<MemberProcess>& known, PlatformToken);
/// Strikes processes off.
PlatformTransact memberRemoval(const std::string& dataCentre, const std::vector<ProcessId>&, PlatformToken);

} // namespace Decision
