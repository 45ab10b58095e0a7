#pragma once

/// Health of one upstream: ejected on evidence, brought back by probes.

#include "Common/Time.h"

#include <chrono>

namespace Decision {

/// Counts the ends of attempts in a sliding share and tells whether to eject, probe or use the upstream.
class UpstreamHealth {
public:
    enum class State {
        Healthy,
        Ejected, ///< Gets nothing until its pause is over.
        Probing, ///< Gets one request at a time.
    };

    void succeeded();
    void failed(Common::Instant);

    /// True when the evidence is enough to eject; whether it is, the pool decides within its budget.
    bool deservesEjection() const;
    void eject(Common::Instant);

    /// State at that instant: an ejection whose pause is over turns into probing.
    State state(Common::Instant) const;

    /// Share of failures among recent ends, 0 to 1.
    double failureShare() const { return m_failureShare; }

private:
    bool m_ejected = false;
    Common::Instant m_pauseEnds {};
    std::chrono::milliseconds m_pause { 0 };
    unsigned m_consecutiveFailures = 0;
    unsigned m_probeSuccesses = 0;
    double m_failureShare = 0;
};

} // namespace Decision
