#pragma once

/// How often starts of tasks crash their workers, by the source that hands the tasks in.
/// Designed for sources of which a share of all tasks crashes its worker, in pools that other sources use as well.

#include "Common/Time.h"
#include "Jobs/Model/JobRecords.h"

#include <chrono>
#include <compare>
#include <map>
#include <string>
#include <vector>

namespace Jobs {

/// Who hands tasks in.
struct TaskSource {
    std::string queue;
    std::string client; ///< Account; empty where jobs have none.

    auto operator<=>(const TaskSource&) const = default; // NOLINT(modernize-use-nullptr): false positive on defaulted <=>.
};

/// Counts starts and crashes by source, of which older ones count less. Forgets sources without recent crashes.
class SourceEvidence {
public:
    /// A run of the source has outlived its start.
    void onOutlived(const TaskSource&, Common::WallTime);
    /// A worker crashed just after a start of the source. `weight`: the probability that this start has caused it.
    /// Returns true when the count is to be recorded, as it has doubled since it last was.
    bool onCrash(const TaskSource&, double weight, Common::WallTime);
    /// True from when the rate of crashes is above what sound work reaches until it is well below. Drops what is too old.
    bool isBounded(const TaskSource&, Common::WallTime);
    /// True when a source may be bounded.
    bool hasCrashes() const { return !m_counts.empty(); }
    /// What is to be recorded of the source.
    SourceCrashesLearnt recordOf(const TaskSource&) const;
    std::vector<SourceCrashesLearnt> records() const;
    /// Replaces what is known of the record's source.
    void restore(const SourceCrashesLearnt&);

private:
    struct Count {
        double crashes = 0;
        double outlived = 0;
        Common::WallTime at {};
        bool isBounded = false;
        double recordedCrashes = 0; ///< Ages like `crashes`.

        void age(Common::WallTime);
    };

    std::map<TaskSource, Count> m_counts; ///< Of sources with crashes.
};

} // namespace Jobs
