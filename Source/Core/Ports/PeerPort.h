#pragma once

/// Port between entry hosts: carries opaque frames; the codec lies above it.

#include "Common/Registry.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace Ports {

/// Name of an entry host, as in its settings.
using HostId = std::string;

/// Where a peer listens.
struct PeerAddress {
    HostId host;
    std::string address; ///< "ip:port".

    bool operator==(const PeerAddress&) const = default;
};

/// Receives frames; called from the adapter's thread, in order per sender and connection.
class PeerSink {
public:
    virtual ~PeerSink() = default;
    virtual void onFrameReceived(const HostId& from, std::string frame) = 0;
    /// A frame that was handed to send() may not have arrived; told once per broken connection.
    virtual void onPeerDisconnected(const HostId&) = 0;
};

/// Where this host listens for peers.
struct PeerSettings {
    HostId self;
    std::string listenAddress; ///< "ip:port".
    std::size_t maximumFrameBytes = 8 << 20;
    std::size_t maximumQueuedBytes = 32 << 20; ///< Per peer; frames beyond it are dropped.
    std::chrono::milliseconds reconnectDelay { 200 };
};

/// Sends frames to peers at most once, without a guarantee of delivery. Thread-safe.
class PeerPort {
public:
    virtual ~PeerPort() = default;
    /// Throws Ports::PortError when the address can't be had.
    virtual void start(PeerSink&) = 0;
    /// Replaces the set of peers that frames may be sent to.
    virtual void setPeers(std::vector<PeerAddress>) = 0;
    /// False when the peer isn't known or its queue is full: the frame was surely not sent.
    virtual bool send(const HostId&, std::string frame) = 0;
    virtual void stop() = 0;
};

using PeerPortRegistry = Common::Registry<PeerPort, const PeerSettings&>;
using PeerPortRegistration = Common::Registration<PeerPort, const PeerSettings&>;

} // namespace Ports
