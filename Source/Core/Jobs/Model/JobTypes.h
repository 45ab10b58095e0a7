#pragma once

/// Job specifications as callers submit them, and identifiers and end states of the runs of their tasks on workers.

#include "Common/Time.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <tuple>
#include <vector>

namespace Jobs {

using std::chrono::milliseconds;

/// Chosen by the caller and never reused.
using JobId = std::string;
/// Number of an attempt to run a task; increases with each attempt.
using RunNumber = std::uint64_t;
/// Fencing token of a pool's owner: the revision of its key in the platform's store.
using Fence = std::uint64_t;

/// Resources that a task occupies on a worker.
struct Resources {
    std::uint64_t milliCores = 0;
    std::uint64_t memoryMb = 0;
    std::uint64_t accelerators = 0;

    /// True when every amount is at most that of `room`.
    bool fitsInto(const Resources& room) const
    {
        return milliCores <= room.milliCores && memoryMb <= room.memoryMb && accelerators <= room.accelerators;
    }
    Resources& operator+=(const Resources&);
    /// Subtracts each amount, clamped at zero.
    Resources& operator-=(const Resources&);
    bool operator==(const Resources&) const = default;
};

/// A step of a job: identical tasks that may run in parallel.
struct StepSpec {
    unsigned taskCount = 0;
    Resources need;
    milliseconds estimate { 0 }; ///< Rough run time of one task.
    std::vector<unsigned> after; ///< Indexes of earlier steps that must be done before this one starts.
    bool checkpoints = false; ///< Its tasks write checkpoints and can resume from them.
    bool isGang = false; ///< Its tasks are placed all at once or not at all.
    bool sameRack = false; ///< Its tasks run slower when spread over several racks.
    bool isSpeculative = false; ///< Several copies of a task may run at the same time.
    bool isLasting = false; ///< Its tasks are services that run until the job is cancelled.
    bool isFiller = false; ///< Best effort: uses cores that other tasks leave idle; its own cores aren't reserved.
    std::string requiredLabel; ///< Label that the worker must have; empty for none.
    std::string dataRack; ///< Rack that holds the input data; tasks run slower on any other rack. Empty for none.
    std::string image; ///< Tasks of the same image behave alike.
    unsigned maximumPerWorker = 0; ///< Tasks of the step on one worker; zero for no limit.
    unsigned maximumUnavailable = 0; ///< Tasks of a lasting step that may be interrupted by the scheduler at the same time.
    milliseconds targetLatency { 0 }; ///< Latency objective of a lasting task's users; zero for none.
};

/// A job as its caller specifies it.
struct JobSpec {
    std::string payload; ///< Passed to each task unchanged.
    std::vector<StepSpec> steps;
    unsigned repeatCount = 0; ///< Number of scheduled occurrences; zero for a job that runs once, immediately.
    Common::WallTime firstRun {}; ///< When the first scheduled occurrence is due.
    milliseconds interval { 0 }; ///< Between scheduled occurrences.
};

/// Identifies one task.
struct TaskKey {
    JobId job;
    unsigned occurrence = 0; ///< From 0, like the step and the index within the step.
    unsigned step = 0;
    unsigned index = 0;

    auto operator<=>(const TaskKey&) const = default; // NOLINT(modernize-use-nullptr): false positive on defaulted <=>.
};

/// The task's step and index, for logs.
std::string nameOfTask(const TaskKey&);

/// Crashes of the workers that a task was placed on.
struct CrashTally {
    unsigned unexplained = 0; ///< While it may have been running there, and nothing else explains them.
    unsigned suspected = 0; ///< The part of them just after a start of it, since it last outlived one.
    unsigned sinceProven = 0; ///< Just after a start of it, since it last outlived one, even if another task explains them.
    unsigned unconfirmed = 0; ///< The part of `sinceProven` that doesn't convict: under starts that aren't known to have been carried out, or with a cause outside the tasks.

    bool operator==(const CrashTally&) const = default;
};

/// How a run ended on its worker.
enum class RunEnd {
    Done,
    Failed, ///< The task or the worker failed.
    Stopped, ///< The owner stopped it.
    Lapsed, ///< The worker's lease expired.
    Broken, ///< Another member of its gang ended early.
    Alone, ///< The other members of its gang didn't start.
    Lost, ///< The worker was lost, or never ran it.
};

constexpr RunEnd lastValue(RunEnd) { return RunEnd::Lost; }
/// Lower-case name for logs, for example "done".
const char* nameOf(RunEnd);

/// State of a job as callers see it.
enum class JobState {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

constexpr JobState lastValue(JobState) { return JobState::Cancelled; }
/// Lower-case name for answers and logs, for example "queued".
const char* nameOf(JobState);
/// True for completed, failed and cancelled jobs.
inline bool isFinal(JobState state) { return state >= JobState::Completed; }

/// Validates a specification. Returns a message about the first error, or an empty string when it is valid.
std::string validationError(const JobSpec&);

/// Critical path from the start of each step to the end of the job, by index of the step: the largest sum of estimates over
/// the steps that follow each other, this step included.
std::vector<milliseconds> criticalPathsOf(const JobSpec&);
/// Critical path of one whole occurrence.
milliseconds criticalPathOf(const JobSpec&);
/// Number of tasks of one occurrence.
unsigned taskCountOf(const JobSpec&);
/// Estimated work of one occurrence in core-milliseconds.
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
