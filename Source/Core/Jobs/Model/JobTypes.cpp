#include "Jobs/Model/JobTypes.h"

#include <algorithm>
#include <array>

namespace Jobs {

namespace {

    constexpr std::size_t maximumPayloadBytes = 4000;
    constexpr std::size_t maximumSteps = 256;
    constexpr unsigned maximumTasksPerStep = 10000;

    constexpr std::array<const char*, 7> runEndNames { "done", "failed", "stopped", "lapsed", "broken", "alone", "lost" };
    constexpr std::array<const char*, 5> jobStateNames { "queued", "running", "completed", "failed", "cancelled" };

    std::string validationError(const StepSpec& step, std::size_t number)
    {
        const std::string name = "step " + std::to_string(number);
        if (step.taskCount == 0)
            return name + " has no tasks";
        if (step.taskCount > maximumTasksPerStep)
            return name + " has more than " + std::to_string(maximumTasksPerStep) + " tasks";
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
        work += it.taskCount * it.need.milliCores * static_cast<std::uint64_t>(std::max<std::int64_t>(0, it.estimate.count())) / permille;
    return work;
}

} // namespace Jobs
