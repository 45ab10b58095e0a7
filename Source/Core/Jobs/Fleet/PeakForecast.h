#pragma once

/// Forecast of which pool peaks next, for loads in which the demand of one pool after the other rises to several times its mean. A
/// move takes a large part of a peak's duration, so machines have to arrive as it begins. Does no I/O and reads no clock.

#include "Common/Time.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Jobs {

using Common::Instant;

/// An expected peak.
struct ExpectedPeak {
    std::string pool;
    Instant startsAt {};
    /// Highest demand of the pool's earlier peaks, which decays from peak to peak; for a pool without peaks, that of any pool.
    double milliCores = 0;
    std::chrono::milliseconds uncertainty { 0 }; ///< Largest deviation of the gaps between peaks from their median; zero while only one is known.
};

/// What the forecast has found out, for the log.
struct PeakEvent {
    enum class Kind {
        Started, ///< A peak was detected.
        Expected, ///< Another peak is expected than before.
        Withdrawn, ///< No peak is expected any more, as the expected one is overdue or the gaps are irregular.
    };
    Kind kind = Kind::Started;
    std::string pool;
    Instant startsAt {};
    double milliCores = 0;
    std::chrono::milliseconds uncertainty { 0 }; ///< Of an expected peak.
    std::optional<std::chrono::milliseconds> gap {}; ///< From the peak before, of another pool, to the one that started.
    std::string expectedPool {}; ///< Pool that was expected to peak when this one started; empty for none.
    std::optional<std::chrono::milliseconds> error {}; ///< How much later than expected the peak started.
};

/// A peak of a pool.
struct Peak {
    std::string pool;
    Instant startsAt {}; ///< When the demand began to rise.
    double milliCores = 0; ///< Highest demand, or that of the pool's peak before with decay, if that is more.
};

/// Detects peaks in samples of each pool's demand, and predicts the next one from the gaps between them. Peaks of several pools that
/// start together form one turn.
class PeakForecast {
public:
    /// Adds a sample of a pool's demand: busy and waiting cores, in thousandths. Samples of a pool must come in order of time.
    void observe(const std::string& pool, double milliCores, Instant now);
    /// The next expected peak, of a pool that isn't peaking: the one whose turn is the longest ago. Nothing when the gaps between peaks are too irregular, when it isn't
    /// clear which pool is next, or when the peak is overdue by a whole median gap.
    std::optional<ExpectedPeak> next(Instant now) const;
    /// False for unknown pools.
    bool isPeaking(const std::string& pool) const;
    /// Start of the newest turn; the clock's epoch if there was none.
    Instant newestStart() const { return newestTurn().startsAt; }
    /// When the newest peak was detected, which is after its start; the clock's epoch if there was none.
    Instant newestDetection() const { return m_detectedAt; }
    /// Events since the last call, in order. Call it once all pools are observed.
    std::vector<PeakEvent> takeEvents(Instant now);
    /// Peaks by start, for the next holder of the duty.
    std::vector<Peak> peaks() const { return { m_peaks.begin(), m_peaks.end() }; }
    /// Adds peaks that an earlier holder of the duty detected.
    void inherit(const std::vector<Peak>&, Instant now);

private:
    struct Sample {
        Instant at {};
        double milliCores = 0;
        double mean = 0; ///< Pool::fast with this sample.
    };

    struct Pool {
        double fast = 0; ///< Exponential mean of the demand over fastTimeConstant, in thousandths of cores.
        double slow = 0; ///< The same over slowTimeConstant.
        bool isPeaking = false;
        bool isCompared = false; ///< With the peaks that were inherited.
        std::deque<Sample> samples; ///< Over riseMemory, newest last.
    };

    /// Peaks that started together.
    struct Turn {
        Instant startsAt {};
        std::set<std::string> pools;
    };

    /// The forecast announced last, also after it was withdrawn.
    struct Announcement {
        ExpectedPeak peak;
        bool isWithdrawn = false;
    };

    static void addSample(Pool&, double milliCores, Instant now);
    static Instant startOfRise(const Pool&);
    /// Null if the pool hasn't peaked.
    const Peak* newestPeakOf(const std::string& pool) const;
    double highestPeak() const;
    std::vector<Turn> turns() const;
    Turn newestTurn() const;
    /// True once a pool has peaked again after another one.
    bool hasCompletedRound() const;
    /// Newest gaps between turns of different pools, newest last.
    std::vector<std::chrono::microseconds> gaps() const;
    /// True when the pool's demand rises again shortly after its peak began, without a peak of another pool in between.
    bool isContinued(const std::string& pool, Instant start) const;
    void onPeakStarted(const std::string& pool, Instant start);
    void addPeak(Peak);
    void resume(const std::string& name, Pool&, Instant now);
    void updateHeight(const std::string& pool, double milliCores);
    void announce(Instant now);

    std::map<std::string, Pool> m_pools;
    std::deque<Peak> m_peaks; ///< By start, newest last.
    Instant m_detectedAt {};
    bool m_hasInherited = false;
    std::optional<Announcement> m_announced; ///< None since the newest peak started.
    std::vector<PeakEvent> m_events;
};

} // namespace Jobs
