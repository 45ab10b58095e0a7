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

    constexpr std::array<ConvictionLimit, 3> convictionLimits { { { 2, 4 }, { 3, 4 }, { 3, 5 } } }; ///< By Blame.

    bool isSuspect(const SuspectFacts& it) { return it.tally.suspected > 0; }

    bool isStrong(const SuspectFacts& it)
    {
        return isSuspect(it) && (it.tally.suspected > 1 || it.tally.sinceProven > 2 || !it.isSpaced);
    }

    /// A likely suspect that has waited too long for a worker of its own may start together with others like it.
    bool isGrouped(const SuspectFacts& it) { return it.isLikely && it.hasWaitedTooLong(); }

    /// A suspect that may not even have started on the worker that crashed. Most of these are innocent, so that several are tried together;
    /// those of a group that crashes its worker are then tried one by one.
    bool isDoubtful(const SuspectFacts& it)
    {
        const bool isFirst = it.tally.suspected == 1 && it.tally.sinceProven == 1;
        return isFirst && it.isDoubtful && !it.isLikely && isStrong(it);
    }

    constexpr Openings anyWorker { true, true, true, true, true, true };

    constexpr SuspectRules rulesInOrder { {
        { Suspicion::Confined, [](const auto& it) { return it.isConfined; }, { .alone = true, .confined = true }, { .alone = true, .confined = true }, true, true, false },
        { Suspicion::Grouped, isGrouped, { .alone = true, .group = true }, { .group = true }, false, true, true },
        { Suspicion::Doubtful, isDoubtful, { .alone = true, .doubtful = true }, { .alone = true, .doubtful = true }, false, true, true },
        { Suspicion::Strong, isStrong, { .alone = true }, anyWorker, false, true, false },
        { Suspicion::Some, isSuspect, { .spaced = true }, anyWorker, false, false, false },
        { Suspicion::None, [](const auto&) { return true; }, { .others = true }, anyWorker, false, false, false },
    } };

    std::size_t quarantineLimit(std::size_t workers, bool isOverdue)
    {
        const auto share = workers / (isOverdue ? overdueDivisor : quarantineDivisor);
        return std::max<std::size_t>(1, std::min(workers - 1, std::max(minimumQuarantine, share)));
    }

} // namespace

const SuspectRules& suspectRules()
{
    return rulesInOrder;
}

const SuspectRule& ruleOf(Suspicion state)
{
    return *std::ranges::find(rulesInOrder, state, &SuspectRule::state);
}

Suspicion suspicionOf(const SuspectFacts& facts)
{
    return std::ranges::find_if(rulesInOrder, [&facts](const auto& it) { return it.holds(facts); })->state;
}

Suspicion placementSuspicionOf(const SuspectFacts& facts)
{
    return facts.isLasting && facts.hasWaitedTooLong() ? Suspicion::None : suspicionOf(facts);
}

Suspicion startSuspicionOf(const SuspectFacts& facts, const Openings& openings, bool isEmpty)
{
    const auto isKept = [&](const SuspectRule& it) { return it.keptOn.overlaps(openings) && it.allowsRunsOn(openings, isEmpty); };
    return std::ranges::find_if(rulesInOrder, [&](const auto& it) { return it.holds(facts) && isKept(it); })->state;
}

bool maySetAside(const QuarantineUse& use, Suspicion state)
{
    if (use.inUse + use.chosen < quarantineLimit(use.workers, use.isOverdue))
        return true;
    // However many workers have crashed, suspects are tried on one at a time. The others may join it unless it is for one alone.
    return (state == Suspicion::Grouped || use.isOverdue) && use.chosen == 0 && (ruleOf(state).startsAlone ? !use.isTestingAlone : !use.isTesting);
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
    const auto& limit = convictionLimits.at(static_cast<std::size_t>(blame));
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
