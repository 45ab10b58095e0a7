#include "Jobs/Decision/StoreSilence.h"

#include <algorithm>

namespace Jobs {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds silenceLimit { 300 }; ///< A slow store answers within a quarter of a second.
    constexpr milliseconds shortestRetryAfter { 500 };
    constexpr milliseconds longestRetryAfter { 4000 }; ///< Callers wait for a few seconds in all.

} // namespace

void StoreSilence::onSent(Common::Instant now)
{
    if (++m_unanswered == 1)
        m_waitingSince = now;
    else if (m_unanswered == 2)
        m_secondSentAt = now;
}

milliseconds StoreSilence::age(Common::Instant now) const
{
    const bool hasWaited = m_unanswered > 1 && now - m_secondSentAt > silenceLimit;
    return hasWaited ? std::chrono::duration_cast<milliseconds>(now - m_waitingSince) : milliseconds(0);
}

bool StoreSilence::isSilent(milliseconds age) { return age > silenceLimit; }

milliseconds StoreSilence::retryAfter(milliseconds age) { return std::clamp(age, shortestRetryAfter, longestRetryAfter); }

} // namespace Jobs
