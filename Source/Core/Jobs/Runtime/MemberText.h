#pragma once

/// How a member tells of itself in the store.

#include "Jobs/Runtime/Ownership.h"

#include <string>

namespace Jobs {

std::string memberText(const MemberInfo&);
MemberInfo readMember(const std::string& host, const std::string& text);

} // namespace Jobs
