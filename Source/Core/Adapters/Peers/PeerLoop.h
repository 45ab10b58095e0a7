#pragma once

/// Event loop of Nghttp2Peers. Its thread owns the sockets; other threads pass frames to it through outboxes.

#include "Adapters/Peers/Nghttp2Peers.h"
#include "Adapters/Peers/PeerConnection.h"
#include "Ports/PeerPort.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

#include <uv.h>

namespace Adapters {

/// See Nghttp2Peers for the public functions. m_mutex is the only lock; it is never held while the sink is called.
class PeerLoop : private ConnectionOwner {
public:
    PeerLoop(const Ports::PeerSettings&, const sockaddr_storage& listenAddress, const PeerGuards&);
    ~PeerLoop() override;
    PeerLoop(const PeerLoop&) = delete;
    PeerLoop& operator=(const PeerLoop&) = delete;

    void start(Ports::PeerSink&);
    void setPeers(std::vector<Ports::PeerAddress>);
    bool send(const Ports::HostId&, std::string frame);
    void stop();
    std::uint16_t listenPort() const { return m_listenPort; }

private:
    /// Frames passed from any thread to the loop. Guarded by m_mutex, except for the atomic.
    struct Outbox {
        bool connected = false;
        bool dirty = false; ///< Listed in m_dirty.
        std::vector<std::string> pending;
        std::atomic<std::size_t> queuedBytes { 0 }; ///< Of pending frames and of those queued on the connection, prefixes included.
    };

    /// Outgoing connection to a peer, with its outbox.
    struct Dialler {
        Ports::PeerAddress address;
        sockaddr_storage socketAddress {};
        std::shared_ptr<Outbox> outbox;
        PeerConnection* connection = nullptr;
    };

    // Startup and shutdown.
    void openHandles();
    int listen();
    void closeHandles();
    void run();
    void beginStop();
    void endStop();

    // On the loop's thread only.
    void onWake();
    void onTick();
    void acceptPending();
    void flushOutboxes();
    void applyPeers(std::vector<Ports::PeerAddress>);
    bool isUsable(const Ports::PeerAddress&) const;
    void addDialler(const Ports::PeerAddress&);
    void removeDialler(const Ports::HostId&);
    void dialAll();
    void dial(Dialler&);
    Dialler* findDialler(const PeerConnection&);
    void handleInboundEstablished(PeerConnection&);
    void handleDiallerClosed(Dialler&, bool wasEstablished);
    void closeOutbox(Outbox&);

    void onConnectionEstablished(PeerConnection&) override;
    void onConnectionFrame(PeerConnection&, std::string frame) override;
    void onFrameWritten(PeerConnection&, std::size_t frameBytes) override;
    void onConnectionClosed(PeerConnection&) override;
    void onConnectionReleased(PeerConnection&) override;
    uv_buf_t readBuffer() override;

    const Ports::PeerSettings m_settings;
    const sockaddr_storage m_listenAddress;
    const PeerGuards m_guards;
    const ConnectionSettings m_connectionSettings;
    Ports::PeerSink* m_sink = nullptr;
    std::uint16_t m_listenPort = 0;
    std::thread m_thread;

    uv_loop_t m_loop {};
    uv_tcp_t m_listener {};
    uv_async_t m_wake {};
    uv_timer_t m_livenessTimer {};
    uv_timer_t m_redialTimer {};
    uv_timer_t m_lingerTimer {};
    std::vector<char> m_readBuffer;

    std::map<Ports::HostId, Dialler> m_diallers;
    std::map<Ports::HostId, PeerConnection*> m_inbound; ///< Established connections of listeners, by peer.
    std::unordered_map<PeerConnection*, std::unique_ptr<PeerConnection>> m_connections;
    bool m_stopping = false;
    bool m_stopped = false;

    std::mutex m_mutex;
    std::map<Ports::HostId, std::shared_ptr<Outbox>> m_outboxes;
    std::vector<std::pair<Ports::HostId, std::shared_ptr<Outbox>>> m_dirty;
    std::optional<std::vector<Ports::PeerAddress>> m_newPeers;
    bool m_running = false; ///< The loop runs, so m_wake may be signalled.
    bool m_stopRequested = false;
};

} // namespace Adapters
