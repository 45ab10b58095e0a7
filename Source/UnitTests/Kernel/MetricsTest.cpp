#include "Kernel/Metrics.h"

#include <doctest/doctest.h>
#include <sstream>
#include <string>
#include <vector>

using namespace std::chrono_literals;
using Kernel::Metrics;

namespace {

bool hasLine(const std::string& text, const std::string& wanted)
{
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
        if (line == wanted)
            return true;
    }
    return false;
}

void setEveryMetric(Metrics& metrics)
{
    metrics.countRequest("not-run", "queue-full", 3ms);
    metrics.countRequest("not-run", "queue-full", 40ms);
    metrics.countRetry("upstream-lost");
    metrics.setQueueLength("juniors", 7);
    metrics.setSlots("juniors", Kernel::SlotState::Draining, 8);
    metrics.setEjectedUpstreams("juniors", 1);
    metrics.countPeerMessage("heartbeat", Kernel::MessageDirection::Sent, 120);
    metrics.countPlatformCall("read", "ok", 2ms);
    metrics.setConfigurationRevision(12);
    metrics.setViewEpoch(4);
    metrics.setViewMembers(3);
    metrics.setReady(true);
    metrics.countMove();
    metrics.setWaveHosts("spring", Kernel::WaveHostState::Rebooting, 4);
    metrics.setLedgerRecords(Kernel::LedgerRecordState::Finished, 9);
    metrics.setAuditBacklog(2);
}

} // namespace

TEST_CASE("every metric is exposed under its name, labels and value")
{
    const auto metrics = Metrics::create();
    setEveryMetric(*metrics);
    const auto text = metrics->exposition();
    const std::vector<std::string> lines {
        "marigoldstile_requests_total{outcome=\"not-run\",reason=\"queue-full\"} 2",
        "marigoldstile_request_duration_seconds_count{outcome=\"not-run\"} 2",
        "marigoldstile_request_duration_seconds_bucket{outcome=\"not-run\",le=\"0.005\"} 1",
        "marigoldstile_retries_total{reason=\"upstream-lost\"} 1",
        "marigoldstile_queue_length{pool=\"juniors\"} 7",
        "marigoldstile_slots{pool=\"juniors\",state=\"draining\"} 8",
        "marigoldstile_ejected_upstreams{pool=\"juniors\"} 1",
        "marigoldstile_peer_messages_total{direction=\"sent\",type=\"heartbeat\"} 1",
        "marigoldstile_peer_bytes_total{direction=\"sent\"} 120",
        "marigoldstile_platform_calls_total{kind=\"read\",status=\"ok\"} 1",
        "marigoldstile_platform_call_duration_seconds_count{kind=\"read\"} 1",
        "marigoldstile_configuration_revision 12",
        "marigoldstile_view_epoch 4",
        "marigoldstile_view_members 3",
        "marigoldstile_ready 1",
        "marigoldstile_moves_total 1",
        "marigoldstile_wave_hosts{state=\"rebooting\",wave=\"spring\"} 4",
        "marigoldstile_ledger_records{state=\"finished\"} 9",
        "marigoldstile_audit_backlog_records 2",
    };
    for (const auto& line : lines)
        CHECK_MESSAGE(hasLine(text, line), line);
}

TEST_CASE("a gauge exposes only its last value")
{
    const auto metrics = Metrics::create();
    metrics->setQueueLength("juniors", 7);
    metrics->setQueueLength("juniors", 0);
    CHECK(hasLine(metrics->exposition(), "marigoldstile_queue_length{pool=\"juniors\"} 0"));
}
