#pragma once

/// Test support for the peer adapter: a recording sink, a host on a loopback port, and a relay that stalls or cuts connections.

#include "Adapters/Peers/Nghttp2Peers.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace PeerTesting {

/// Upper bound for waits, to end a hanging test. No test depends on the duration of anything.
constexpr std::chrono::seconds waitLimit { 60 };

/// Waits until the condition holds; false after waitLimit.
bool waitUntil(const std::function<bool()>& condition);

/// Counts disconnections and records frames, by peer. Thread-safe.
class RecordingSink : public Ports::PeerSink {
public:
    void onFrameReceived(const Ports::HostId& from, std::string frame) override;
    void onPeerDisconnected(const Ports::HostId&) override;

    std::vector<std::string> framesFrom(const Ports::HostId&) const;
    std::size_t countFrom(const Ports::HostId&) const;
    int disconnectionsOf(const Ports::HostId&) const;

private:
    mutable std::mutex m_mutex;
    std::map<Ports::HostId, std::vector<std::string>> m_frames;
    std::map<Ports::HostId, int> m_disconnections;
};

/// Settings of a host on loopback; port zero for any free port.
Ports::PeerSettings settingsOf(const Ports::HostId&, std::uint16_t port = 0);

/// A started host. The sink is declared first, so that it outlives the peers.
struct Host {
    explicit Host(const Ports::PeerSettings&, const Adapters::PeerGuards& = {});

    Ports::PeerAddress address() const;
    /// Retries until send() accepts the frame; false after waitLimit.
    bool sendWhenConnected(const Ports::HostId& to, const std::string& frame);

    Ports::HostId name;
    RecordingSink sink;
    std::unique_ptr<Adapters::Nghttp2Peers> peers;
};

/// Connects a TCP socket to a loopback port; -1 if refused. The caller closes it.
int connectTo(std::uint16_t port);

/// Relays one connection at a time to a loopback port.
class Relay {
public:
    explicit Relay(std::uint16_t target);
    ~Relay();

    std::uint16_t port() const { return m_port; }
    /// While frozen, receives bytes and holds them back.
    void freeze(bool on) { m_frozen = on; }
    /// Bytes held back in the direction from the client to the target.
    std::size_t heldBytes() const { return m_heldBytes; }
    /// Closes both sides of the current connection.
    void cut() { m_cut = true; }
    int connectionsEnded() const { return m_endedConnections; }

private:
    void run();
    void relayConnection(int clientSocket, int serverSocket);
    bool relayBytes(int from, int to, std::string& held);

    std::uint16_t m_target;
    std::uint16_t m_port = 0;
    int m_listener = -1;
    std::atomic<bool> m_frozen { false };
    std::atomic<bool> m_cut { false };
    std::atomic<bool> m_stopping { false };
    std::atomic<std::size_t> m_heldBytes { 0 };
    std::atomic<int> m_endedConnections { 0 };
    std::thread m_thread;
};

} // namespace PeerTesting
