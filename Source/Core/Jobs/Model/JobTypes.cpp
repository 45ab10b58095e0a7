#include "Jobs/Model/JobTypes.h"

#include "Jobs/Model/ValueRanges.h"

#include <algorithm>
#include <array>
#include <limits>

namespace Jobs {

namespace {

    constexpr std::size_t maximumPayloadBytes = 4000;
    constexpr std::size_t maximumSteps = 256;
    constexpr unsigned maximumTasksPerStep = 10000;

    constexpr std::array<const char*, 7> runEndNames { "done", "failed", "stopped", "lapsed", "broken", "alone", "lost" };
    constexpr std::array<const char*, 5> jobStateNames { "queued", "running", "completed", "failed", "cancelled" };

    bool isAmount(std::uint64_t it) { return it <= static_cast<std::uint64_t>(ValueRanges::maximumAmount); }

    bool isDuration(milliseconds it) { return it >= milliseconds(0) && it <= ValueRanges::maximumDuration; }

    /// True when every occurrence is due between 1970 and ValueRanges::latestTime.
    bool isScheduleInRange(const JobSpec& spec)
    {
        if (spec.firstRun < Common::WallTime() || spec.firstRun > ValueRanges::latestTime || !isDuration(spec.interval))
            return false;
        const auto later = spec.repeatCount > 0 ? spec.repeatCount - 1 : 0;
        return later == 0 || spec.interval <= (ValueRanges::latestTime - spec.firstRun) / later;
    }

    /// The product, or the largest number when that is smaller.
    std::uint64_t multiply(std::uint64_t left, std::uint64_t right)
    {
        const auto limit = std::numeric_limits<std::uint64_t>::max();
        return right != 0 && left > limit / right ? limit : left * right;
    }

    std::string validationError(const StepSpec& step, std::size_t number)
    {
        const std::string name = "step " + std::to_string(number);
        if (step.taskCount == 0)
            return name + " has no tasks";
        if (step.taskCount > maximumTasksPerStep)
            return name + " has more than " + std::to_string(maximumTasksPerStep) + " tasks";
        if (!isAmount(step.need.milliCores) || !isAmount(step.need.memoryMb) || !isAmount(step.need.accelerators))
            return name + " needs more than any worker can have";
        if (!isDuration(step.estimate) || !isDuration(step.targetLatency) || step.targetLatency > ValueRanges::maximumLatency)
            return name + " has an estimate or a target out of range";
        const auto isLater = [number](unsigned it) { return it >= number; };
        if (std::ranges::any_of(step.after, isLater))
            return name + " comes after a step that isn't before it";
        return {};
    }

} // namespace

Resources& Resources::operator+=(const Resources& it)
{
    milliCores += it.milliCores;
    memoryMb += it.memoryMb;
    accelerators += it.accelerators;
    return *this;
}

Resources& Resources::operator-=(const Resources& it)
{
    milliCores -= std::min(milliCores, it.milliCores);
    memoryMb -= std::min(memoryMb, it.memoryMb);
    accelerators -= std::min(accelerators, it.accelerators);
    return *this;
}

const char* nameOf(RunEnd end) { return runEndNames.at(static_cast<std::size_t>(end)); }

const char* nameOf(JobState state) { return jobStateNames.at(static_cast<std::size_t>(state)); }

std::string validationError(const JobSpec& spec)
{
    if (spec.payload.size() > maximumPayloadBytes)
        return "the payload is longer than " + std::to_string(maximumPayloadBytes) + " bytes";
    if (spec.steps.empty())
        return "there are no steps";
    if (spec.steps.size() > maximumSteps)
        return "there are more than " + std::to_string(maximumSteps) + " steps";
    for (std::size_t n = 0; n < spec.steps.size(); ++n) {
        if (auto fault = validationError(spec.steps[n], n); !fault.empty())
            return fault;
    }
    if (spec.repeatCount > 1 && spec.interval <= milliseconds(0))
        return "occurrences repeat without an interval";
    if (!isScheduleInRange(spec))
        return "occurrences are due out of range";
    return {};
}

std::vector<milliseconds> criticalPathsOf(const JobSpec& spec)
{
    // Steps depend only on earlier ones, so a pass from the last to the first visits each step after all that depend on it.
    std::vector<milliseconds> criticalPaths(spec.steps.size());
    for (auto n = spec.steps.size(); n-- > 0;) {
        criticalPaths[n] += spec.steps[n].estimate;
        for (const auto earlier : spec.steps[n].after)
            criticalPaths[earlier] = std::max(criticalPaths[earlier], criticalPaths[n]);
    }
    return criticalPaths;
}

milliseconds criticalPathOf(const JobSpec& spec)
{
    const auto criticalPaths = criticalPathsOf(spec);
    return criticalPaths.empty() ? milliseconds(0) : *std::ranges::max_element(criticalPaths);
}

unsigned taskCountOf(const JobSpec& spec)
{
    unsigned count = 0;
    for (const auto& it : spec.steps)
        count += it.taskCount;
    return count;
}

std::uint64_t workOf(const JobSpec& spec)
{
    constexpr std::uint64_t permille = 1000;
    std::uint64_t work = 0;
    for (const auto& it : spec.steps)
        work += multiply(it.taskCount * it.need.milliCores, static_cast<std::uint64_t>(std::max<std::int64_t>(0, it.estimate.count()))) / permille;
    return work;
}

std::string nameOfTask(const TaskKey& key) { return std::to_string(key.step) + "." + std::to_string(key.index); }

} // namespace Jobs
