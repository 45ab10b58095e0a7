/// Tests of the peer adapter between hosts on loopback.

#include "Adapters/PeerTestSupport.h"

#include <doctest/doctest.h>

#include <random>
#include <set>

#include <sys/socket.h>
#include <unistd.h>

using namespace PeerTesting;

namespace {

constexpr std::size_t largeFrameBytes = std::size_t { 8 } << 20;

std::string patterned(std::size_t size)
{
    std::string frame(size, '\0');
    for (std::size_t n = 0; n < size; ++n)
        frame[n] = static_cast<char>(n * 31 + n / 251);
    return frame;
}

void sendNumbered(Host& from, const Ports::HostId& to, const std::string& label, int count)
{
    for (int n = 0; n < count; ++n)
        from.sendWhenConnected(to, label + std::to_string(n));
}

} // namespace

TEST_CASE("invalid settings are rejected")
{
    CHECK_FALSE(Adapters::Nghttp2Peers::create(settingsOf("")).isOk());
    CHECK_FALSE(Adapters::Nghttp2Peers::create(settingsOf("a b")).isOk());
    CHECK_FALSE(Adapters::Nghttp2Peers::create(settingsOf(std::string(65, 'a'))).isOk());
    for (const auto* address : { "", "localhost:1", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:1x", "[::1:5" }) {
        auto settings = settingsOf("a");
        settings.listenAddress = address;
        CHECK_FALSE(Adapters::Nghttp2Peers::create(settings).isOk());
    }
    Host first(settingsOf("a"));
    RecordingSink sink;
    auto second = Adapters::Nghttp2Peers::create(settingsOf("b", first.peers->listenPort())).take();
    CHECK_THROWS_AS(second->start(sink), Ports::PortError);
    CHECK(Ports::PeerPortRegistry::instance().create("nghttp2", settingsOf("c")) != nullptr);
}

TEST_CASE("frames of any size arrive complete and in order in both directions")
{
    Host a(settingsOf("a"));
    Host b(settingsOf("b"));
    CHECK_FALSE(a.peers->send("b", "unknown peer"));
    a.peers->setPeers({ a.address(), b.address(), { "bad", "nowhere" } });
    b.peers->setPeers({ a.address(), b.address() });
    const std::vector<std::string> frames { "first", "", patterned(1), patterned(16384), patterned(largeFrameBytes), "last" };
    for (const auto& frame : frames) {
        REQUIRE(a.sendWhenConnected("b", frame));
        REQUIRE(b.sendWhenConnected("a", frame));
    }
    CHECK(waitUntil([&] { return b.sink.countFrom("a") == frames.size() && a.sink.countFrom("b") == frames.size(); }));
    CHECK(b.sink.framesFrom("a") == frames);
    CHECK(a.sink.framesFrom("b") == frames);
    CHECK_FALSE(a.peers->send("b", patterned(largeFrameBytes + 1)));
    CHECK_FALSE(a.peers->send("a", "itself"));
    CHECK_FALSE(a.peers->send("bad", ""));
}

TEST_CASE("frames sent concurrently by many threads arrive in the order of each thread")
{
    constexpr int threadCount = 8;
    constexpr int framesEach = 500;
    constexpr std::size_t framesInAll = std::size_t { threadCount } * framesEach;
    Host a(settingsOf("a"));
    Host b(settingsOf("b"));
    Host c(settingsOf("c"));
    a.peers->setPeers({ b.address(), c.address() });
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int n = 0; n < threadCount; ++n)
        threads.emplace_back([&a, n] {
            sendNumbered(a, "b", std::to_string(n) + ":", framesEach);
            sendNumbered(a, "c", std::to_string(n) + ":", framesEach);
        });
    for (auto& thread : threads)
        thread.join();
    for (auto* host : { &b, &c }) {
        REQUIRE(waitUntil([&] { return host->sink.countFrom("a") == framesInAll; }));
        std::map<std::string, int> next;
        for (const auto& frame : host->sink.framesFrom("a")) {
            const auto colon = frame.find(':');
            CHECK(std::stoi(frame.substr(colon + 1)) == next[frame.substr(0, colon)]++);
        }
    }
}

TEST_CASE("a full queue rejects frames, and all accepted frames arrive")
{
    auto settings = settingsOf("a");
    settings.maximumQueuedBytes = 100000;
    Host b(settingsOf("b"));
    Relay relay(b.peers->listenPort());
    Host a(settings);
    a.peers->setPeers({ { "b", "127.0.0.1:" + std::to_string(relay.port()) } });
    REQUIRE(a.sendWhenConnected("b", "x"));
    CHECK_FALSE(a.peers->send("b", patterned(100001)));
    std::size_t taken = 1;
    bool refused = false;
    while (!refused && taken < 100000) {
        refused = !a.peers->send("b", patterned(50000));
        taken += refused ? 0 : 1;
    }
    CHECK(refused);
    CHECK(waitUntil([&] { return b.sink.countFrom("a") == taken; }));
}

TEST_CASE("a stopped peer is reported as disconnected, and dialled again after its restart")
{
    Host a(settingsOf("a"));
    auto b = std::make_unique<Host>(settingsOf("b"));
    const auto address = b->address();
    const auto port = b->peers->listenPort();
    a.peers->setPeers({ address });
    b->peers->setPeers({ a.address() });
    REQUIRE(a.sendWhenConnected("b", "one"));
    REQUIRE(b->sendWhenConnected("a", "two"));
    REQUIRE(waitUntil([&] { return b->sink.countFrom("a") == 1 && a.sink.countFrom("b") == 1; }));
    b.reset();
    CHECK(waitUntil([&] { return a.sink.disconnectionsOf("b") == 2; }));
    CHECK_FALSE(a.peers->send("b", "nobody there"));

    b = std::make_unique<Host>(settingsOf("b", port));
    REQUIRE(a.sendWhenConnected("b", "three"));
    REQUIRE(waitUntil([&] { return b->sink.countFrom("a") == 1; }));
    CHECK(b->sink.framesFrom("a") == std::vector<std::string> { "three" });
    CHECK(a.sink.disconnectionsOf("b") == 2);

    a.peers->setPeers({});
    CHECK(waitUntil([&] { return a.sink.disconnectionsOf("b") == 3 && b->sink.disconnectionsOf("a") == 1; }));
    CHECK_FALSE(a.peers->send("b", "forgotten"));
}

TEST_CASE("stop() sends the queued frames")
{
    constexpr int frameCount = 200;
    Host b(settingsOf("b"));
    Host a(settingsOf("a"));
    a.peers->setPeers({ b.address() });
    sendNumbered(a, "b", "n", frameCount);
    a.peers->stop();
    CHECK_FALSE(a.peers->send("b", "late"));
    CHECK(waitUntil([&] { return b.sink.disconnectionsOf("a") == 1; }));
    CHECK(b.sink.countFrom("a") == frameCount);
}

TEST_CASE("garbage from raw sockets doesn't disturb other connections, and open sockets don't block stop()")
{
    constexpr std::uint64_t seed = 7;
    constexpr int socketCount = 60;
    std::mt19937_64 random(seed);
    Host a(settingsOf("a"));
    Host b(settingsOf("b"));
    a.peers->setPeers({ b.address() });
    REQUIRE(a.sendWhenConnected("b", "before"));
    const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
    const std::string settingsFrame("\0\0\0\4\0\0\0\0\0", 9);
    std::vector<int> sockets;
    for (int n = 0; n < socketCount; ++n) {
        auto bytes = n % 3 == 0 ? "" : n % 3 == 1 ? preface
                                                  : preface + settingsFrame;
        for (int it = 0; it < 2000 && n != 0; ++it)
            bytes += static_cast<char>(random());
        const int socket = connectTo(b.peers->listenPort());
        REQUIRE(socket >= 0);
        REQUIRE(::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0);
        sockets.push_back(socket);
    }
    REQUIRE(a.sendWhenConnected("b", "after"));
    CHECK(waitUntil([&] { return b.sink.countFrom("a") == 2; }));
    CHECK(b.sink.disconnectionsOf("a") == 0);
    b.peers->stop();
    for (const int socket : sockets)
        ::close(socket);
}

TEST_CASE("a frame above the receiver's limit isn't delivered and closes the connection")
{
    auto settings = settingsOf("b");
    settings.maximumFrameBytes = 1000;
    Host b(settings);
    Host a(settingsOf("a"));
    a.peers->setPeers({ b.address() });
    REQUIRE(a.sendWhenConnected("b", patterned(1000)));
    REQUIRE(a.sendWhenConnected("b", patterned(1001)));
    REQUIRE(waitUntil([&] { return a.sink.disconnectionsOf("b") == 1 && b.sink.disconnectionsOf("a") == 1; }));
    REQUIRE(a.sendWhenConnected("b", "small"));
    REQUIRE(waitUntil([&] { return b.sink.countFrom("a") == 2; }));
    CHECK(b.sink.framesFrom("a") == std::vector<std::string> { patterned(1000), "small" });
}
