#pragma once

/// Figures of a request experiment, collected while it runs.

#include "RequestLoad.h"

#include <cstdint>
#include <vector>

namespace RequestBench {

/// Results of one run. Slot time counts as useful when its result was in time. RequestExperiments.cpp has the printed names.
struct Figures {
    double peakGoodput = 0; ///< Useful slot time over all slot time of healthy upstreams, during the peak.
    double askedGoodput = 0; ///< Useful slot time over the slot time that open submissions could have used, whole run.
    double wantedGoodput = 0; ///< The same, but operations that wait for their retry count as open too.
    double urgentStart99 = 0; ///< 99th percentile of seconds to the start, in the peak; a minute if never started.
    double urgentUnstarted = 0; ///< Share of the urgent operations of the peak that never started.
    double latestAnswer = 0; ///< Milliseconds by which the latest answer missed its deadline.
    double overCommitted = 0; ///< Attempts that found all slots of their upstream taken, except shortly after a death.
    double overCommittedAfterDeath = 0; ///< The same, shortly after a host's death.
    double returnPeak = 0; ///< Most resubmissions in a quarter of a second, over the most first submissions in one.
    double secondPeak = 0; ///< Most submissions in a quarter of a second after the peak, over the most first ones in one.
    double mostParked = 0; ///< Most open requests at once that were neither queued, forwarded nor dispatched; one host only.
    double served = 0; ///< Share of operations with a result in time; cancelled ones are left out.
    double attempts = 0; ///< Attempts dispatched to upstreams.
    double failedTasks = 0; ///< Attempts that reached the failing upstream while it failed.
    double unknownAnswers = 0; ///< Answers with an unknown outcome.
    double refusals = 0; ///< Answers to requests that were not run.
    double refusedQuickly = 0; ///< Share of refusals that came within 5 ms of the submission.
};

/// Collects the figures of one run. The simulation reports each event as it happens, so `now` never goes back. All times
/// are counted from the start of the run; operations are given by their index.
class Tally {
public:
    explicit Tally(std::vector<Operation> operations);

    /// The operation was submitted; `first` tells the first submission from retries.
    void submitted(Duration now, std::size_t operation, bool first);
    /// The submission failed and the caller waits before the next one.
    void awaitsRetry(Duration now, std::size_t operation);
    /// An attempt was dispatched; only the first of an operation counts.
    void started(Duration now, std::size_t operation);
    /// The operation won't be submitted again. With `useful` its result came in time, from an attempt that ran from
    /// runBegin to runEnd.
    void ended(Duration now, std::size_t operation, bool useful, Duration runBegin, Duration runEnd);
    /// A submission with that deadline was answered.
    void answered(Duration deadline, Duration now);
    /// A submission made at `submittedAt` was answered as not run.
    void refused(Duration submittedAt, Duration now);
    /// Leaves out the slot time of an attempt whose caller cancelled before it ended.
    void excludeCancelled(Duration begin, Duration end);
    /// An attempt found all slots of its upstream taken.
    void countOverCommitted(bool afterDeath);
    /// Sets the slots of all upstreams that don't fail.
    void setHealthySlots(Duration now, unsigned slots);
    /// Takes the current number of open requests that are neither queued, forwarded nor dispatched.
    void recordParked(std::size_t requests);

    /// All figures, at the end of the run.
    Figures figures() const;
    Figures counts; ///< Counters; the simulation increments some of them directly.

private:
    /// State of an operation.
    enum class Stage {
        NotSubmitted,
        Open,
        AwaitingRetry,
        Finished,
    };

    struct State {
        Stage stage = Stage::NotSubmitted;
        bool useful = false;
        bool started = false;
        Duration firstStart { 0 };
    };

    void advance(Duration now);
    void setStage(Duration now, std::size_t operation, Stage);
    /// Slots that so many operations by team could use at once, within the quotas and the healthy upstreams.
    double usableSlots(const std::vector<unsigned>& byTeam) const;
    double urgentPercentile(double share, double& unstarted) const;

    std::vector<Operation> m_operations;
    std::vector<State> m_states;
    std::vector<unsigned> m_openByTeam;
    std::vector<unsigned> m_unfinishedByTeam;
    std::vector<unsigned> m_firstBins; ///< First submissions in each quarter of a second.
    std::vector<unsigned> m_retryBins; ///< Resubmissions in each quarter of a second.
    unsigned m_healthySlots = upstreamCount * slotsPerUpstream;
    Duration m_last { 0 };
    // In slot-seconds.
    double m_openSlotTime = 0; ///< Usable by open submissions.
    double m_unfinishedSlotTime = 0; ///< Usable by open submissions and operations that wait for their retry.
    double m_peakSlotTime = 0;
    double m_usefulSlotTime = 0;
    double m_usefulPeakSlotTime = 0;
    double m_refusals = 0;
    double m_quickRefusals = 0;
};

} // namespace RequestBench
