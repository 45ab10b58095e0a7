#pragma once

/// Which host should have a duty, by the duties that each holds and its processor share. No I/O, no clock.

#include "Jobs/Runtime/Ownership.h"

#include <map>
#include <string>
#include <vector>

namespace Jobs {

using Members = std::map<std::string, MemberInfo>;
using DutyCounts = std::map<std::string, unsigned>;

/// Members in the order in which they should take a duty: its last holder, if it is one, then those with the fewest duties
/// for their processor share. Without those that are leaving.
std::vector<std::string> rankCandidates(const std::string& duty, const Members&, const DutyCounts&, const std::string& lastHolder);

/// True when another member would carry one of this host's duties at less than half of this host's load.
bool isOverloaded(const std::string& host, const Members&, const DutyCounts&);

} // namespace Jobs
