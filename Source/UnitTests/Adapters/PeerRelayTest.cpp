/// Tests of the peer adapter with connections that break or stall, through a relay between two hosts.

#include "Adapters/PeerTestSupport.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace PeerTesting;

namespace {

Ports::PeerAddress addressThrough(const Relay& relay, const Ports::HostId& host)
{
    return { host, "127.0.0.1:" + std::to_string(relay.port()) };
}

/// Frames that B receives from A if bytes held back on A's old connection are released after A has connected again.
std::vector<std::string> framesAfterUnfreeze(const Adapters::PeerGuards& guards)
{
    const std::string stale(10000, 's');
    Host b(settingsOf("b"), guards);
    Relay relay(b.peers->listenPort());
    Host a(settingsOf("a"));
    a.peers->setPeers({ addressThrough(relay, "b") });
    REQUIRE(a.sendWhenConnected("b", "first"));
    REQUIRE(waitUntil([&] { return b.sink.countFrom("a") == 1; }));

    relay.freeze(true);
    REQUIRE(a.peers->send("b", stale));
    REQUIRE(waitUntil([&] { return relay.heldBytes() > stale.size(); }));
    a.peers->setPeers({ b.address() });
    REQUIRE(waitUntil([&] { return a.sink.disconnectionsOf("b") == 1; }));
    REQUIRE(a.sendWhenConnected("b", "newer"));
    REQUIRE(waitUntil([&] { return b.sink.countFrom("a") == 2; }));
    relay.freeze(false);
    REQUIRE(waitUntil([&] { return relay.connectionsEnded() == 1; }));
    // Without the guard, the stale frame reaches B before the relay's end of stream.
    if (!guards.closeSuperseded)
        REQUIRE(waitUntil([&] { return b.sink.disconnectionsOf("a") == 1; }));
    REQUIRE(a.sendWhenConnected("b", "last"));
    REQUIRE(waitUntil([&] { return b.sink.framesFrom("a").back() == "last"; }));
    return b.sink.framesFrom("a");
}

} // namespace

TEST_CASE("no frame arrives twice, out of order or after send() rejected it when connections are cut")
{
    constexpr int rounds = 20;
    constexpr int framesPerRound = 400;
    Host b(settingsOf("b"));
    Relay relay(b.peers->listenPort());
    Host a(settingsOf("a"));
    a.peers->setPeers({ addressThrough(relay, "b") });
    std::vector<int> taken;
    int next = 0;
    for (int round = 0; round < rounds; ++round) {
        REQUIRE(a.sendWhenConnected("b", std::to_string(next)));
        taken.push_back(next++);
        for (int n = 0; n < framesPerRound; ++n, ++next) {
            if (n == framesPerRound / 2)
                relay.cut();
            if (a.peers->send("b", std::to_string(next)))
                taken.push_back(next);
        }
        REQUIRE(waitUntil([&] { return a.sink.disconnectionsOf("b") == round + 1; }));
    }
    REQUIRE(a.sendWhenConnected("b", std::to_string(next)));
    taken.push_back(next);
    REQUIRE(waitUntil([&] { return b.sink.countFrom("a") > 0 && b.sink.framesFrom("a").back() == std::to_string(next); }));
    std::vector<int> arrived;
    for (const auto& frame : b.sink.framesFrom("a"))
        arrived.push_back(std::stoi(frame));
    CHECK(std::adjacent_find(arrived.begin(), arrived.end(), std::greater_equal<>()) == arrived.end());
    CHECK(std::includes(taken.begin(), taken.end(), arrived.begin(), arrived.end()));
}

TEST_CASE("both sides close a connection that stalls without closing")
{
    Host b(settingsOf("b"));
    Relay relay(b.peers->listenPort());
    Host a(settingsOf("a"));
    a.peers->setPeers({ addressThrough(relay, "b") });
    REQUIRE(a.sendWhenConnected("b", "first"));
    REQUIRE(waitUntil([&] { return b.sink.countFrom("a") == 1; }));
    relay.freeze(true);
    CHECK(waitUntil([&] { return a.sink.disconnectionsOf("b") == 1 && b.sink.disconnectionsOf("a") == 1; }));
    CHECK_FALSE(a.peers->send("b", "not connected"));
    relay.freeze(false);
    REQUIRE(a.sendWhenConnected("b", "second"));
    CHECK(waitUntil([&] { return b.sink.countFrom("a") == 2; }));
}

TEST_CASE("a host's new connection closes its old one, so that no stale frame arrives after a newer one")
{
    const std::string stale(10000, 's');
    CHECK(framesAfterUnfreeze({ .closeSuperseded = false }) == std::vector<std::string> { "first", "newer", stale, "last" });
    CHECK(framesAfterUnfreeze({}) == std::vector<std::string> { "first", "newer", "last" });
}
