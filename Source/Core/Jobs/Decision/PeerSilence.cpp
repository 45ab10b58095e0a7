#include "Jobs/Decision/PeerSilence.h"

namespace Jobs {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds silenceLimit { 300 }; ///< An owner that is busy or waits for the store answers other calls sooner.

} // namespace

void PeerSilence::onSent(const std::string& host, Common::Instant now)
{
    m_waitingSince.try_emplace(host, now);
}

milliseconds PeerSilence::waitingFor(const std::string& host, Common::Instant now) const
{
    const auto it = m_waitingSince.find(host);
    return it == m_waitingSince.end() ? milliseconds(0) : std::chrono::duration_cast<milliseconds>(now - it->second);
}

bool PeerSilence::isSilent(const std::string& host, Common::Instant now) const
{
    return waitingFor(host, now) >= silenceLimit;
}

} // namespace Jobs
