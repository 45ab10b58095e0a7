#pragma once

/// The command `publish`.

#include "CommandContext.h"
#include "CtlError.h"

namespace Ctl {

/// Validates the documents, shows the difference from the configuration in force and publishes. Retries a lost answer with the same
/// change id, and with --wait returns once the change is in force everywhere. Returns the exit code for a conflict, a rejected change and a wait
/// that times out; throws CtlError for other failures, including an outcome that stays unknown until --timeout.
ExitCode runPublish(CommandContext&);

} // namespace Ctl
