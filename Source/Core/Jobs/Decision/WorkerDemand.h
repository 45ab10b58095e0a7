#pragma once

/// Workers that a pool needs for tasks that not every worker can take, whatever cores are free. Does no I/O and reads no clock.

#include "Jobs/Decision/Worker.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace Jobs {

/// Order in which machines are given to the work of all pools.
enum class DemandTier {
    InTime, ///< Tasks whose jobs can still meet their objective.
    Late, ///< Tasks whose jobs can't. They are owed all the same.
    Expected, ///< Peaks that are expected or rise; no task waits for them yet.
    Bounded, ///< First starts of sources whose tasks crash their workers; see SourceEvidence.h.
};

inline constexpr std::array demandTiers { DemandTier::InTime, DemandTier::Late, DemandTier::Expected, DemandTier::Bounded };

/// What a pool needs of the workers that have a label, are on a rack and are large enough for a task.
struct WorkerDemand {
    std::string label; ///< Empty for workers with any labels.
    std::string rack; ///< Empty for workers on any rack.
    Resources need; ///< Of one task.
    std::uint64_t workers = 0; ///< Those that can take no more of the tasks, and those that the waiting ones need.
    std::uint64_t milliCores = 0; ///< Reserved on such workers, and needed by tasks that wait for one. Zero without label and rack.
    std::uint64_t memoryMb = 0; ///< The same.
};

/// Steps with waiting tasks, as input of the demand.
struct DemandingStep {
    const StepSpec& spec;
    std::string rack; ///< That the tasks have to run on; empty for any.
    std::map<std::string, unsigned> placed; ///< Number of the step's placed tasks by worker.
    unsigned waiting = 0;
};

/// Computes a pool's demand for workers. Only workers that are listed count, so that one that has crashed is no reason to ask for
/// another: its machine is still the pool's.
class DemandCounter {
public:
    /// The workers must outlive the counter and not change.
    explicit DemandCounter(const std::map<std::string, Worker>&);

    /// True when the step's demand isn't only one of cores and memory.
    static bool isNeededFor(const StepSpec&, const std::string& rack);
    void add(const DemandingStep&);
    /// The largest demands.
    std::vector<WorkerDemand> result() const;

private:
    struct Place {
        const Worker* worker = nullptr;
        Resources room; ///< Apart from what short tasks occupy now.
    };

    std::uint64_t workersFor(const DemandingStep&) const;

    std::vector<Place> m_places;
    Resources m_largestCapacity;
    std::size_t m_stepsLeft;
    /// Label, rack, and the resources that one task needs.
    using Kind = std::tuple<std::string, std::string, std::uint64_t, std::uint64_t, std::uint64_t>;
    std::map<Kind, WorkerDemand> m_demands;
};

} // namespace Jobs
