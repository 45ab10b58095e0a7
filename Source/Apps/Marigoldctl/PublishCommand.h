#pragma once

/// The command `publish`.

#include "CommandContext.h"
#include "CtlError.h"

namespace Ctl {

/// Validates, shows the difference, publishes, settles a lost answer with the same change id, and waits if asked to.
ExitCode runPublish(CommandContext&);

} // namespace Ctl
