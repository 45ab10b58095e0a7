#include "Decision/Requests/UpstreamHealth.h"

#include <algorithm>

namespace Decision {

namespace {

    constexpr double shareSmoothing = 0.1; ///< Weight of one result in the failure share.
    constexpr double ejectionShare = 0.5;
    constexpr unsigned ejectionFailures = 5; ///< Consecutive failures that justify ejection regardless of the failure share.
    constexpr unsigned requiredProbes = 3; ///< Successful probes after which an upstream is reinstated.
    constexpr std::chrono::milliseconds firstPause { 1000 };
    constexpr std::chrono::milliseconds longestPause { 30000 };

} // namespace

void UpstreamHealth::recordSuccess()
{
    m_consecutiveFailures = 0;
    m_failureShare -= shareSmoothing * m_failureShare;
    if (!m_ejected)
        return;
    if (++m_probeSuccesses < requiredProbes)
        return;
    m_ejected = false;
    m_failureShare = 0;
    m_pause = std::chrono::milliseconds(0);
}

void UpstreamHealth::recordFailure(Common::Instant now, bool isShared)
{
    ++m_consecutiveFailures;
    m_failureShare += shareSmoothing * (1 - m_failureShare);
    if (!m_ejected || now < m_pauseEnds)
        return; // Attempts that were started before the ejection don't extend it.
    if (isShared) {
        m_probeSuccesses = 0;
        m_pauseEnds = now + m_pause;
        return;
    }
    eject(now); // A probe failed: back off further.
}

bool UpstreamHealth::shouldEject() const
{
    if (m_ejected)
        return false;
    return m_consecutiveFailures >= ejectionFailures || m_failureShare > ejectionShare;
}

void UpstreamHealth::eject(Common::Instant now)
{
    m_ejected = true;
    m_probeSuccesses = 0;
    m_pause = std::clamp(m_pause * 2, firstPause, longestPause);
    m_pauseEnds = now + m_pause;
}

UpstreamHealth::State UpstreamHealth::state(Common::Instant now) const
{
    if (!m_ejected)
        return State::Healthy;
    return now < m_pauseEnds ? State::Ejected : State::Probing;
}

} // namespace Decision
