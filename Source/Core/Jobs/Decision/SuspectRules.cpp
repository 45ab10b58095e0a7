#include "Jobs/Decision/SuspectRules.h"

#include <algorithm>
#include <cmath>

namespace Jobs {

namespace {

    constexpr std::size_t minimumQuarantine = 2;
    constexpr std::size_t quarantineDivisor = 3; ///< The rest of the workers is left to tasks that aren't suspected.
    constexpr std::size_t overdueDivisor = 2; ///< Instead of the former, once a suspect is overdue.

    constexpr unsigned fewestConvicting = 2; ///< Crashes under starts that convict; the platform allows to give up a task after two.
    constexpr unsigned mostStarts = 5; ///< The platform allows two after the third crash.
    constexpr unsigned repeatedSinceProven = 3;
    constexpr double chanceFactor = 2; ///< Of the crashes that are to be expected by chance.
    constexpr unsigned mostByChance = 5; ///< A task that crashes its workers is given up in the end, however often others crash.

    constexpr milliseconds firstRestartDelay { 500 };
    constexpr milliseconds longestRestartDelay { 4000 }; ///< The platform allows 9 s without a run where there is capacity.
    constexpr unsigned mostDoublings = 3;

    /// Crashes after which a task is convicted.
    struct ConvictionLimit {
        unsigned suspected = 0; ///< As CrashTally::suspected.
        unsigned sinceProven = 0; ///< As CrashTally::sinceProven.
    };

    constexpr std::array<ConvictionLimit, 3> s_limits { { { 2, 4 }, { 3, 4 }, { 3, 5 } } }; ///< By Blame.

    bool isSuspect(const SuspectFacts& it) { return it.tally.suspected > 0; }

    bool isStrong(const SuspectFacts& it)
    {
        return isSuspect(it) && (it.tally.suspected > 1 || it.tally.sinceProven > 2 || !it.isSpaced);
    }

    constexpr SuspectRules s_rules { {
        { Suspicion::Confined, [](const auto& it) { return it.isConfined; }, { .alone = true }, true, true },
        { Suspicion::Grouped, mayJoinGroup, { .alone = true, .group = true }, false, true },
        { Suspicion::Doubtful, mayJoinDoubtful, { .alone = true, .doubtful = true }, false, true },
        { Suspicion::Strong, isStrong, { .alone = true }, false, true },
        { Suspicion::Some, isSuspect, { .spaced = true }, false, false },
        { Suspicion::None, [](const auto&) { return true; }, { .others = true }, false, false },
    } };

    std::size_t quarantineLimit(std::size_t workers, bool isOverdue)
    {
        const auto share = workers / (isOverdue ? overdueDivisor : quarantineDivisor);
        return std::max<std::size_t>(1, std::min(workers - 1, std::max(minimumQuarantine, share)));
    }

} // namespace

bool Openings::overlaps(const Openings& it) const
{
    return (others && it.others) || (spaced && it.spaced) || (alone && it.alone) || (group && it.group) || (doubtful && it.doubtful);
}

const SuspectRules& suspectRules()
{
    return s_rules;
}

const SuspectRule& ruleOf(Suspicion state)
{
    return *std::ranges::find(s_rules, state, &SuspectRule::state);
}

Suspicion suspicionOf(const SuspectFacts& facts)
{
    return std::ranges::find_if(s_rules, [&facts](const auto& it) { return it.holds(facts); })->state;
}

Suspicion placementSuspicionOf(const SuspectFacts& facts)
{
    return facts.isLasting && facts.hasWaitedTooLong() ? Suspicion::None : suspicionOf(facts);
}

Suspicion ownSuspicionOf(const SuspectFacts& facts)
{
    if (!isSuspect(facts))
        return Suspicion::None;
    return isStrong(facts) ? Suspicion::Strong : Suspicion::Some;
}

bool mayJoinGroup(const SuspectFacts& facts)
{
    return facts.isLikely && facts.hasWaitedTooLong();
}

bool mayJoinDoubtful(const SuspectFacts& facts)
{
    const bool isFirst = facts.tally.suspected == 1 && facts.tally.sinceProven == 1;
    return isFirst && facts.isDoubtful && !facts.isLikely && isStrong(facts);
}

bool isAdmitted(Suspicion state, const Openings& openings, bool isEmpty)
{
    const auto& rule = ruleOf(state);
    return rule.admittedBy.overlaps(openings) && (isEmpty || !rule.needsEmptyWorker);
}

bool maySetAside(const QuarantineUse& use, Suspicion state, bool joinsGroup)
{
    if (use.inUse + use.chosen < quarantineLimit(use.workers, use.isOverdue))
        return true;
    // However many workers have crashed, suspects are tried on one at a time. The others may join it unless it is for one alone.
    return (joinsGroup || use.isOverdue) && use.chosen == 0 && (ruleOf(state).startsAlone ? !use.isTestingAlone : !use.isTesting);
}

std::size_t doubtfulGroupSize(std::size_t waiting)
{
    // One task at most of those lost in a crash has caused it: about as many groups as tasks in each take the fewest trials (Dorfman, 1943).
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(waiting)))));
}

bool isSuspectedThoughExplained(const CrashTally& before)
{
    return before.sinceProven + 1 >= repeatedSinceProven;
}

bool isConvicted(const CrashTally& tally, Blame blame, bool isDoubtful, bool wasDoubtful)
{
    const auto& limit = s_limits.at(static_cast<std::size_t>(blame));
    return (!isDoubtful && tally.suspected >= limit.suspected + (wasDoubtful ? 1 : 0)) || tally.sinceProven >= limit.sinceProven;
}

bool isTooOften(const CrashTally& tally, double expected)
{
    return tally.unexplained >= guiltyUnexplained + std::min(mostByChance, static_cast<unsigned>(chanceFactor * expected));
}

bool isGuilty(const CrashTally& tally, bool isConvicted, double expected)
{
    const bool mayBeGuilty = tally.sinceProven >= tally.unconfirmed + fewestConvicting;
    return (isConvicted && mayBeGuilty) || tally.sinceProven >= mostStarts || isTooOften(tally, expected);
}

milliseconds restartDelay(const CrashTally& tally)
{
    const auto crashes = std::max({ tally.sinceProven, tally.unexplained, fewestConvicting });
    return std::min(longestRestartDelay, firstRestartDelay * (1 << std::min(mostDoublings, crashes - fewestConvicting)));
}

} // namespace Jobs
