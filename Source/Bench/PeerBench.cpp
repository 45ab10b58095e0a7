/// Measures the round trip of a 1 KB frame between two hosts over the loopback interface; percentiles are printed as counters.

#include "Adapters/Peers/Nghttp2Peers.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

namespace {

constexpr std::size_t frameBytes = 1024;
constexpr int roundTrips = 20000;

/// Sends each frame back to its sender.
class EchoSink : public Ports::PeerSink {
public:
    void onFrameReceived(const Ports::HostId& from, std::string frame) override { port->send(from, std::move(frame)); }
    void onPeerDisconnected(const Ports::HostId&) override { }

    Ports::PeerPort* port = nullptr;
};

/// Counts the received frames; waitFor() blocks until `count` have arrived since the start.
class CountingSink : public Ports::PeerSink {
public:
    void onFrameReceived(const Ports::HostId&, std::string) override
    {
        const std::lock_guard lock(m_mutex);
        ++m_received;
        m_changed.notify_one();
    }

    void onPeerDisconnected(const Ports::HostId&) override { }

    void waitFor(int count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_received >= count; });
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_received = 0;
};

Ports::PeerSettings settingsOf(const Ports::HostId& host)
{
    Ports::PeerSettings settings;
    settings.self = host;
    settings.listenAddress = "127.0.0.1:0";
    return settings;
}

Ports::PeerAddress addressOf(const Ports::HostId& host, const Adapters::Nghttp2Peers& peers)
{
    return { host, "127.0.0.1:" + std::to_string(peers.listenPort()) };
}

void sendWhenConnected(Ports::PeerPort& port, const Ports::HostId& to, const std::string& frame)
{
    while (!port.send(to, frame))
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

double percentile(const std::vector<double>& sorted, double share)
{
    return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

void peerRoundTrip(benchmark::State& state)
{
    EchoSink echo;
    CountingSink counter;
    auto near = Adapters::Nghttp2Peers::create(settingsOf("near")).take();
    auto far = Adapters::Nghttp2Peers::create(settingsOf("far")).take();
    echo.port = far.get();
    near->start(counter);
    far->start(echo);
    near->setPeers({ addressOf("far", *far) });
    far->setPeers({ addressOf("near", *near) });
    const std::string frame(frameBytes, 'x');
    sendWhenConnected(*far, "near", frame);
    counter.waitFor(1);
    sendWhenConnected(*near, "far", frame);
    counter.waitFor(2);

    int sent = 2;
    std::vector<double> micros;
    for (auto _ : state) {
        const auto begin = std::chrono::steady_clock::now();
        near->send("far", frame);
        counter.waitFor(++sent);
        micros.push_back(std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count());
    }
    std::sort(micros.begin(), micros.end());
    state.counters["p50us"] = percentile(micros, 0.5);
    state.counters["p99us"] = percentile(micros, 0.99);
    near->stop();
    far->stop();
}

} // namespace

BENCHMARK(peerRoundTrip)->Iterations(roundTrips)->UseRealTime();
BENCHMARK_MAIN();
