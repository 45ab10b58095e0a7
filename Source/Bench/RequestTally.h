#pragma once

/// Figures of a request experiment, gathered while it runs.

#include "RequestLoad.h"

#include <cstdint>
#include <vector>

namespace RequestBench {

/// Results of one run.
struct Figures {
    double peakGoodput = 0; ///< Useful slot time over all slot time of sound upstreams, during the peak.
    double askedGoodput = 0; ///< Useful slot time over what slots allowed to those asking, over the whole run.
    double wantedGoodput = 0; ///< The same, but callers that were told to come back later count as wanting meanwhile.
    double urgentStart99 = 0; ///< Seconds from the first ask to the start, wants of the peak; never started ones count a minute.
    double urgentUnstarted = 0; ///< Share of them.
    double latestAnswer = 0; ///< Milliseconds past the deadline of the answer that was latest.
    double overCommitted = 0; ///< Attempts that found every slot of their upstream taken, outside a death's aftermath.
    double overCommittedAfterDeath = 0;
    double returnPeak = 0; ///< Busiest quarter of a second of returning callers, over that of first asks.
    double secondPeak = 0; ///< Busiest quarter of a second of all asks after the peak, over that of first asks.
    double longestParked = 0; ///< Most requests at once that were neither queued nor forwarded nor out, and not answered.
    double served = 0; ///< Share of wants (those cancelled left out) that ended with a result in time.
    double attempts = 0;
    double failedTasks = 0; ///< Attempts that the failing upstream took.
    double unknownAnswers = 0;
    double refusals = 0;
    double refusedQuickly = 0; ///< Share of refusals that came within 5 ms of the ask.
};

/// Gathers figures. Times are counted from the start of the run.
class Tally {
public:
    explicit Tally(std::vector<Want> wants);

    void asked(Duration now, std::size_t want, bool first);
    void waitsToReturn(Duration now, std::size_t want);
    void started(Duration now, std::size_t want);
    /// The want is over; `useful` when the result came in time, with the run time of its attempt.
    void ended(Duration now, std::size_t want, bool useful, Duration runBegin, Duration runEnd);
    void answeredAfter(Duration deadline, Duration now);
    void refused(Duration asked, Duration now);
    /// Slot time that was spent on a want that the caller cancelled.
    void cancelledWork(Duration begin, Duration end);
    void overCommit(bool afterDeath);
    void soundSlots(Duration now, unsigned slots);
    void parked(std::size_t requests);

    Figures figures() const;
    Figures counts; ///< Fields that the simulation counts by itself.

private:
    enum class Stage {
        Before,
        Asking,
        Away,
        Over,
    };

    struct State {
        Stage stage = Stage::Before;
        bool useful = false;
        bool started = false;
        Duration firstStart { 0 };
    };

    void advance(Duration now);
    void move(Duration now, std::size_t want, Stage);
    double usable(const std::vector<unsigned>& byTeam) const;
    double urgentPercentile(double share, double& unstarted) const;

    std::vector<Want> m_wants;
    std::vector<State> m_states;
    std::vector<unsigned> m_asking;
    std::vector<unsigned> m_wanting;
    std::vector<unsigned> m_firstBins;
    std::vector<unsigned> m_returnBins;
    unsigned m_soundSlots = upstreamCount * slotsPerUpstream;
    Duration m_last { 0 };
    double m_allowedAsking = 0;
    double m_allowedWanting = 0;
    double m_allowedPeak = 0;
    double m_useful = 0;
    double m_usefulPeak = 0;
    double m_refusals = 0;
    double m_quickRefusals = 0;
};

} // namespace RequestBench
