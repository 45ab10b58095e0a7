#include "Jobs/Fleet/PeakForecast.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace Jobs {

namespace {

    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    constexpr milliseconds fastTimeConstant { 350 }; ///< Detects a peak after two or three samples.
    constexpr milliseconds slowTimeConstant { 8000 }; ///< About two peaks of different pools.
    constexpr double startShare = 0.1; ///< Of the rise until its detection; less may be a load that varies.
    constexpr milliseconds riseMemory { 12000 }; ///< The start of a peak is looked for in the samples of this time.
    constexpr double risingRatio = 2.0; ///< Of the fast mean to the slow one; a peak is detected above it.
    constexpr double fallingRatio = 0.6; ///< A peak ends below it.
    constexpr double risingFloor = 24000; ///< Thousandths of cores; a single large job isn't a peak.
    constexpr double risingShare = 0.2; ///< Of the highest peak of any pool; smaller rises are single jobs.
    constexpr milliseconds longestStep { 400 }; ///< Between samples around the start; after a longer gap, the demand is taken to have risen late in it.
    constexpr double noiseShare = 0.1; ///< Of the highest peak of any pool; lower ones turn out not to have been peaks.
    constexpr milliseconds minimumGap { 2000 }; ///< About the time of a move. Pools whose peaks begin closer together don't peak in turns.
    constexpr std::size_t maximumGaps = 6;
    constexpr std::size_t maximumPeaks = 24;
    constexpr double maximumDeviation = 0.35; ///< Of the newest gap from the median gap, relative to the median.
    constexpr double peakDecay = 0.8; ///< Factor for a pool's highest peak whenever it begins another one.

    double exponentialMean(double mean, double sample, microseconds elapsed, milliseconds time)
    {
        const double share = 1 - std::exp(-static_cast<double>(elapsed.count()) / static_cast<double>(microseconds(time).count()));
        return mean + (sample - mean) * share;
    }

    microseconds medianOf(std::vector<microseconds> gaps)
    {
        std::ranges::sort(gaps);
        return gaps[gaps.size() / 2];
    }

    microseconds scaled(microseconds time, double factor) { return microseconds(std::llround(static_cast<double>(time.count()) * factor)); }

} // namespace

void PeakForecast::addSample(Pool& pool, double milliCores, Instant now)
{
    if (pool.samples.empty()) {
        // The load at the first sample isn't a rise.
        pool.fast = milliCores;
        pool.slow = milliCores;
    } else {
        const auto elapsed = now - pool.samples.back().at;
        pool.fast = exponentialMean(pool.fast, milliCores, elapsed, fastTimeConstant);
        pool.slow = exponentialMean(pool.slow, milliCores, elapsed, slowTimeConstant);
    }
    pool.samples.push_back({ now, milliCores, pool.fast });
    while (now - pool.samples.front().at > riseMemory)
        pool.samples.pop_front();
}

Instant PeakForecast::startOfRise(const Pool& pool)
{
    std::vector<double> means;
    std::ranges::transform(pool.samples, std::back_inserter(means), &Sample::mean);
    const auto base = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 4);
    std::ranges::nth_element(means, base);
    // The bound depends on the demand before the rise and on this rise, not on earlier peaks.
    const auto bound = std::max(risingRatio * *base + risingFloor, *base + startShare * (pool.fast - *base));
    auto above = pool.samples.end() - 1;
    while (above != pool.samples.begin() && (above - 1)->milliCores > bound)
        --above;
    return above == pool.samples.begin() ? above->at : std::max((above - 1)->at, above->at - longestStep);
}

void PeakForecast::observe(const std::string& name, double milliCores, Instant now)
{
    auto& pool = m_pools[name];
    addSample(pool, milliCores, now);
    const double threshold = std::max(risingRatio * pool.slow + risingFloor, risingShare * highestPeak());
    if (!pool.isPeaking && pool.fast > threshold) {
        pool.isPeaking = true;
        m_detectedAt = now;
        const auto start = startOfRise(pool);
        if (!isContinued(name, start))
            onPeakStarted(name, start);
    } else if (pool.isPeaking && pool.fast < fallingRatio * pool.slow + risingFloor / 2) {
        pool.isPeaking = false;
    }
    if (pool.isPeaking)
        updateHeight(name, pool.fast);
}

const Peak* PeakForecast::newestPeakOf(const std::string& pool) const
{
    const auto it = std::find_if(m_peaks.rbegin(), m_peaks.rend(), [&pool](const auto& peak) { return peak.pool == pool; });
    return it == m_peaks.rend() ? nullptr : &*it;
}

double PeakForecast::highestPeak() const
{
    double highest = 0;
    for (const auto& [name, pool] : m_pools) {
        if (const auto* peak = newestPeakOf(name))
            highest = std::max(highest, peak->milliCores);
    }
    return highest;
}

void PeakForecast::updateHeight(const std::string& name, double milliCores)
{
    const auto peak = std::find_if(m_peaks.rbegin(), m_peaks.rend(), [&name](const auto& it) { return it.pool == name; });
    if (peak == m_peaks.rend() || peak->milliCores >= milliCores)
        return;
    peak->milliCores = milliCores;
    // Once the height of peaks is known, one that is many times as high comes of a fault, such as a silence of the store.
    if (gaps().size() > 1)
        return;
    std::erase_if(m_peaks, [this, bound = noiseShare * highestPeak()](const auto& it) { return it.milliCores < bound && !isPeaking(it.pool); });
}

std::vector<PeakForecast::Turn> PeakForecast::turns() const
{
    std::vector<Turn> turns;
    for (const auto& it : m_peaks) {
        if (turns.empty() || it.startsAt - turns.back().startsAt >= minimumGap)
            turns.push_back({ it.startsAt, {} });
        turns.back().pools.insert(it.pool);
    }
    return turns;
}

PeakForecast::Turn PeakForecast::newestTurn() const
{
    auto all = turns();
    return all.empty() ? Turn() : std::move(all.back());
}

bool PeakForecast::hasCompletedRound() const
{
    std::map<std::string, std::size_t> newest;
    const auto all = turns();
    for (std::size_t n = 0; n < all.size(); ++n) {
        for (const auto& it : all[n].pools) {
            const auto [found, isFirst] = newest.emplace(it, n);
            if (!isFirst && n - found->second > 1)
                return true;
            found->second = n;
        }
    }
    return false;
}

std::vector<microseconds> PeakForecast::gaps() const
{
    std::vector<microseconds> gaps;
    const auto all = turns();
    for (std::size_t n = 1; n < all.size(); ++n) {
        if (all[n].pools != all[n - 1].pools)
            gaps.push_back(all[n].startsAt - all[n - 1].startsAt);
    }
    if (gaps.size() > maximumGaps)
        gaps.erase(gaps.begin(), gaps.end() - maximumGaps);
    return gaps;
}

bool PeakForecast::isContinued(const std::string& name, Instant start) const
{
    const auto known = gaps();
    return !known.empty() && m_peaks.back().pool == name && start - m_peaks.back().startsAt < scaled(medianOf(known), 1 - maximumDeviation);
}

void PeakForecast::onPeakStarted(const std::string& name, Instant start)
{
    PeakEvent event { PeakEvent::Kind::Started, name, start, m_pools[name].fast };
    if (m_announced) {
        event.expectedPool = m_announced->peak.pool;
        if (event.expectedPool == name)
            event.error = duration_cast<milliseconds>(start - m_announced->peak.startsAt);
    }
    m_announced.reset();
    const auto before = newestTurn();
    if (!before.pools.empty() && !before.pools.contains(name) && start - before.startsAt >= minimumGap)
        event.gap = duration_cast<milliseconds>(start - before.startsAt);
    const auto* earlier = newestPeakOf(name);
    addPeak({ name, start, earlier ? earlier->milliCores * peakDecay : 0 });
    m_events.push_back(std::move(event));
}

void PeakForecast::addPeak(Peak peak)
{
    m_peaks.insert(std::ranges::upper_bound(m_peaks, peak.startsAt, {}, &Peak::startsAt), std::move(peak));
    if (m_peaks.size() > maximumPeaks)
        m_peaks.pop_front();
}

void PeakForecast::inherit(const std::vector<Peak>& peaks, Instant now)
{
    for (const auto& peak : peaks) {
        const bool isKnown = std::ranges::any_of(m_peaks, [&peak](const auto& it) { return it.pool == peak.pool && std::chrono::abs(it.startsAt - peak.startsAt) < minimumGap; });
        if (!isKnown && peak.startsAt <= now)
            addPeak(peak);
    }
    m_hasInherited = m_hasInherited || !peaks.empty();
}

/// A pool whose demand is high when it is first seen is still in its newest peak, or in the expected one, which began meanwhile.
void PeakForecast::resume(const std::string& name, Pool& pool, Instant now)
{
    pool.isCompared = true;
    const auto* peak = newestPeakOf(name);
    if (pool.isPeaking || !peak || pool.fast < fallingRatio * peak->milliCores)
        return;
    const auto expected = next(now);
    pool.isPeaking = true;
    if (!expected || expected->pool != name || expected->startsAt > now)
        return;
    m_detectedAt = now;
    onPeakStarted(name, expected->startsAt);
}

std::vector<PeakEvent> PeakForecast::takeEvents(Instant now)
{
    for (auto& [name, pool] : m_pools) {
        if (m_hasInherited && !pool.isCompared)
            resume(name, pool, now);
    }
    announce(now);
    return std::exchange(m_events, {});
}

void PeakForecast::announce(Instant now)
{
    const auto expected = next(now);
    if (!expected) {
        if (m_announced && !std::exchange(m_announced->isWithdrawn, true))
            m_events.push_back({ PeakEvent::Kind::Withdrawn, m_announced->peak.pool, m_announced->peak.startsAt, m_announced->peak.milliCores, m_announced->peak.uncertainty });
        return;
    }
    const bool isKnown = m_announced && !m_announced->isWithdrawn && m_announced->peak.pool == expected->pool && m_announced->peak.startsAt == expected->startsAt;
    if (isKnown)
        return;
    m_events.push_back({ PeakEvent::Kind::Expected, expected->pool, expected->startsAt, expected->milliCores, expected->uncertainty });
    m_announced = Announcement { *expected };
}

bool PeakForecast::isPeaking(const std::string& name) const
{
    const auto it = m_pools.find(name);
    return it != m_pools.end() && it->second.isPeaking;
}

std::optional<ExpectedPeak> PeakForecast::next(Instant now) const
{
    const auto known = gaps();
    if (known.empty())
        return std::nullopt;
    const auto median = medianOf(known);
    const auto deviationOf = [median](microseconds gap) { return std::chrono::abs(gap - median); };
    if (deviationOf(known.back()) > scaled(median, maximumDeviation))
        return std::nullopt;
    const auto turn = newestTurn();
    // The pool whose latest peak is the oldest is next. A pool that hasn't peaked yet can be predicted only if it is the only one, and
    // only in the first round: one that hasn't peaked by then doesn't take turns.
    const bool isFirstRound = !hasCompletedRound();
    std::string name;
    const Peak* oldest = nullptr;
    unsigned neverPeaked = 0;
    for (const auto& [it, pool] : m_pools) {
        if (turn.pools.contains(it) || pool.isPeaking)
            continue;
        const auto* peak = newestPeakOf(it);
        if (!peak && !isFirstRound)
            continue;
        neverPeaked += peak ? 0 : 1;
        const bool isEarlier = name.empty() || (!peak && oldest) || (peak && oldest && peak->startsAt < oldest->startsAt);
        if (isEarlier) {
            oldest = peak;
            name = it;
        }
    }
    if (name.empty() || neverPeaked > 1 || turn.startsAt + median * 2 < now)
        return std::nullopt;
    const auto uncertainty = std::chrono::ceil<milliseconds>(deviationOf(std::ranges::max(known, {}, deviationOf)));
    return ExpectedPeak { name, turn.startsAt + median, oldest ? oldest->milliCores : highestPeak(), uncertainty };
}

} // namespace Jobs
