#include "Jobs/Runtime/DutyRanking.h"

#include "Common/Rendezvous.h"

#include <algorithm>
#include <iterator>

namespace Jobs {

namespace {

    constexpr unsigned loadScale = 1000000; ///< Load of one duty on a thousandth of a core; keeps the comparison in whole numbers.
    constexpr unsigned overloadFactor = 2; ///< Avoids handovers for little gain: the new owner has to read the pool's journal.

    unsigned countOf(const DutyCounts& counts, const std::string& host)
    {
        const auto it = counts.find(host);
        return it == counts.end() ? 0 : it->second;
    }

    unsigned loadOf(unsigned duties, const MemberInfo& member)
    {
        return duties * loadScale / std::max(1U, member.processorMilliCores);
    }

} // namespace

std::vector<std::string> rankCandidates(const std::string& duty, const Members& members, const DutyCounts& counts, const std::string& lastHolder)
{
    std::vector<std::string> names;
    for (const auto& [host, info] : members) {
        if (!info.isLeaving)
            names.push_back(host);
    }
    auto ranked = Common::rendezvousTop(duty, names, names.size());
    const auto loadWith = [&](const std::string& host) { return loadOf(countOf(counts, host) + 1, members.at(host)); };
    std::ranges::stable_sort(ranked, [&loadWith](const auto& left, const auto& right) { return loadWith(left) < loadWith(right); });
    if (const auto last = std::ranges::find(ranked, lastHolder); last != ranked.end())
        std::rotate(ranked.begin(), last, std::next(last));
    return ranked;
}

bool isOverloaded(const std::string& host, const Members& members, const DutyCounts& counts)
{
    const auto self = members.find(host);
    if (self == members.end())
        return false;
    const auto load = loadOf(countOf(counts, host), self->second);
    return std::ranges::any_of(members, [&](const auto& it) {
        return it.first != host && !it.second.isLeaving && load > overloadFactor * loadOf(countOf(counts, it.first) + 1, it.second);
    });
}

} // namespace Jobs
