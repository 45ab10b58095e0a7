#include "Jobs/Decision/WorkerDemand.h"

#include "Jobs/Decision/Placement.h"

#include <algorithm>
#include <limits>

namespace Jobs {

namespace {

    constexpr std::size_t maximumSteps = 100; ///< Steps looked at for one report. Bounds its time.
    constexpr std::size_t maximumDemands = 16; ///< Bounds the size of a report.

    bool matches(const WorkerEntry& entry, const std::string& label, const std::string& rack)
    {
        return (label.empty() || entry.hasLabel(label)) && (rack.empty() || entry.rack == rack);
    }

    /// Number of tasks that fit into the room.
    std::uint64_t fitting(const Resources& need, const Resources& room)
    {
        const auto count = [](std::uint64_t each, std::uint64_t of) { return each == 0 ? std::numeric_limits<std::uint64_t>::max() : of / each; };
        return std::min({ count(need.milliCores, room.milliCores), count(need.memoryMb, room.memoryMb), count(need.accelerators, room.accelerators) });
    }

    std::uint64_t divideUp(std::uint64_t number, std::uint64_t by) { return number / by + (number % by > 0 ? 1 : 0); }

} // namespace

DemandCounter::DemandCounter(const std::map<std::string, Worker>& workers)
    : m_stepsLeft(maximumSteps)
{
    for (const auto& [id, worker] : workers) {
        if (!worker.isListed || worker.isCordoned || worker.entry.state != WorkerEntry::State::Ready)
            continue;
        Place place { &worker, worker.entry.capacity };
        for (const auto& [key, run] : worker.runs) {
            if (run.isLasting)
                place.room -= run.reserved;
        }
        m_places.push_back(place);
        const auto& capacity = worker.entry.capacity;
        m_largestCapacity = { std::max(m_largestCapacity.milliCores, capacity.milliCores), std::max(m_largestCapacity.memoryMb, capacity.memoryMb), std::max(m_largestCapacity.accelerators, capacity.accelerators) };
    }
}

bool DemandCounter::isNeededFor(const StepSpec& spec, const std::string& rack)
{
    return spec.isLasting || spec.maximumPerWorker > 0 || spec.need.accelerators > 0 || !spec.requiredLabel.empty() || !rack.empty();
}

std::uint64_t DemandCounter::workersFor(const DemandingStep& step) const
{
    const auto need = reservedBy(step.spec);
    const std::uint64_t limit = step.spec.maximumPerWorker > 0 ? step.spec.maximumPerWorker : std::numeric_limits<unsigned>::max();
    std::uint64_t matching = 0;
    std::uint64_t full = 0;
    std::uint64_t free = 0;
    for (const auto& it : m_places) {
        if (!matches(it.worker->entry, step.spec.requiredLabel, step.rack) || !need.fitsInto(it.worker->entry.capacity))
            continue;
        const auto placed = step.placed.find(it.worker->entry.id);
        const std::uint64_t taken = placed == step.placed.end() ? 0 : placed->second;
        // What is free for the step's short tasks includes what its placed ones occupy.
        const auto counted = step.spec.isLasting ? 0 : taken;
        const auto fits = fitting(need, it.room);
        const auto slots = std::min(limit - std::min(limit, taken), fits - std::min(fits, counted));
        ++matching;
        full += slots == 0 ? 1 : 0;
        free += slots;
    }
    const auto each = std::max<std::uint64_t>(1, std::min(limit, m_places.empty() ? limit : fitting(need, m_largestCapacity)));
    if (step.waiting > free)
        return matching + divideUp(step.waiting - free, each);
    return full + std::min(matching - full, divideUp(step.waiting, each));
}

void DemandCounter::add(const DemandingStep& step)
{
    if (m_stepsLeft == 0)
        return;
    --m_stepsLeft;
    const auto need = reservedBy(step.spec);
    const auto [it, isNew] = m_demands.try_emplace({ step.spec.requiredLabel, step.rack, need.milliCores, need.memoryMb, need.accelerators });
    auto& demand = it->second;
    if (isNew) {
        demand.label = step.spec.requiredLabel;
        demand.rack = step.rack;
        demand.need = need;
    }
    const bool isRestricted = !demand.label.empty() || !demand.rack.empty();
    if (isNew && isRestricted) {
        for (const auto& place : m_places) {
            if (!matches(place.worker->entry, demand.label, demand.rack))
                continue;
            const auto reserved = place.worker->reserved();
            demand.milliCores += reserved.milliCores;
            demand.memoryMb += reserved.memoryMb;
        }
    }
    if (isRestricted) {
        demand.milliCores += step.waiting * need.milliCores;
        demand.memoryMb += step.waiting * need.memoryMb;
    }
    demand.workers = std::max(demand.workers, workersFor(step));
}

std::vector<WorkerDemand> DemandCounter::result() const
{
    std::vector<WorkerDemand> demands;
    demands.reserve(m_demands.size());
    for (const auto& [key, it] : m_demands)
        demands.push_back(it);
    std::ranges::stable_sort(demands, std::greater<>(), &WorkerDemand::workers);
    demands.resize(std::min(demands.size(), maximumDemands));
    return demands;
}

} // namespace Jobs
