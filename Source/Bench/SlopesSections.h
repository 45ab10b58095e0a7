#pragma once

/// The groups of measurements that `slopes` prints. Sizes and counts are the same in every run, processor times are not.
/// Each throws std::logic_error if the measured code doesn't behave as the measurement assumes.

#include "SlopesFit.h"

#include <vector>

namespace Slopes {

/// Sizes of frames, records and documents, in bytes.
std::vector<Series> measureSizes();
/// Heap memory of the cores' state, in bytes, and the frames that a joining host sends for ledger records.
std::vector<Series> measureMemory();
/// Messages and store calls of entry hosts without load, mostly for each host and second, in virtual time.
std::vector<Series> measureControl();
/// The same at the design size only: every series has one point, whose size is meaningless.
std::vector<Series> countDesignSize();
/// Messages and store calls of all hosts for one change of the configuration, in virtual time.
std::vector<Series> measureRollOut();
/// Processor time of single calls, in microseconds; medians of several rounds.
std::vector<Series> measureTimes();

} // namespace Slopes
