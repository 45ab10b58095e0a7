#pragma once

/// Commands about the running fleet.

#include "CommandContext.h"
#include "CtlError.h"

namespace Ctl {

ExitCode runStatus(CommandContext&);
ExitCode runPools(CommandContext&);
ExitCode runAudit(CommandContext&);
ExitCode runMove(CommandContext&);
ExitCode runWaves(CommandContext&);
/// Takes `pause NAME` or `resume NAME`.
ExitCode runWave(CommandContext&);

} // namespace Ctl
