#include "RequestTally.h"

#include <algorithm>

namespace RequestBench {

using namespace std::chrono_literals;

namespace {

    constexpr Duration binLength = 250ms;
    constexpr Duration quickRefusal = 5ms;
    constexpr double neverStartedSeconds = 60; ///< Wait that counts for operations that never started.

    double seconds(Duration it) { return std::chrono::duration<double>(it).count(); }

    double overlapWithPeak(Duration begin, Duration end)
    {
        return seconds(std::max(Duration(0), std::min(end, peakEnd) - std::max(begin, peakBegin)));
    }

    void count(std::vector<unsigned>& bins, Duration now)
    {
        const auto bin = static_cast<std::size_t>(now / binLength);
        if (bins.size() <= bin)
            bins.resize(bin + 1);
        ++bins[bin];
    }

    double busiest(const std::vector<unsigned>& bins)
    {
        return bins.empty() ? 0 : *std::max_element(bins.begin(), bins.end());
    }

    double busiestAfterPeak(const std::vector<unsigned>& first, const std::vector<unsigned>& retries)
    {
        unsigned most = 0;
        for (auto bin = static_cast<std::size_t>(peakEnd / binLength); bin < std::max(first.size(), retries.size()); ++bin)
            most = std::max(most, (bin < first.size() ? first[bin] : 0) + (bin < retries.size() ? retries[bin] : 0));
        return most;
    }

} // namespace

Tally::Tally(std::vector<Operation> operations)
    : m_operations(std::move(operations))
    , m_states(m_operations.size())
    , m_openByTeam(teamProfiles().size())
    , m_unfinishedByTeam(teamProfiles().size())
{
}

double Tally::usableSlots(const std::vector<unsigned>& byTeam) const
{
    unsigned slots = 0;
    for (std::size_t i = 0; i < byTeam.size(); ++i)
        slots += std::min(byTeam[i], teamProfiles()[i].slotQuota);
    return std::min(slots, m_healthySlots);
}

void Tally::advance(Duration now)
{
    const double length = seconds(now - m_last);
    m_openSlotTime += length * usableSlots(m_openByTeam);
    m_unfinishedSlotTime += length * usableSlots(m_unfinishedByTeam);
    m_peakSlotTime += overlapWithPeak(m_last, now) * m_healthySlots;
    m_last = now;
}

void Tally::setStage(Duration now, std::size_t operation, Stage to)
{
    advance(now);
    State& state = m_states[operation];
    const auto team = m_operations[operation].team;
    const auto isUnfinished = [](Stage stage) { return stage == Stage::Open || stage == Stage::AwaitingRetry; };
    m_openByTeam[team] -= state.stage == Stage::Open ? 1 : 0;
    m_unfinishedByTeam[team] -= isUnfinished(state.stage) ? 1 : 0;
    m_openByTeam[team] += to == Stage::Open ? 1 : 0;
    m_unfinishedByTeam[team] += isUnfinished(to) ? 1 : 0;
    state.stage = to;
}

void Tally::submitted(Duration now, std::size_t operation, bool first)
{
    setStage(now, operation, Stage::Open);
    count(first ? m_firstBins : m_retryBins, now);
}

void Tally::awaitsRetry(Duration now, std::size_t operation) { setStage(now, operation, Stage::AwaitingRetry); }

void Tally::started(Duration now, std::size_t operation)
{
    State& state = m_states[operation];
    if (!state.started)
        state.firstStart = now;
    state.started = true;
}

void Tally::ended(Duration now, std::size_t operation, bool useful, Duration runBegin, Duration runEnd)
{
    setStage(now, operation, Stage::Finished);
    m_states[operation].useful = useful;
    if (!useful)
        return;
    m_usefulSlotTime += seconds(runEnd - runBegin);
    m_usefulPeakSlotTime += overlapWithPeak(runBegin, runEnd);
}

void Tally::answered(Duration deadline, Duration now)
{
    counts.latestAnswer = std::max(counts.latestAnswer, seconds(now - deadline) * 1000);
}

void Tally::refused(Duration submittedAt, Duration now)
{
    ++m_refusals;
    m_quickRefusals += now - submittedAt <= quickRefusal ? 1 : 0;
}

void Tally::excludeCancelled(Duration begin, Duration end)
{
    m_openSlotTime -= seconds(end - begin);
    m_unfinishedSlotTime -= seconds(end - begin);
    m_peakSlotTime -= overlapWithPeak(begin, end);
}

void Tally::countOverCommitted(bool afterDeath) { ++(afterDeath ? counts.overCommittedAfterDeath : counts.overCommitted); }

void Tally::setHealthySlots(Duration now, unsigned slots)
{
    advance(now);
    m_healthySlots = slots;
}

void Tally::recordParked(std::size_t requests) { counts.mostParked = std::max(counts.mostParked, static_cast<double>(requests)); }

double Tally::urgentPercentile(double share, double& unstarted) const
{
    std::vector<double> waits;
    double unstartedCount = 0;
    for (std::size_t i = 0; i < m_operations.size(); ++i) {
        const Operation& operation = m_operations[i];
        const State& state = m_states[i];
        if (operation.rank != 0 || operation.at < peakBegin || operation.at >= peakEnd)
            continue;
        if (!state.started && operation.cancelAt > 0us)
            continue;
        unstartedCount += state.started ? 0 : 1;
        waits.push_back(state.started ? seconds(state.firstStart - operation.at) : neverStartedSeconds);
    }
    if (waits.empty())
        return 0;
    std::sort(waits.begin(), waits.end());
    unstarted = unstartedCount / static_cast<double>(waits.size());
    return waits[static_cast<std::size_t>(share * static_cast<double>(waits.size() - 1))];
}

Figures Tally::figures() const
{
    Figures all = counts;
    all.peakGoodput = m_usefulPeakSlotTime / m_peakSlotTime;
    all.askedGoodput = m_usefulSlotTime / m_openSlotTime;
    all.wantedGoodput = m_usefulSlotTime / m_unfinishedSlotTime;
    all.urgentStart99 = urgentPercentile(0.99, all.urgentUnstarted);
    all.returnPeak = busiest(m_retryBins) / busiest(m_firstBins);
    all.secondPeak = busiestAfterPeak(m_firstBins, m_retryBins) / busiest(m_firstBins);
    all.refusals = m_refusals;
    all.refusedQuickly = m_refusals > 0 ? m_quickRefusals / m_refusals : 1;
    double useful = 0;
    double considered = 0;
    for (std::size_t i = 0; i < m_operations.size(); ++i) {
        considered += m_operations[i].cancelAt > 0us ? 0 : 1;
        useful += m_states[i].useful && m_operations[i].cancelAt == 0us ? 1 : 0;
    }
    all.served = useful / considered;
    return all;
}

} // namespace RequestBench
