#pragma once

/// Text form of the peaks that a holder of the fleet duty has detected, for the next holder. Does no I/O and reads no clock.

#include "Jobs/Fleet/PeakForecast.h"

#include <string>
#include <string_view>
#include <vector>

namespace Jobs {

/// Peaks read from a record.
struct PeakRecord {
    std::vector<Peak> peaks; ///< By start; empty when the record is left out.
    const char* fault = ""; ///< Why the record is left out; empty when it is of use.
};

/// Formats the peaks with their starts in wall-clock time, as instants can't be compared between hosts. Names mustn't contain spaces.
std::string formatPeaks(const std::vector<Peak>&, Common::Moment);
/// Leaves out records that can't be read, are from the future, or are too old to be of use.
PeakRecord parsePeaks(std::string_view text, Common::Moment);

} // namespace Jobs
