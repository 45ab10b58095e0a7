#pragma once

/// Commands that show or change the state of the running fleet. Each throws CtlError when it fails.

#include "CommandContext.h"
#include "CtlError.h"

namespace Ctl {

/// The revision in force on each entry host, and alarms.
ExitCode runStatus(CommandContext&);
/// Upstreams, and their number in each pool by state.
ExitCode runPools(CommandContext&);
/// The audit trail of a data centre, oldest first.
ExitCode runAudit(CommandContext&);
/// Moves an upstream to the pool named by --to; returns when the move is accepted, not when it is done.
ExitCode runMove(CommandContext&);
/// The progress of maintenance waves.
ExitCode runWaves(CommandContext&);
/// Pauses or resumes a maintenance wave; its arguments are `pause NAME` or `resume NAME`.
ExitCode runWave(CommandContext&);

} // namespace Ctl
