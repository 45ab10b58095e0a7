#pragma once

/// Port between entry hosts: transports opaque frames. Messages/Codec.h encodes them.

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

/// Handles frames. Called from the adapter's thread, in order for each sender and connection.
class PeerSink {
public:
    virtual ~PeerSink() = default;
    virtual void onFrameReceived(const HostId& from, std::string frame) = 0;
    /// Frames passed to send() may not have arrived. Called once for each broken connection.
    virtual void onPeerDisconnected(const HostId&) = 0;
};

/// Settings of the listener and of the connections to peers.
struct PeerSettings {
    HostId self;
    std::string listenAddress; ///< "ip:port".
    std::size_t maximumFrameBytes = 8 << 20;
    std::size_t maximumQueuedBytes = 32 << 20; ///< Per peer; send() refuses frames beyond it.
    std::chrono::milliseconds reconnectDelay { 200 };
};

/// Delivers frames to peers at most once, without a guarantee of delivery. Thread-safe.
class PeerPort {
public:
    virtual ~PeerPort() = default;
    /// Starts to listen. Throws Ports::PortError if it can't listen on the address.
    virtual void start(PeerSink&) = 0;
    /// Replaces the set of peers that frames may be sent to.
    virtual void setPeers(std::vector<PeerAddress>) = 0;
    /// Queues a frame. False if the peer is unknown or its queue is full; the frame is then never sent.
    virtual bool send(const HostId&, std::string frame) = 0;
    virtual void stop() = 0;
};

using PeerPortRegistry = Common::Registry<PeerPort, const PeerSettings&>;
using PeerPortRegistration = Common::Registration<PeerPort, const PeerSettings&>;

} // namespace Ports
