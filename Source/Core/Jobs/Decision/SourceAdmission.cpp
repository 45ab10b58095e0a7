#include "Jobs/Decision/SourceAdmission.h"

#include <algorithm>
#include <utility>

namespace Jobs {

namespace {

    constexpr milliseconds window { 8000 };
    constexpr milliseconds leastEvidence { 2000 }; ///< Time within the window in which tasks waited.
    constexpr milliseconds longestSpan { 1000 }; ///< Between samples; what happened in a longer time isn't known.
    constexpr milliseconds shortestRetry { 1000 };
    constexpr milliseconds longestRetry { 15000 };

} // namespace

SourceWork& SourceWork::operator+=(const SourceWork& other)
{
    tasks += other.tasks;
    coreMilliseconds += other.coreMilliseconds;
    return *this;
}

SourceWork workOfTasks(const StepSpec& step, std::size_t count)
{
    constexpr double permille = 1000;
    const auto length = static_cast<double>(std::max<std::int64_t>(0, step.estimate.count()));
    const auto tasks = static_cast<double>(count);
    return { tasks, tasks * static_cast<double>(step.need.milliCores) / permille * length };
}

void SourceAdmission::noteEnded(const TaskSource& source, const SourceWork& work)
{
    if (const auto it = m_drains.find(source); it != m_drains.end())
        it->second.ended += work;
}

void SourceAdmission::sample(const std::set<TaskSource>& bounded, const std::set<TaskSource>& waiting, std::uint64_t capacityMilliCores, Common::Instant now)
{
    std::erase_if(m_drains, [&bounded](const auto& it) { return !bounded.contains(it.first); });
    for (const auto& source : bounded) {
        auto& drain = m_drains[source];
        const auto length = now - drain.sampledAt;
        const auto ended = std::exchange(drain.ended, {});
        if (drain.isWaiting && length <= longestSpan)
            drain.spans.push_back({ now, length, ended, m_capacity });
        while (!drain.spans.empty() && drain.spans.front().end + window < now)
            drain.spans.pop_front();
        drain.sampledAt = now;
        drain.isWaiting = waiting.contains(source);
    }
    m_capacity = static_cast<double>(capacityMilliCores);
}

bool SourceAdmission::isWaiting(const TaskSource& source) const
{
    const auto it = m_drains.find(source);
    return it != m_drains.end() && it->second.isWaiting;
}

std::optional<SourceAdmission::Length> SourceAdmission::timeFor(const Drain& drain, const SourceWork& work, milliseconds criticalPath, Common::Instant now) const
{
    Length length { 0 };
    SourceWork ended;
    double capacity = 0;
    for (const auto& it : drain.spans) {
        if (it.end + window < now)
            continue;
        length += it.length;
        ended += it.ended;
        capacity += it.capacity * it.length.count();
    }
    // Of runs that began with the measured time, few have ended within their own length.
    if (length < std::max(leastEvidence, 2 * criticalPath))
        return std::nullopt;
    // As if one more task had ended at the end of the time: where none has, one may be about to.
    const auto mean = work.tasks > 0 ? work.coreMilliseconds / work.tasks : 0;
    ended += { 1, mean };
    // Workers that have come since raise what can be done at once; those that have gone may soon be back.
    const auto meanCapacity = capacity / length.count();
    const auto growth = meanCapacity > 0 ? std::max(1.0, m_capacity / meanCapacity) : 1.0;
    // Sizes differ: only what takes too long by number and by work is sure to.
    const auto byWork = ended.coreMilliseconds > 0 ? work.coreMilliseconds / ended.coreMilliseconds : 0;
    return length * std::min(work.tasks / ended.tasks, byWork) / growth;
}

std::optional<SourceRefusal> SourceAdmission::refusalOf(const TaskSource& source, const SourceRequest& request, Common::Instant now)
{
    const auto it = m_drains.find(source);
    if (it == m_drains.end() || !it->second.isWaiting)
        return std::nullopt;
    auto& drain = it->second;
    const auto aheadTime = timeFor(drain, request.ahead, request.criticalPath, now);
    const auto ownTime = timeFor(drain, request.own, request.criticalPath, now);
    if (!aheadTime || !ownTime)
        return std::nullopt;
    const auto expected = *aheadTime + std::max<Length>(request.criticalPath, *ownTime);
    if (expected <= request.usefulFor)
        return std::nullopt;
    // Callers come back one after the other, as fast as their work can be done, so that they find the room that they wait for.
    const auto cap = [](Length length) { return std::chrono::ceil<milliseconds>(std::min<Length>(length, longestRetry)); };
    const auto shrunkAt = now + cap(expected - request.usefulFor);
    const auto returnAt = std::clamp(std::max(shrunkAt, drain.nextReturn), now + shortestRetry, now + longestRetry);
    drain.nextReturn = returnAt + cap(*ownTime);
    constexpr std::chrono::hours longestExpected { 24 };
    return SourceRefusal { std::chrono::ceil<milliseconds>(std::min<Length>(expected, longestExpected)), std::chrono::ceil<milliseconds>(returnAt - now) };
}

} // namespace Jobs
