#pragma once

/// Actions and events that the decision cores share.

#include "Decision/Membership/PlatformActions.h"
#include "Messages/PeerMessages.h"

#include <variant>

namespace Decision {

/// Sends a message to a peer, without a guarantee of delivery.
struct PeerSend {
    Ports::HostId to;
    Messages::PeerMessage message;
};

/// An action that a core returns for its caller to run.
using Action = std::variant<PlatformAction, PeerSend>;

/// Event: a heartbeat arrived.
struct HeartbeatReceived {
    Ports::HostId from;
    Messages::Heartbeat heartbeat;
};

/// Event: the connection to a peer broke.
struct PeerDisconnected {
    Ports::HostId peer;
};

} // namespace Decision
