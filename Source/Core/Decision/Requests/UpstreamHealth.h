#pragma once

/// Passive health check of one upstream: ejection after failures, reinstatement after successful probes.

#include "Common/Time.h"

#include <chrono>

namespace Decision {

/// Tracks the results of attempts. Successive failures and a moving average of the failure share make an upstream a candidate
/// for ejection; each failed probe doubles the ejection time, from 1 s up to 30 s.
class UpstreamHealth {
public:
    enum class State {
        Healthy,
        Ejected, ///< Receives no requests until its pause ends.
        Probing, ///< Receives one request at a time.
    };

    void recordSuccess();
    /// `isShared` is true when most of the pool fails alike: a probe that fails then doesn't lengthen the ejection.
    void recordFailure(Common::Instant, bool isShared);

    /// True when the results justify ejection. SlotTable decides whether to call eject(), since it limits how many upstreams
    /// of a pool are ejected at once.
    bool shouldEject() const;
    void eject(Common::Instant);

    /// State at the given time: an ejected upstream becomes Probing once its pause has ended.
    State state(Common::Instant) const;

    /// Share of failures among recent results, 0 to 1.
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
