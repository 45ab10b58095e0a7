#pragma once

/// Waits until a revision is in force on every entry host.

#include "CommandContext.h"
#include "CtlError.h"

#include <cstdint>

namespace Ctl {

/// Rollout progress of a revision.
struct InForceProgress {
    std::size_t hostCount = 0; ///< Number of known entry hosts.
    std::size_t inForceCount = 0; ///< Number of hosts with this revision or a later one in force.
    std::vector<std::string> missing; ///< The other hosts, as "data centre/host".

    bool isComplete() const { return hostCount > 0 && inForceCount == hostCount; }
    bool operator==(const InForceProgress&) const = default;
};

/// Counts the hosts that have reported, in every data centre, and the members of the answering host's view that have not.
InForceProgress progressOf(const FleetStatus&, std::uint64_t revision);

/// Polls until the revision is in force on every known host, writing progress to `err`. Returns ExitCode::TimedOut when --timeout passes
/// first. Failed calls are retried.
ExitCode waitUntilInForce(CommandContext&, std::uint64_t revision);

} // namespace Ctl
