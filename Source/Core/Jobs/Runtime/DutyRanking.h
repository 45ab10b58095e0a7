#pragma once

/// Ranks the hosts for a duty by the number of duties that each holds and by its processor share. No I/O, no clock.

#include "Jobs/Runtime/Ownership.h"

#include <map>
#include <string>
#include <vector>

namespace Jobs {

using Members = std::map<std::string, MemberInfo>;
using DutyCounts = std::map<std::string, unsigned>;

/// Returns the members in the order in which they should claim a duty: its last holder first, if that is still a member, then by
/// the number of duties per processor share, lowest first. Ties are ordered by rendezvous hash. Leaving members are left out.
std::vector<std::string> rankCandidates(const std::string& duty, const Members&, const DutyCounts&, const std::string& lastHolder);

/// True when another member would have less than half of this host's load after taking over one of its duties. False when the
/// host is not a member.
bool isOverloaded(const std::string& host, const Members&, const DutyCounts&);

} // namespace Jobs
