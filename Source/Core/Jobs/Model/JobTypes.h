#pragma once

/// Jobs as callers submit them, and the runs of their tasks on workers.

#include "Common/Time.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

namespace Jobs {

using std::chrono::milliseconds;

/// Chosen by the caller; unique for ever.
using JobId = std::string;
/// Number of a start of a task; rises with each start.
using RunNumber = std::uint64_t;
/// Fencing token of an owner: the revision of its key in the platform's store.
using Fence = std::uint64_t;

/// What a task occupies on a worker.
struct Resources {
    std::uint64_t milliCores = 0;
    std::uint64_t memoryMb = 0;
    std::uint64_t accelerators = 0;

    bool fitsInto(const Resources& room) const
    {
        return milliCores <= room.milliCores && memoryMb <= room.memoryMb && accelerators <= room.accelerators;
    }
    Resources& operator+=(const Resources&);
    /// Each amount stops at zero.
    Resources& operator-=(const Resources&);
    bool operator==(const Resources&) const = default;
};

/// A step: tasks that are alike and may run side by side.
struct StepSpec {
    unsigned taskCount = 0;
    Resources need;
    milliseconds estimate { 0 }; ///< Of one task; rough.
    std::vector<unsigned> after; ///< Earlier steps whose tasks must all be done first.
    bool checkpoints = false; ///< Its tasks can be resumed.
    bool isGang = false; ///< Its tasks run all together or not at all.
    bool sameRack = false; ///< Slower when spread over racks.
    bool isSpeculative = false; ///< Copies may run side by side.
    bool isLasting = false; ///< Its tasks run until the job is cancelled.
    bool isFiller = false; ///< Lives on capacity that others leave unused; its cores aren't reserved.
    std::string requiredLabel;
    std::string dataRack; ///< Slower on any other rack.
    std::string image; ///< Tasks of one image behave alike.
    unsigned maximumPerWorker = 0; ///< Zero for no limit.
    unsigned maximumUnavailable = 0; ///< Tasks of a lasting step that may be away at once by our doing.
    milliseconds targetLatency { 0 }; ///< Of the users of a lasting task; zero for none.
};

/// What a caller asks for.
struct JobSpec {
    std::string payload; ///< Handed to each task.
    std::vector<StepSpec> steps;
    unsigned repeatCount = 0; ///< Scheduled occurrences; zero for one at once.
    Common::WallTime firstRun {};
    milliseconds interval { 0 };
};

/// Names one task.
struct TaskKey {
    JobId job;
    unsigned occurrence = 0;
    unsigned step = 0;
    unsigned index = 0;

    auto operator<=>(const TaskKey&) const = default; // NOLINT(modernize-use-nullptr): the check misreads it.
};

/// How a run ended on its worker.
enum class RunEnd {
    Done,
    Failed, ///< By its own fault or the worker's.
    Stopped, ///< As ordered.
    Lapsed, ///< The worker's lease ran out.
    Broken, ///< Another member of its gang ended.
    Alone, ///< The other members of its gang didn't come.
    Lost, ///< The worker went away, or never ran it.
};

constexpr RunEnd lastValue(RunEnd) { return RunEnd::Lost; }
/// Lower-case name for logs, for example "done".
const char* nameOf(RunEnd);

/// What callers are shown.
enum class JobState {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

constexpr JobState lastValue(JobState) { return JobState::Cancelled; }
const char* nameOf(JobState);
inline bool isFinal(JobState state) { return state >= JobState::Completed; }

/// The first fault of a specification in words; empty when it is sound.
std::string validationError(const JobSpec&);

/// By step, the longest chain of estimates from it on (inclusive).
std::vector<milliseconds> chainsOf(const JobSpec&);
/// Longest chain of the whole job.
milliseconds longestChain(const JobSpec&);
/// Tasks of one occurrence.
unsigned taskCountOf(const JobSpec&);
/// Core-milliseconds of one occurrence, by the estimates.
std::uint64_t workOf(const JobSpec&);

} // namespace Jobs

template<>
struct std::hash<Jobs::TaskKey> {
    std::size_t operator()(const Jobs::TaskKey& key) const noexcept
    {
        const std::size_t numbers = (std::size_t { key.occurrence } << 40U) ^ (std::size_t { key.step } << 32U) ^ key.index;
        return std::hash<std::string>()(key.job) ^ (numbers * 0x9e3779b97f4a7c15ULL);
    }
};
