#pragma once

/// Calls between hosts with one answer or none: matches answers to calls over the peer port's frames.

#include "Common/TaskLoop.h"
#include "Jobs/Runtime/EventLimiter.h"
#include "Jobs/Runtime/NodeMessages.h"
#include "Ports/PeerPort.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Jobs {

/// How a call to a peer ended.
enum class PeerStatus {
    Answered,
    NotSent, ///< Surely not received.
    NoAnswer,
};

/// Used on the loop's thread only.
class PeerCalls {
public:
    using Callback = std::function<void(PeerStatus, const NodeMessage&)>;

    /// `incarnation` is this process's own: an answer may arrive after a restart, and mustn't meet a call of the same number.
    PeerCalls(Common::TaskLoop&, Ports::PeerPort&, std::uint64_t incarnation);

    /// Sends a PoolCall or LoadCall; fills in its number. The callback runs once, at once when it can't be sent.
    void call(const std::string& host, NodeMessage, milliseconds timeout, Callback);
    /// An answer came in.
    void handleAnswer(const NodeMessage&);
    /// What was sent to the host and not answered may be lost.
    void handleDisconnect(const std::string& host);
    /// Ends every call under way without an answer.
    void abandon();
    /// Sends an answer; one that can't be sent is lost, and the peer's timeout tells it.
    void reply(const std::string& host, const NodeMessage&);

private:
    struct Pending {
        std::string host;
        Callback callback;
        Common::TaskLoop::TimerId timer = 0;
    };

    void end(std::uint64_t call, PeerStatus, const NodeMessage&);

    Common::TaskLoop& m_loop;
    Ports::PeerPort& m_port;
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_lastCall; ///< Begins elsewhere in each incarnation.
    EventLimiter m_limiter { "peers" };
};

} // namespace Jobs
