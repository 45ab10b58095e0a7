#pragma once

/// The record as JSON, as it stands in the platform's store, and its keys.

#include "Common/Result.h"
#include "Decision/Assignment/AssignmentError.h"
#include "Decision/Assignment/AssignmentRecord.h"

#include <string>
#include <string_view>

namespace Decision {

/// Prefix of all assignment keys of a data centre; one read of it is a consistent snapshot.
std::string assignmentPrefix(const std::string& dataCentre);
/// Key of the record.
std::string assignmentRecordKey(const std::string& dataCentre);
/// Key of a process's durable member entry, written without a lease.
std::string assignmentMemberKey(const std::string& dataCentre, const std::string& host, std::uint64_t incarnation);
/// Key that lives as long as the view lease of that process.
std::string assignmentLeaseKey(const std::string& dataCentre, const std::string& host, std::uint64_t incarnation);

/// Compact JSON.
std::string encodeAssignments(const AssignmentRecord&);
Common::Result<AssignmentRecord, AssignmentError> decodeAssignments(std::string_view);

/// Appends a short binary form, for comparing and hashing records.
void appendCanonicalRecord(std::string& out, const AssignmentRecord&);

} // namespace Decision
