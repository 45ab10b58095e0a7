#pragma once

/// Structured log lines of the job subsystem: one per decision, with the id concerned and the inputs of the decision.

#include "Jobs/Decision/PoolOutput.h"

#include <string>

namespace Jobs {

/// Writes an event at info level under the name of a component, for example "pool.desk". Thread-safe.
void writeEvent(const std::string& component, const LogEvent&);

} // namespace Jobs
