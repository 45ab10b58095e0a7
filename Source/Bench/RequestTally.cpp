#include "RequestTally.h"

#include <algorithm>

namespace RequestBench {

using namespace std::chrono_literals;

namespace {

    constexpr Duration binLength = 250ms;
    constexpr Duration quickRefusal = 5ms;
    constexpr double neverStarted = 60; ///< Seconds.

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

    double busiestAfterPeak(const std::vector<unsigned>& first, const std::vector<unsigned>& returning)
    {
        unsigned most = 0;
        for (auto bin = static_cast<std::size_t>(peakEnd / binLength); bin < std::max(first.size(), returning.size()); ++bin)
            most = std::max(most, (bin < first.size() ? first[bin] : 0) + (bin < returning.size() ? returning[bin] : 0));
        return most;
    }

} // namespace

Tally::Tally(std::vector<Want> wants)
    : m_wants(std::move(wants))
    , m_states(m_wants.size())
    , m_asking(teamProfiles().size())
    , m_wanting(teamProfiles().size())
{
}

double Tally::usable(const std::vector<unsigned>& byTeam) const
{
    unsigned slots = 0;
    for (std::size_t i = 0; i < byTeam.size(); ++i)
        slots += std::min(byTeam[i], teamProfiles()[i].slotQuota);
    return std::min(slots, m_soundSlots);
}

void Tally::advance(Duration now)
{
    const double length = seconds(now - m_last);
    m_allowedAsking += length * usable(m_asking);
    m_allowedWanting += length * usable(m_wanting);
    m_allowedPeak += overlapWithPeak(m_last, now) * m_soundSlots;
    m_last = now;
}

void Tally::move(Duration now, std::size_t want, Stage to)
{
    advance(now);
    State& state = m_states[want];
    const auto team = m_wants[want].team;
    const auto wants = [](Stage stage) { return stage == Stage::Asking || stage == Stage::Away; };
    m_asking[team] -= state.stage == Stage::Asking ? 1 : 0;
    m_wanting[team] -= wants(state.stage) ? 1 : 0;
    m_asking[team] += to == Stage::Asking ? 1 : 0;
    m_wanting[team] += wants(to) ? 1 : 0;
    state.stage = to;
}

void Tally::asked(Duration now, std::size_t want, bool first)
{
    move(now, want, Stage::Asking);
    count(first ? m_firstBins : m_returnBins, now);
}

void Tally::waitsToReturn(Duration now, std::size_t want) { move(now, want, Stage::Away); }

void Tally::started(Duration now, std::size_t want)
{
    State& state = m_states[want];
    if (!state.started)
        state.firstStart = now;
    state.started = true;
}

void Tally::ended(Duration now, std::size_t want, bool useful, Duration runBegin, Duration runEnd)
{
    move(now, want, Stage::Over);
    m_states[want].useful = useful;
    if (!useful)
        return;
    m_useful += seconds(runEnd - runBegin);
    m_usefulPeak += overlapWithPeak(runBegin, runEnd);
}

void Tally::answeredAfter(Duration deadline, Duration now)
{
    counts.latestAnswer = std::max(counts.latestAnswer, seconds(now - deadline) * 1000);
}

void Tally::refused(Duration asked, Duration now)
{
    ++m_refusals;
    m_quickRefusals += now - asked <= quickRefusal ? 1 : 0;
}

void Tally::cancelledWork(Duration begin, Duration end)
{
    m_allowedAsking -= seconds(end - begin);
    m_allowedWanting -= seconds(end - begin);
    m_allowedPeak -= overlapWithPeak(begin, end);
}

void Tally::overCommit(bool afterDeath) { ++(afterDeath ? counts.overCommittedAfterDeath : counts.overCommitted); }

void Tally::soundSlots(Duration now, unsigned slots)
{
    advance(now);
    m_soundSlots = slots;
}

void Tally::parked(std::size_t requests) { counts.longestParked = std::max(counts.longestParked, static_cast<double>(requests)); }

double Tally::urgentPercentile(double share, double& unstarted) const
{
    std::vector<double> waits;
    double never = 0;
    for (std::size_t i = 0; i < m_wants.size(); ++i) {
        const Want& want = m_wants[i];
        const State& state = m_states[i];
        if (want.rank != 0 || want.at < peakBegin || want.at >= peakEnd)
            continue;
        if (!state.started && want.cancelAt > 0us)
            continue;
        never += state.started ? 0 : 1;
        waits.push_back(state.started ? seconds(state.firstStart - want.at) : neverStarted);
    }
    if (waits.empty())
        return 0;
    std::sort(waits.begin(), waits.end());
    unstarted = never / static_cast<double>(waits.size());
    return waits[static_cast<std::size_t>(share * static_cast<double>(waits.size() - 1))];
}

Figures Tally::figures() const
{
    Figures all = counts;
    all.peakGoodput = m_usefulPeak / m_allowedPeak;
    all.askedGoodput = m_useful / m_allowedAsking;
    all.wantedGoodput = m_useful / m_allowedWanting;
    all.urgentStart99 = urgentPercentile(0.99, all.urgentUnstarted);
    all.returnPeak = busiest(m_returnBins) / busiest(m_firstBins);
    all.secondPeak = busiestAfterPeak(m_firstBins, m_returnBins) / busiest(m_firstBins);
    all.refusals = m_refusals;
    all.refusedQuickly = m_refusals > 0 ? m_quickRefusals / m_refusals : 1;
    double useful = 0;
    double considered = 0;
    for (std::size_t i = 0; i < m_wants.size(); ++i) {
        considered += m_wants[i].cancelAt > 0us ? 0 : 1;
        useful += m_states[i].useful && m_wants[i].cancelAt == 0us ? 1 : 0;
    }
    all.served = useful / considered;
    return all;
}

} // namespace RequestBench
