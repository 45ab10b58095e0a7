#pragma once

/// Converts assignments to calls of the platform's key-value service, and replies to assignments.

#include "Common/Result.h"
#include "Decision/Assignment/MoveCoordinator.h"

#include <string>
#include <vector>

namespace Decision {

/// Read of all assignment keys by their prefix.
PlatformRead assignmentRead(const std::string& dataCentre, PlatformToken);
/// Decodes the reply to assignmentRead(). Fails if the record is missing or can't be decoded.
Common::Result<AssignmentSnapshot, AssignmentError> snapshotFrom(
    const std::string& dataCentre, const std::vector<Ports::KeyValue>&);
/// Compare-and-swap of the record.
PlatformTransact assignmentWrite(const std::string& dataCentre, const RecordWrite&);
/// Registers a process: writes its durable member entry and its lease key, and marks the other processes of its host in
/// `known` as gone. Only valid if those can no longer be running, for example because this process holds their
/// listening address.
PlatformTransact registration(const std::string& dataCentre, const ProcessId& self, Ports::LeaseId,
    const std::vector<MemberProcess>& known, PlatformToken);
/// Deletes the member entries of processes.
PlatformTransact memberRemoval(const std::string& dataCentre, const std::vector<ProcessId>&, PlatformToken);

} // namespace Decision
