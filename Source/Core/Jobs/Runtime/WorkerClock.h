#pragma once

/// Bounds of a worker's clock and of its lease, as seen on the own clock.

#include "Common/Time.h"
#include "Ports/WorkerPort.h"

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace Jobs {

/// Never too early about the end of a lease: a worker's clock may be slow, and calls without an answer count as carried out.
class WorkerClock {
public:
    /// A lease by an earlier owner may last until `inheritedUntil`, whatever this owner asks for; once the worker has heard
    /// this owner, no longer than `longestLease`, as the earlier one can't extend it any more.
    WorkerClock(Common::Instant inheritedUntil, std::chrono::milliseconds longestLease)
        : m_longestLease(longestLease)
        , m_inheritedUntil(inheritedUntil)
        , m_lapsedAt(inheritedUntil)
    {
    }

    bool isKnown() const { return m_isKnown; }
    Common::Instant heardAt() const { return m_heardAt; }

    /// An answer with that clock came in.
    void recordAnswer(Common::Instant now, Ports::WorkerTime clock)
    {
        if (m_isKnown && clock < m_clock)
            return; // Overtaken by a later answer, or of an earlier incarnation.
        if (!m_isKnown)
            m_inheritedUntil = std::min(m_inheritedUntil, now + spanOf(m_longestLease));
        m_isKnown = true;
        m_heardAt = now;
        m_clock = clock;
        m_lapsedAt = lapseOf(m_latestLease);
    }

    /// The end of a lease of that length, on the worker's clock; noted as granted. Zero while the clock isn't known.
    Ports::WorkerTime extendLease(Common::Instant now, std::chrono::milliseconds length)
    {
        if (!m_isKnown)
            return Ports::WorkerTime(0);
        const auto until = m_clock + std::chrono::duration_cast<std::chrono::milliseconds>(now - m_heardAt) + length;
        m_latestLease = std::max(m_latestLease, until);
        m_lapsedAt = lapseOf(m_latestLease);
        return until;
    }

    /// The latest end of a lease that was asked for so far.
    Ports::WorkerTime latestLease() const { return m_latestLease; }

    /// From then on no lease stands that was asked for so far.
    Common::Instant lapsedAt() const { return m_lapsedAt; }

    /// The worker's leases have lapsed, or it has gone: what comes next is heard anew.
    void reset(Common::Instant now)
    {
        m_isKnown = false;
        m_latestLease = Ports::WorkerTime(0);
        m_inheritedUntil = now;
        m_lapsedAt = now;
        ++m_epoch;
    }

    /// Rises with each forget(): orders of an earlier epoch are void.
    std::uint64_t epoch() const { return m_epoch; }

private:
    Common::Instant lapseOf(Ports::WorkerTime until) const
    {
        return std::max(m_inheritedUntil, m_heardAt + spanOf(std::max(Ports::WorkerTime(0), until - m_clock)));
    }

    /// How long a lease of that length on the worker's clock lasts at most on the own one.
    static std::chrono::milliseconds spanOf(std::chrono::milliseconds lease)
    {
        constexpr int slowestPermille = 980; // Workers' clocks are up to 2% slow.
        constexpr int permille = 1000;
        constexpr std::chrono::milliseconds margin { 250 }; // Of the kill of what has lapsed, and of timers.
        return lease * permille / slowestPermille + margin;
    }

    std::chrono::milliseconds m_longestLease;
    bool m_isKnown = false;
    Common::Instant m_heardAt {};
    Ports::WorkerTime m_clock { 0 };
    Ports::WorkerTime m_latestLease { 0 };
    Common::Instant m_inheritedUntil;
    Common::Instant m_lapsedAt;
    std::uint64_t m_epoch = 0;
};

} // namespace Jobs
