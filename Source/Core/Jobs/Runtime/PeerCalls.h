#pragma once

/// Request and answer between hosts over the one-way frames of the peer port: matches answers to calls by their number.

#include "Common/TaskLoop.h"
#include "Jobs/Decision/PeerSilence.h"
#include "Jobs/Runtime/EventLimiter.h"
#include "Jobs/Runtime/NodeMessages.h"
#include "Ports/PeerPort.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace Jobs {

/// How a call to a peer ended.
enum class PeerStatus {
    Answered,
    NotSent, ///< The peer did not receive the call.
    NoAnswer, ///< Timed out or disconnected: the peer may have received the call.
};

/// Used on the loop's thread only.
class PeerCalls {
public:
    using Callback = std::function<void(PeerStatus, const NodeMessage&)>;

    /// `incarnation` identifies this process. Call numbers start at a value derived from it, so that an answer that arrives
    /// after a restart doesn't match a new call.
    PeerCalls(Common::TaskLoop&, Ports::PeerPort&, std::uint64_t incarnation);

    /// Sends a PoolCall or LoadCall after setting its number. The callback runs exactly once; within the call when sending fails.
    /// A call to a silent peer waits for the answer to a probe, and ends as NotSent without one.
    void call(const std::string& host, NodeMessage, milliseconds timeout, Callback);
    /// A frame from the host was received, of whatever kind.
    void handleFrame(const std::string& host) { m_silence.onReceived(host); }
    /// Ends the call that the message answers; ignores answers to calls that have ended.
    void handleAnswer(const NodeMessage&);
    /// Ends all pending calls to the host with NoAnswer, as they may be lost.
    void handleDisconnect(const std::string& host);
    /// Ends every pending call with NoAnswer; for shutdown.
    void abandon();
    /// Sends an answer. If that fails it is logged and dropped, and the peer's call times out.
    void reply(const std::string& host, const NodeMessage&);

private:
    struct Pending {
        std::string host;
        Callback callback;
        Common::TaskLoop::TimerId timer = 0;
    };

    struct HeldCall {
        NodeMessage message;
        milliseconds timeout { 0 };
        Callback callback;
    };

    void send(const std::string& host, NodeMessage, milliseconds timeout, Callback);
    void probe(const std::string& host);
    void releaseHeld(const std::string& host, bool isAnswered);
    void end(std::uint64_t call, PeerStatus, const NodeMessage&);

    Common::TaskLoop& m_loop;
    Ports::PeerPort& m_port;
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_lastCall; ///< Starts at a different value in each incarnation.
    PeerSilence m_silence;
    std::map<std::string, std::vector<HeldCall>> m_held; ///< By silent peer: calls that wait for the probe in flight.
    EventLimiter m_limiter { "peers" };
};

} // namespace Jobs
