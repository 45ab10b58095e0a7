#pragma once

/// Text form of a member's entry in the store.

#include "Jobs/Runtime/Ownership.h"

#include <string>

namespace Jobs {

/// Formats as "<address> <data centre> <processor share>[ leaving]"; the host name is part of the key.
std::string formatMember(const MemberInfo&);
/// Fields that are missing or unreadable are empty; the processor share is at least 1.
MemberInfo parseMember(const std::string& host, const std::string& text);

} // namespace Jobs
