#pragma once

/// Waiting until a revision is in force everywhere.

#include "CommandContext.h"
#include "CtlError.h"

#include <cstdint>

namespace Ctl {

/// How far a revision has come.
struct InForceProgress {
    std::size_t hosts = 0; ///< Known ones.
    std::size_t done = 0; ///< With the revision or a later one.
    std::vector<std::string> missing; ///< "data centre/host", of the rest.

    bool isComplete() const { return hosts > 0 && done == hosts; }
    bool operator==(const InForceProgress&) const = default;
};

/// Counts the hosts of every data centre and the members of the answering host's view.
InForceProgress progressOf(const FleetStatus&, std::uint64_t revision);

/// Waits for every known host, writing progress to `err`. TimedOut when the limit passes first.
ExitCode waitUntilInForce(CommandContext&, std::uint64_t revision);

} // namespace Ctl
