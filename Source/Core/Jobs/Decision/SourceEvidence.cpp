#include "Jobs/Decision/SourceEvidence.h"

#include <cmath>

namespace Jobs {

namespace {

    constexpr std::chrono::seconds halfLife { 10 };
    constexpr double fewestCrashes = 1.5; ///< One crash tells nothing of its source.
    constexpr double boundedRate = 0.005; ///< Of starts. Where workers crash by themselves, some have a start on them as well.
    constexpr double releasedRate = 0.0025;
    constexpr double forgottenCrashes = 0.5;
    constexpr double permille = 1000;

    std::uint64_t toPermille(double it) { return static_cast<std::uint64_t>(std::llround(it * permille)); }

} // namespace

void SourceEvidence::Count::age(Common::WallTime now)
{
    if (now <= at)
        return;
    const auto passed = std::chrono::duration<double>(now - at) / std::chrono::duration<double>(halfLife);
    const auto factor = std::exp2(-passed);
    crashes *= factor;
    outlived *= factor;
    recordedCrashes *= factor;
    at = now;
}

void SourceEvidence::onOutlived(const TaskSource& source, Common::WallTime now)
{
    const auto it = m_counts.find(source);
    if (it == m_counts.end())
        return;
    it->second.age(now);
    ++it->second.outlived;
}

bool SourceEvidence::onCrash(const TaskSource& source, double weight, Common::WallTime now)
{
    auto& count = m_counts[source];
    count.age(now);
    count.crashes += weight;
    if (count.crashes < 2 * count.recordedCrashes)
        return false;
    count.recordedCrashes = count.crashes;
    return true;
}

bool SourceEvidence::isBounded(const TaskSource& source, Common::WallTime now)
{
    const auto it = m_counts.find(source);
    if (it == m_counts.end())
        return false;
    auto& count = it->second;
    count.age(now);
    if (count.crashes < forgottenCrashes) {
        if (count.isBounded || count.crashes < forgottenCrashes / 2)
            m_counts.erase(it);
        return false;
    }
    const auto rate = count.crashes / (count.crashes + count.outlived);
    count.isBounded = count.isBounded ? rate >= releasedRate : count.crashes >= fewestCrashes && rate >= boundedRate;
    return count.isBounded;
}

SourceCrashesLearnt SourceEvidence::recordOf(const TaskSource& source) const
{
    const auto it = m_counts.find(source);
    if (it == m_counts.end())
        return { source.queue, source.client, 0, 0, false, {} };
    const auto& count = it->second;
    return { source.queue, source.client, toPermille(count.crashes), toPermille(count.outlived), count.isBounded, count.at };
}

std::vector<SourceCrashesLearnt> SourceEvidence::records() const
{
    std::vector<SourceCrashesLearnt> result;
    result.reserve(m_counts.size());
    for (const auto& [source, count] : m_counts)
        result.push_back(recordOf(source));
    return result;
}

void SourceEvidence::restore(const SourceCrashesLearnt& learnt)
{
    m_counts[{ learnt.queue, learnt.client }] = { static_cast<double>(learnt.crashesPermille) / permille, static_cast<double>(learnt.outlivedPermille) / permille, learnt.at, learnt.isBounded, static_cast<double>(learnt.crashesPermille) / permille };
}

} // namespace Jobs
