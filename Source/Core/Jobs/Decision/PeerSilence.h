#pragma once

/// Whether a peer answers at all. Designed for network cuts that drop packets without a reset: until the connection fails, which takes
/// seconds, every call that is sent into it ends with an unknown outcome, and callers may not retry that. A call to a
/// silent peer isn't sent before the peer has answered a probe, and can be refused as not run if it doesn't.

#include "Common/Time.h"

#include <chrono>
#include <map>
#include <string>

namespace Jobs {

/// A peer is silent when a call has waited for a while and nothing was received from the peer since. Does no I/O and reads no clock.
class PeerSilence {
public:
    void onSent(const std::string& host, Common::Instant now);
    /// Any frame proves that the peer and the connection work.
    void onReceived(const std::string& host) { m_waitingSince.erase(host); }
    /// The next call takes a new connection.
    void onDisconnected(const std::string& host) { m_waitingSince.erase(host); }

    /// Time since the first call that the peer has left unanswered; zero without one.
    std::chrono::milliseconds waitingFor(const std::string& host, Common::Instant now) const;
    bool isSilent(const std::string& host, Common::Instant now) const;

private:
    std::map<std::string, Common::Instant> m_waitingSince; ///< By peer: the first call since which nothing was received from it.
};

} // namespace Jobs
