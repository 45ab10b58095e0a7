#include "Kernel/Metrics.h"

#include <array>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace Kernel {

namespace {

    /// Upper bounds in seconds, from well below the request path's own cost to the longest usual deadline.
    const prometheus::Histogram::BucketBoundaries durationBuckets {
        0.0005, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60
    };

    constexpr std::array<const char*, 2> directionNames { "sent", "received" };
    constexpr std::array<const char*, 3> slotStateNames { "free", "busy", "draining" };
    constexpr std::array<const char*, 4> waveHostStateNames { "waiting", "draining", "rebooting", "done" };
    constexpr std::array<const char*, 3> ledgerStateNames { "claimed", "finished", "unknown" };

    template<typename Enum, std::size_t count>
    const char* nameOf(const std::array<const char*, count>& names, Enum value)
    {
        return names.at(static_cast<std::size_t>(value));
    }

    double inSeconds(std::chrono::microseconds duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    using CounterFamily = prometheus::Family<prometheus::Counter>;
    using GaugeFamily = prometheus::Family<prometheus::Gauge>;
    using HistogramFamily = prometheus::Family<prometheus::Histogram>;

} // namespace

struct Metrics::Private {
    prometheus::Registry registry;

    CounterFamily& counter(const char* name, const char* help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    }

    GaugeFamily& gauge(const char* name, const char* help)
    {
        return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
    }

    HistogramFamily& histogram(const char* name, const char* help)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
    }

    CounterFamily& requests = counter("marigoldstile_requests_total", "Requests answered, by outcome and reason.");
    HistogramFamily& requestDuration = histogram("marigoldstile_request_duration_seconds", "Time from arrival to answer.");
    CounterFamily& retries = counter("marigoldstile_retries_total", "Attempts after the first, by the reason for them.");
    GaugeFamily& queueLength = gauge("marigoldstile_queue_length", "Requests that wait for a slot.");
    GaugeFamily& slots = gauge("marigoldstile_slots", "Slots of the pool that this host accounts for, by state.");
    GaugeFamily& ejected = gauge("marigoldstile_ejected_upstreams", "Upstreams ejected for failing.");
    CounterFamily& peerMessages = counter("marigoldstile_peer_messages_total", "Messages exchanged with other entry hosts.");
    CounterFamily& peerBytes = counter("marigoldstile_peer_bytes_total", "Bytes of messages exchanged with other entry hosts.");
    CounterFamily& platformCalls = counter("marigoldstile_platform_calls_total", "Calls of the platform's services.");
    HistogramFamily& platformDuration = histogram("marigoldstile_platform_call_duration_seconds", "Time until a platform call ended.");
    prometheus::Gauge& revision = gauge("marigoldstile_configuration_revision", "Revision of the configuration in force.").Add({});
    prometheus::Gauge& viewEpoch = gauge("marigoldstile_view_epoch", "Epoch of the membership view in force.").Add({});
    prometheus::Gauge& viewMembers = gauge("marigoldstile_view_members", "Entry hosts in the membership view.").Add({});
    prometheus::Gauge& ready = gauge("marigoldstile_ready", "1 while the balancer may send requests here.").Add({});
    prometheus::Counter& moves = counter("marigoldstile_moves_total", "Hosts that finished a move between pools.").Add({});
    GaugeFamily& waveHosts = gauge("marigoldstile_wave_hosts", "Hosts of a maintenance wave, by state.");
    GaugeFamily& ledgerRecords = gauge("marigoldstile_ledger_records", "Records of non-idempotent requests held here, by state.");
    prometheus::Gauge& auditBacklog = gauge("marigoldstile_audit_backlog_records", "Audit records that are not yet stored.").Add({});
};

Metrics::Metrics()
    : m_private(std::make_unique<Private>())
{
}

Metrics::~Metrics() = default;

std::unique_ptr<Metrics> Metrics::create()
{
    return std::unique_ptr<Metrics>(new Metrics);
}

void Metrics::countRequest(const std::string& outcome, const std::string& reason, std::chrono::microseconds duration)
{
    m_private->requests.Add({ { "outcome", outcome }, { "reason", reason } }).Increment();
    m_private->requestDuration.Add({ { "outcome", outcome } }, durationBuckets).Observe(inSeconds(duration));
}

void Metrics::countRetry(const std::string& reason)
{
    m_private->retries.Add({ { "reason", reason } }).Increment();
}

void Metrics::setQueueLength(const std::string& pool, std::size_t length)
{
    m_private->queueLength.Add({ { "pool", pool } }).Set(static_cast<double>(length));
}

void Metrics::setSlots(const std::string& pool, SlotState state, std::size_t count)
{
    m_private->slots.Add({ { "pool", pool }, { "state", nameOf(slotStateNames, state) } }).Set(static_cast<double>(count));
}

void Metrics::setEjectedUpstreams(const std::string& pool, std::size_t count)
{
    m_private->ejected.Add({ { "pool", pool } }).Set(static_cast<double>(count));
}

void Metrics::countPeerMessage(const std::string& type, MessageDirection direction, std::size_t bytes)
{
    const std::string directionName = nameOf(directionNames, direction);
    m_private->peerMessages.Add({ { "type", type }, { "direction", directionName } }).Increment();
    m_private->peerBytes.Add({ { "direction", directionName } }).Increment(static_cast<double>(bytes));
}

void Metrics::countPlatformCall(const std::string& kind, const std::string& status, std::chrono::microseconds duration)
{
    m_private->platformCalls.Add({ { "kind", kind }, { "status", status } }).Increment();
    m_private->platformDuration.Add({ { "kind", kind } }, durationBuckets).Observe(inSeconds(duration));
}

void Metrics::setConfigurationRevision(std::uint64_t revision)
{
    m_private->revision.Set(static_cast<double>(revision));
}

void Metrics::setViewEpoch(std::uint64_t epoch)
{
    m_private->viewEpoch.Set(static_cast<double>(epoch));
}

void Metrics::setViewMembers(std::size_t count)
{
    m_private->viewMembers.Set(static_cast<double>(count));
}

void Metrics::setReady(bool ready)
{
    m_private->ready.Set(ready ? 1 : 0);
}

void Metrics::countMove()
{
    m_private->moves.Increment();
}

void Metrics::setWaveHosts(const std::string& wave, WaveHostState state, std::size_t count)
{
    m_private->waveHosts.Add({ { "wave", wave }, { "state", nameOf(waveHostStateNames, state) } }).Set(static_cast<double>(count));
}

void Metrics::setLedgerRecords(LedgerRecordState state, std::size_t count)
{
    m_private->ledgerRecords.Add({ { "state", nameOf(ledgerStateNames, state) } }).Set(static_cast<double>(count));
}

void Metrics::setAuditBacklog(std::size_t count)
{
    m_private->auditBacklog.Set(static_cast<double>(count));
}

std::string Metrics::exposition() const
{
    return prometheus::TextSerializer().Serialize(m_private->registry.Collect());
}

} // namespace Kernel
