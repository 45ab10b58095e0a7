#pragma once

/// Structured log lines of the job subsystem: one a decision, with the id it is about and the inputs that decided it.

#include "Jobs/Decision/PoolOutput.h"

#include <string>

namespace Jobs {

/// Writes an event under the component's name, for example "pool.desk".
void writeEvent(const std::string& component, const LogEvent&);

} // namespace Jobs
