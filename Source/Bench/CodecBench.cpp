/// Measures encoding and decoding of the two most frequent peer messages: heartbeats and forwarded requests.

#include "Messages/Codec.h"

#include <benchmark/benchmark.h>

namespace {

constexpr int poolCount = 89;
constexpr std::size_t bodyBytes = 1024;

Messages::PeerMessage heartbeat()
{
    Messages::Heartbeat message { 123456789, "oukaimeden", 7, 42, 99, true, false, {} };
    for (int n = 0; n < poolCount; ++n) {
        const auto name = "pool-" + std::to_string(n);
        message.loads.push_back({ name, 12, 88, 80, std::chrono::milliseconds(250), { { name + "-a", 8 }, { name + "-b", 5 } } });
    }
    return message;
}

Messages::PeerMessage forwardRequest()
{
    Messages::ForwardRequest message;
    message.requestId = "entry-1-0123456789-42";
    message.service = "lesson-booking";
    message.team = "hotels";
    message.priority = "urgent";
    message.timeLeft = std::chrono::seconds(5);
    message.contentType = "application/json";
    message.body = std::make_shared<const std::string>(bodyBytes, 'x');
    return message;
}

void encodeAndDecode(benchmark::State& state, const Messages::PeerMessage& message)
{
    std::size_t frameBytes = 0;
    for (auto _ : state) {
        const auto frame = Messages::encode(message);
        frameBytes = frame.size();
        benchmark::DoNotOptimize(Messages::decode(frame));
    }
    state.counters["frameBytes"] = static_cast<double>(frameBytes);
}

} // namespace

BENCHMARK_CAPTURE(encodeAndDecode, Heartbeat89Pools, heartbeat());
BENCHMARK_CAPTURE(encodeAndDecode, ForwardRequest1KB, forwardRequest());
BENCHMARK_MAIN();
