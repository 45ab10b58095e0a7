#pragma once

/// Prometheus metrics of the process; names carry their base unit.

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace Kernel {

/// Direction of a message between peers.
enum class MessageDirection {
    Sent,
    Received,
};

/// State of slots in a pool.
enum class SlotState {
    Free,
    Busy,
    Draining,
};

/// State of the hosts of a maintenance wave.
enum class WaveHostState {
    Waiting,
    Draining,
    Rebooting,
    Done,
};

/// Records of the request ledger by state.
enum class LedgerRecordState {
    Claimed,
    Finished,
    Unknown,
};

/// Registry of all metrics. Thread-safe.
class Metrics {
public:
    static std::unique_ptr<Metrics> create();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /// marigoldstile_requests_total{outcome,reason} and marigoldstile_request_duration_seconds{outcome}.
    /// The labels come from small fixed sets, for example "not-run" and "queue-full".
    void countRequest(const std::string& outcome, const std::string& reason, std::chrono::microseconds duration);
    /// marigoldstile_retries_total{reason}.
    void countRetry(const std::string& reason);
    /// marigoldstile_queue_length{pool}, in requests.
    void setQueueLength(const std::string& pool, std::size_t length);
    /// marigoldstile_slots{pool,state}.
    void setSlots(const std::string& pool, SlotState, std::size_t count);
    /// marigoldstile_ejected_upstreams{pool}.
    void setEjectedUpstreams(const std::string& pool, std::size_t count);
    /// marigoldstile_peer_messages_total{type,direction} and marigoldstile_peer_bytes_total{direction}.
    void countPeerMessage(const std::string& type, MessageDirection, std::size_t bytes);
    /// marigoldstile_platform_calls_total{kind,status} and marigoldstile_platform_call_duration_seconds{kind}.
    void countPlatformCall(const std::string& kind, const std::string& status, std::chrono::microseconds duration);
    /// marigoldstile_configuration_revision.
    void setConfigurationRevision(std::uint64_t revision);
    /// marigoldstile_view_epoch.
    void setViewEpoch(std::uint64_t epoch);
    /// marigoldstile_view_members.
    void setViewMembers(std::size_t count);
    /// marigoldstile_ready, 1 or 0.
    void setReady(bool ready);
    /// marigoldstile_moves_total.
    void countMove();
    /// marigoldstile_wave_hosts{wave,state}.
    void setWaveHosts(const std::string& wave, WaveHostState, std::size_t count);
    /// marigoldstile_ledger_records{state}.
    void setLedgerRecords(LedgerRecordState, std::size_t count);
    /// marigoldstile_audit_backlog_records: audit records that aren't in the platform's store yet.
    void setAuditBacklog(std::size_t count);

    /// Every metric in the Prometheus text format.
    std::string exposition() const;

private:
    Metrics();

    struct Private;
    std::unique_ptr<Private> m_private;
};

} // namespace Kernel
