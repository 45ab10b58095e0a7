#pragma once

/// What the tests of the peer adapter share: a sink that records, a host on a loopback port, and a relay that fails on demand.

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

/// Fail-safe only: no test passes or fails by how long a thing took.
constexpr std::chrono::seconds patience { 60 };

/// Waits until the condition holds; false when patience is spent.
bool waitUntil(const std::function<bool()>& condition);

/// Records frames by sender, and disconnections.
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

Ports::PeerSettings settingsOf(const Ports::HostId&, std::uint16_t port = 0);

/// A started host. The sink outlives the peers.
struct Host {
    explicit Host(const Ports::PeerSettings&, const Adapters::PeerGuards& = {});

    Ports::PeerAddress address() const;
    /// Sends again and again until the peer takes it.
    bool sendWhenConnected(const Ports::HostId& to, const std::string& frame);

    Ports::HostId name;
    RecordingSink sink;
    std::unique_ptr<Adapters::Nghttp2Peers> peers;
};

/// A TCP socket connected to a loopback port.
int connectTo(std::uint16_t port);

/// Passes one connection at a time on to a port.
class Relay {
public:
    explicit Relay(std::uint16_t target);
    ~Relay();

    std::uint16_t port() const { return m_port; }
    /// While frozen it takes bytes and holds them.
    void freeze(bool on) { m_frozen = on; }
    std::size_t heldBytes() const { return m_heldBytes; }
    /// Closes the connection under way, both ends.
    void cut() { m_cut = true; }
    int connectionsEnded() const { return m_ended; }

private:
    void run();
    void pass(int nearSocket, int farSocket);
    bool passOneWay(int from, int to, std::string& held);

    std::uint16_t m_target;
    std::uint16_t m_port = 0;
    int m_listener = -1;
    std::atomic<bool> m_frozen { false };
    std::atomic<bool> m_cut { false };
    std::atomic<bool> m_over { false };
    std::atomic<std::size_t> m_heldBytes { 0 };
    std::atomic<int> m_ended { 0 };
    std::thread m_thread;
};

} // namespace PeerTesting
