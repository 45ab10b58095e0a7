#pragma once

/// Upper bound of the end of a worker's lease, on the owner's clock.

#include "Common/Time.h"
#include "Jobs/Decision/LeaseTimes.h"
#include "Ports/WorkerPort.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace Jobs {

/// Never reports the end of a lease too early: allows for a slow worker's clock, and counts calls without an answer as carried
/// out. Used by WorkerSession, on its loop's thread only.
class WorkerClock {
public:
    /// A lease that was granted by an earlier owner may last until `inheritedUntil`. Once the worker has answered it lasts no longer than
    /// `maximumLease`, the longest that workers grant, as the fence keeps earlier owners from extending it.
    WorkerClock(Common::Instant inheritedUntil, std::chrono::milliseconds maximumLease)
        : m_maximumLease(maximumLease)
        , m_inheritedUntil(inheritedUntil)
        , m_lapsedAt(inheritedUntil)
    {
    }

    /// False until the first answer, and after reset() until the next one.
    bool isKnown() const { return m_isKnown; }
    Common::Instant lastAnswerAt() const { return m_lastAnswerAt; }

    /// False if the answer to a call sent at `sentAt` can't be that of the incarnation whose clock is known: each has a clock of its own.
    bool isOfThisIncarnation(Common::Instant sentAt, Common::Instant now, Ports::WorkerTime clock) const
    {
        constexpr int slowestPermille = 980;
        constexpr int permille = 1000;
        constexpr std::chrono::milliseconds margin { 20 }; // For rounding.
        if (!m_isKnown)
            return true;
        const auto sinceAnswer = std::chrono::floor<std::chrono::milliseconds>(sentAt - m_lastAnswerAt);
        const auto earliest = m_clock + (sinceAnswer.count() > 0 ? sinceAnswer * slowestPermille / permille : sinceAnswer);
        const auto latest = m_clock + std::chrono::ceil<std::chrono::milliseconds>(now - m_lastSentAt);
        return clock >= earliest - margin && clock <= latest + margin;
    }

    /// Records an answer received at `now`, to a call sent at `sentAt`, with that time of the worker's clock.
    void recordAnswer(Common::Instant sentAt, Common::Instant now, Ports::WorkerTime clock)
    {
        if (m_isKnown && clock < m_clock)
            return; // Overtaken by a later answer, or from an earlier incarnation.
        if (!m_isKnown && m_epoch == 0) // Later ones may begin with an incarnation that carries out calls of this owner to an earlier one.
            m_inheritedUntil = std::min(m_inheritedUntil, now + maximumSpanOf(m_maximumLease));
        m_isKnown = true;
        m_lastAnswerAt = now;
        m_lastSentAt = sentAt;
        m_clock = clock;
        m_lapsedAt = latestLapseOf(m_latestLeaseEnd);
    }

    /// Returns the end, on the worker's clock, of a lease of that length from `now`, and counts the lease as granted. Returns
    /// zero and grants nothing while the clock isn't known.
    Ports::WorkerTime extendLease(Common::Instant now, std::chrono::milliseconds length)
    {
        if (!m_isKnown)
            return Ports::WorkerTime(0);
        const auto until = m_clock + std::chrono::duration_cast<std::chrono::milliseconds>(now - m_lastAnswerAt) + length;
        m_latestLeaseEnd = std::max(m_latestLeaseEnd, until);
        m_lapsedAt = latestLapseOf(m_latestLeaseEnd);
        return until;
    }

    /// Latest end of a lease that was requested so far, on the worker's clock.
    Ports::WorkerTime latestLeaseEnd() const { return m_latestLeaseEnd; }

    /// Time on the owner's clock from which all leases requested so far have lapsed.
    Common::Instant lapsedAt() const { return m_lapsedAt; }

    /// Forgets the clock and starts a new epoch: the worker's leases have lapsed, or it is gone or was restarted. A lease may last until
    /// `inheritedUntil`, whenever the worker answers: calls to an earlier incarnation have the same fencing token, so that the next one may
    /// carry them out after its first answer.
    void reset(Common::Instant inheritedUntil)
    {
        m_isKnown = false;
        m_latestLeaseEnd = Ports::WorkerTime(0);
        m_inheritedUntil = inheritedUntil;
        m_lapsedAt = inheritedUntil;
        ++m_epoch;
    }

    /// Incremented by reset(). Orders of an earlier epoch have expired.
    std::uint64_t epoch() const { return m_epoch; }

private:
    Common::Instant latestLapseOf(Ports::WorkerTime until) const
    {
        return std::max(m_inheritedUntil, m_lastAnswerAt + maximumSpanOf(std::max(Ports::WorkerTime(0), until - m_clock)));
    }

    std::chrono::milliseconds m_maximumLease;
    bool m_isKnown = false;
    Common::Instant m_lastAnswerAt {};
    Common::Instant m_lastSentAt {}; ///< When the call with the last answer was sent.
    Ports::WorkerTime m_clock { 0 };
    Ports::WorkerTime m_latestLeaseEnd { 0 };
    Common::Instant m_inheritedUntil;
    Common::Instant m_lapsedAt;
    std::uint64_t m_epoch = 0;
};

} // namespace Jobs
