#pragma once

/// Keys and JSON encoding of the assignment record in the platform's store.

#include "Common/Result.h"
#include "Decision/Assignment/AssignmentError.h"
#include "Decision/Assignment/AssignmentRecord.h"

#include <string>
#include <string_view>

namespace Decision {

/// Prefix of all assignment keys of a data centre, with a trailing slash. One read of the prefix is a consistent snapshot.
std::string assignmentPrefix(const std::string& dataCentre);
/// Key of the assignment record.
std::string assignmentRecordKey(const std::string& dataCentre);
/// Key of a process's durable member entry, which is written without a lease.
std::string assignmentMemberKey(const std::string& dataCentre, const std::string& host, std::uint64_t incarnation);
/// Key that is attached to the view lease of a process and disappears with it.
std::string assignmentLeaseKey(const std::string& dataCentre, const std::string& host, std::uint64_t incarnation);

/// Compact JSON.
std::string encodeAssignments(const AssignmentRecord&);
/// Fails if the text isn't JSON, the version is missing or zero, a field has a wrong type, or an upstream has an unknown
/// state, no pool, or no target although it isn't Serving.
Common::Result<AssignmentRecord, AssignmentError> decodeAssignments(std::string_view);

/// Appends a compact binary form for comparing and hashing records. It isn't stored.
void appendCanonicalRecord(std::string& out, const AssignmentRecord&);

} // namespace Decision
