#pragma once

/// The groups of measurements. Counts and sizes are the same in every run; times aren't.

#include "SlopesFit.h"

#include <vector>

namespace Slopes {

/// Sizes of frames, records and documents.
std::vector<Series> measureSizes();
/// Heap memory of the cores' state.
std::vector<Series> measureMemory();
/// Messages and store calls of entry hosts without load, in virtual time.
std::vector<Series> measureControl();
/// The same, counted once at the design size; points of one run.
std::vector<Series> countDesignSize();
/// Messages and store calls of one change of the configuration, in virtual time.
std::vector<Series> measureRollOut();
/// Processor time, as medians.
std::vector<Series> measureTimes();

} // namespace Slopes
