#include "Jobs/Decision/CrashEvidence.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace Jobs {

namespace {

    constexpr milliseconds timingError { 12 }; ///< Of the times of starts and crashes, as their owner sees them.
    constexpr milliseconds unlearntSpacing { 50 };
    constexpr milliseconds longestSpacing { 100 };
    constexpr std::chrono::seconds spacedFor { 10 }; ///< After the latest crash that a task may explain.
    constexpr std::size_t learntAges = 8;
    constexpr std::chrono::minutes historyLength { 10 };
    constexpr std::size_t maximumCrashes = 1000;

    bool isSameSuspect(const CrashWitness& left, const CrashWitness& right)
    {
        const auto stepOf = [](const CrashWitness& it) { return std::tie(it.task.job, it.task.occurrence, it.task.step); };
        return left.task == right.task || (left.isGang && right.isGang && stepOf(left) == stepOf(right));
    }

} // namespace

std::vector<CrashVerdict> judgeCrash(const std::vector<CrashWitness>& witnesses, bool crashesByItself, milliseconds window)
{
    const auto isRecent = [&](const CrashWitness& it) { return !it.isProven && (it.isDoubtful ? it.isUnconfirmed && window > milliseconds(0) : it.age < window); };
    const bool hasRecent = std::ranges::any_of(witnesses, isRecent);
    const auto isCrashedAgain = [](const CrashWitness& it) { return !it.isProven && !it.isDoubtful && isSuspectedThoughExplained(it.tally); };
    const auto isPresumed = [&](const CrashWitness& it) { return hasRecent ? isRecent(it) : !it.isProven; };
    const auto first = std::ranges::find_if(witnesses, isPresumed);
    const bool isAlone = std::ranges::all_of(witnesses, [&](const auto& it) { return !isPresumed(it) || isSameSuspect(it, *first); });
    const bool isGroup = std::ranges::all_of(witnesses, [&](const auto& it) { return !isPresumed(it) || it.isLikely; });
    const bool blamesBystanders = first == witnesses.end() && !crashesByItself;
    std::vector<CrashVerdict> verdicts;
    verdicts.reserve(witnesses.size());
    for (const auto& it : witnesses) {
        const bool isExplained = hasRecent && !isRecent(it);
        if (it.wasStopped) {
            verdicts.push_back({ .tally = it.tally, .isExcuse = isPresumed(it) });
            continue;
        }
        CrashVerdict verdict { it.tally, isPresumed(it) || (isExplained && isCrashedAgain(it)) };
        verdict.isExcuse = it.isConfined;
        auto& tally = verdict.tally;
        bool convictsNow = false;
        const bool isNearStart = verdict.isSuspect || (isExplained && !it.isProven && !it.isDoubtful);
        tally.unexplained += convicts(it.start) && (verdict.isSuspect || blamesBystanders) ? 1 : 0;
        tally.sinceProven += isNearStart ? 1 : 0;
        tally.unconfirmed += isNearStart && !convicts(it.start) ? 1 : 0;
        if (verdict.isSuspect) {
            tally.suspected = it.isDoubtful ? std::max(tally.suspected, 1U) : tally.suspected + 1;
            verdict.isExplanation = !it.isDoubtful && isAlone && !isExplained;
            const auto blame = (isAlone || isGroup) && !crashesByItself ? Blame::Sole : Blame::Shared;
            convictsNow = isConvicted(tally, isExplained ? Blame::Explained : blame, it.isDoubtful, it.wasDoubtful);
        }
        const bool isFound = verdict.isSuspect ? isGuilty(tally, convictsNow, it.expected) : isTooOften(tally, it.expected);
        (it.isLasting ? verdict.isConfined : verdict.isGuilty) = isFound;
        verdicts.push_back(verdict);
    }
    return verdicts;
}

void StartSpacing::learn(milliseconds age)
{
    if (m_ages.size() >= learntAges)
        m_ages.pop_front();
    m_ages.push_back(age);
}

milliseconds StartSpacing::at(Common::Instant now) const
{
    if (m_latestCrash == Common::Instant() || now - m_latestCrash > spacedFor)
        return milliseconds(0);
    if (m_ages.empty())
        return unlearntSpacing;
    const auto spacing = std::ranges::max(m_ages) + 2 * timingError;
    return spacing <= longestSpacing ? spacing : milliseconds(0);
}

milliseconds StartSpacing::window(Common::Instant now) const
{
    const auto spacing = at(now);
    return m_ages.empty() || spacing == milliseconds(0) ? milliseconds(0) : spacing - timingError;
}

std::uint64_t CrashHistory::add(const std::string& machine, Witnesses witnesses, bool isTest, Common::Instant now, bool isExcused, std::size_t otherMachines)
{
    if (isTest)
        m_tests.push_back(now);
    if (m_tests.size() > maximumCrashes)
        m_tests.pop_front();
    if (m_crashes.size() >= maximumCrashes)
        m_crashes.pop_front();
    m_crashes.push_back({ ++m_lastNumber, machine, std::move(witnesses), now, isExcused, otherMachines });
    return m_lastNumber;
}

void CrashHistory::excuse(std::uint64_t crash)
{
    const auto it = std::ranges::find(m_crashes, crash, &Crash::number);
    if (it == m_crashes.end())
        return;
    it->isExcused = true;
    it->witnesses.clear();
}

std::set<TaskKey> CrashHistory::acquit(const TaskKey& task)
{
    std::set<TaskKey> bystanders;
    for (auto& it : m_crashes) {
        if (it.witnesses.erase(task) == 0 || !it.isByItself())
            continue;
        for (auto& [other, growth] : it.witnesses) {
            if (growth.unconfirmed == 0 && growth.unexplained++ == 0)
                bystanders.insert(other);
        }
    }
    return bystanders;
}

bool CrashHistory::Crash::hasSuspects() const
{
    return std::ranges::any_of(witnesses, [](const auto& it) { return it.second.suspected > 0; });
}

CrashHistory::Witnesses CrashHistory::convict(const TaskKey& task)
{
    Witnesses exonerated;
    std::erase_if(m_crashes, [&](const Crash& crash) {
        const auto found = crash.witnesses.find(task);
        if (found == crash.witnesses.end() || (found->second.suspected == 0 && found->second.unexplained == 0))
            return false;
        for (const auto& [other, growth] : crash.witnesses) {
            exonerated[other].unexplained += growth.unexplained;
            exonerated[other].suspected += growth.suspected;
        }
        return true;
    });
    exonerated.erase(task);
    return exonerated;
}

bool CrashHistory::crashedByItself(const std::string& machine) const
{
    return !machine.empty() && std::ranges::any_of(m_crashes, [&](const auto& it) { return it.machine == machine && it.isByItself(); });
}

std::size_t CrashHistory::countOf(const std::string& machine) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_crashes, [&](const auto& it) { return it.machine == machine && it.isCounted(); }));
}

std::unordered_map<std::string_view, CrashHistory::MachineCrashes> CrashHistory::byMachine() const
{
    std::unordered_map<std::string_view, MachineCrashes> result;
    for (const auto& it : m_crashes) {
        auto& crashes = result[it.machine];
        crashes.count += it.isCounted() ? 1 : 0;
        crashes.isByItself = crashes.isByItself || (!it.machine.empty() && it.isByItself());
    }
    return result;
}

std::size_t CrashHistory::countOfTests(Common::Instant since) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_tests, [since](const auto& it) { return it >= since; }));
}

double CrashHistory::expectedOf(const TaskKey& task, unsigned unexplained) const
{
    if (unexplained + 1 < guiltyUnexplained)
        return 0;
    std::vector<const Crash*> elsewhere;
    std::map<TaskKey, unsigned> crashesUnder;
    unsigned counted = 0;
    for (auto it = m_crashes.rbegin(); it != m_crashes.rend() && counted < unexplained; ++it) {
        const auto found = it->witnesses.find(task);
        if (found != it->witnesses.end())
            counted += found->second.unexplained > 0 ? 1 : 0;
        else if (it->isByItself())
            elsewhere.push_back(&*it);
    }
    for (const auto* crash : elsewhere) {
        for (const auto& [other, growth] : crash->witnesses)
            ++crashesUnder[other];
    }
    const auto isRepeated = [&](const auto& it) { return crashesUnder.at(it.first) + 1 >= unexplained; };
    double expected = 0;
    for (const auto* crash : elsewhere) {
        if (crash->otherMachines > 0 && std::ranges::none_of(crash->witnesses, isRepeated))
            expected += 1 / static_cast<double>(crash->otherMachines);
    }
    return expected;
}

bool CrashHistory::isWitness(const std::string& machine, const TaskKey& task) const
{
    return !machine.empty() && std::ranges::any_of(m_crashes, [&](const auto& it) { return it.machine == machine && it.witnesses.contains(task); });
}

void CrashHistory::forget(Common::Instant now)
{
    while (!m_crashes.empty() && now - m_crashes.front().at > historyLength)
        m_crashes.pop_front();
    while (!m_tests.empty() && now - m_tests.front() > historyLength)
        m_tests.pop_front();
}

} // namespace Jobs
