/// Tests of the platform adapters: common semantics, and faults of a remote platform.

#include "Adapters/Platform/CurlClient.h"
#include "Adapters/Platform/EmbeddedPlatform.h"
#include "Adapters/Platform/EtcdCodec.h"
#include "Adapters/Platform/EtcdPlatform.h"
#include "Standins/PlatformFixture.h"

#include <condition_variable>
#include <doctest/doctest.h>
#include <mutex>

using Adapters::EtcdPlatform;
using Ports::PlatformPort;
using Ports::PlatformReply;
using Ports::PlatformStatus;
using Standins::PlatformFaultMode;
using Standins::PlatformFixture;
using Standins::replyTo;

namespace {

PlatformReply read(PlatformPort& port, const std::string& key, bool prefix = false)
{
    return replyTo([&](auto callback) { port.read(key, prefix, callback); });
}

PlatformReply transact(PlatformPort& port, const Ports::Transaction& transaction)
{
    return replyTo([&](auto callback) { port.transact(transaction, callback); });
}

PlatformReply create(PlatformPort& port, const std::string& key, const std::string& value, Ports::LeaseId lease = 0)
{
    return transact(port, { { { key, 0 } }, { { key, value, lease } }, {} });
}

/// Records the events of a watch.
class WatchLog {
public:
    Ports::WatchCallback callback()
    {
        return [this](const auto& events, bool broken) {
            const std::lock_guard lock(m_mutex);
            for (const auto& it : events)
                m_text += (it.deleted ? "-" : "+") + it.pair.key + "=" + it.pair.value + " ";
            m_breaks += broken ? 1 : 0;
            m_changed.notify_all();
        };
    }

    /// Waits until the recorded events are as long as the text, and checks that they are equal.
    void awaitText(const std::string& text)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_text.size() >= text.size(); });
        CHECK(m_text == text);
    }

    void awaitBreak()
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_breaks > 0; });
    }

    int breaks()
    {
        const std::lock_guard lock(m_mutex);
        return m_breaks;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_text;
    int m_breaks = 0;
};

/// Checks the semantics that all implementations of PlatformPort share. Stops the port.
void checkSemantics(PlatformPort& port)
{
    const std::string binary("\0\xff\n\"", 4);
    CHECK(read(port, "", true).values.empty());
    const auto created = create(port, "p/" + binary, binary);
    REQUIRE(created.status == PlatformStatus::Ok);
    const auto found = read(port, "p/", true);
    REQUIRE(found.values.size() == 1);
    CHECK(found.values[0].key == "p/" + binary);
    CHECK(found.values[0].value == binary);
    CHECK(found.values[0].modRevision == created.revision);
    CHECK(create(port, "p/" + binary, "again").status == PlatformStatus::ComparesFailed);

    const auto lease = replyTo([&](auto callback) { port.grantLease(std::chrono::hours(1), callback); });
    REQUIRE(lease.status == PlatformStatus::Ok);
    CHECK(lease.timeToLive == std::chrono::hours(1));
    CHECK(create(port, "held", "x", lease.lease).status == PlatformStatus::Ok);
    WatchLog log;
    port.watch("", created.revision, log.callback());
    CHECK(replyTo([&](auto callback) { port.renewLease(lease.lease, callback); }).timeToLive == std::chrono::hours(1));
    CHECK(replyTo([&](auto callback) { port.revokeLease(lease.lease, callback); }).status == PlatformStatus::Ok);
    CHECK(replyTo([&](auto callback) { port.renewLease(lease.lease, callback); }).timeToLive == std::chrono::seconds(0));
    CHECK(create(port, "held", "late", lease.lease).status == PlatformStatus::ComparesFailed);
    CHECK(read(port, "held").values.empty());
    CHECK(transact(port, { {}, {}, { "p/" + binary } }).status == PlatformStatus::Ok);
    log.awaitText("+p/" + binary + "=" + binary + " +held=x -held= -p/" + binary + "= ");
    port.stop();
    CHECK(log.breaks() == 0);
}

/// Makes a write that takes effect but whose answer is lost, while an idle connection is available for reuse.
PlatformReply createWithLostAnswer(PlatformFixture& platform, PlatformPort& port)
{
    REQUIRE(read(port, "k").status == PlatformStatus::Ok);
    platform.setFault({ .mode = PlatformFaultMode::LateAfterEffect, .calls = 1 });
    return create(port, "k", "mine");
}

} // namespace

TEST_CASE("the embedded platform has the semantics of the port")
{
    const auto port = Ports::PlatformPortRegistry::instance().create("embedded", {});
    REQUIRE(port);
    port->start();
    checkSemantics(*port);
}

TEST_CASE("the etcd client has the semantics of the port")
{
    PlatformFixture platform;
    const auto port = Ports::PlatformPortRegistry::instance().create("etcd", platform.settings());
    REQUIRE(port);
    port->start();
    checkSemantics(*port);
}

TEST_CASE("a write that took effect but lost its answer is uncertain and can be read back")
{
    PlatformFixture platform;
    const auto port = EtcdPlatform::create(platform.settings());
    port->start();
    CHECK(createWithLostAnswer(platform, *port).status == PlatformStatus::Uncertain);
    const auto found = read(*port, "k");
    REQUIRE(found.values.size() == 1);
    CHECK(found.values[0].value == "mine");
    CHECK(platform.counters().transactions == 1);
}

TEST_CASE("without fresh connections for writes, a retry by libcurl reports failed compares although the write took effect")
{
    PlatformFixture platform;
    const auto port = EtcdPlatform::create(platform.settings(), { .freshConnectionForWrites = false });
    port->start();
    CHECK(createWithLostAnswer(platform, *port).status == PlatformStatus::ComparesFailed);
    CHECK(read(*port, "k").values.at(0).value == "mine");
    CHECK(platform.counters().transactions == 2);
}

TEST_CASE("a lease grant whose answer is lost is uncertain")
{
    PlatformFixture platform;
    const auto port = EtcdPlatform::create(platform.settings());
    port->start();
    platform.setFault({ .mode = PlatformFaultMode::LateAfterEffect, .calls = 1 });
    CHECK(replyTo([&](auto callback) { port->grantLease(std::chrono::seconds(5), callback); }).status == PlatformStatus::Uncertain);
}

TEST_CASE("calls end as not sent while the platform refuses connections")
{
    PlatformFixture platform;
    const auto port = EtcdPlatform::create(platform.settings());
    port->start();
    platform.setFault({ .mode = PlatformFaultMode::Down });
    CHECK(read(*port, "k").status == PlatformStatus::NotSent);
    CHECK(create(*port, "k", "x").status == PlatformStatus::NotSent);
    CHECK(replyTo([&](auto callback) { port->grantLease(std::chrono::seconds(5), callback); }).status == PlatformStatus::NotSent);
    platform.setFault({});
    CHECK(read(*port, "k").values.empty());
    CHECK(create(*port, "k", "x").status == PlatformStatus::Ok);
}

TEST_CASE("a watch breaks only once, and a new one from the next revision misses no change")
{
    PlatformFixture platform;
    const auto port = EtcdPlatform::create(platform.settings());
    port->start();
    WatchLog first;
    port->watch("p/", 1, first.callback());
    const auto created = create(*port, "p/a", "1");
    first.awaitText("+p/a=1 ");
    platform.breakWatches();
    first.awaitBreak();
    REQUIRE(create(*port, "p/b", "2").status == PlatformStatus::Ok);
    WatchLog second;
    port->watch("p/", created.revision + 1, second.callback());
    second.awaitText("+p/b=2 ");
    CHECK(platform.counters().waitingWatches == 1);
    port->stop();
    CHECK(first.breaks() == 1);
    CHECK(second.breaks() == 0);
}

TEST_CASE("a watch on a platform that is down breaks only once")
{
    PlatformFixture platform;
    const auto port = EtcdPlatform::create(platform.settings());
    port->start();
    platform.setFault({ .mode = PlatformFaultMode::Down });
    WatchLog log;
    port->watch("p/", 1, log.callback());
    log.awaitBreak();
    port->stop();
    CHECK(log.breaks() == 1);
}

namespace {

std::pair<PlatformStatus, std::vector<Ports::ListedHost>> readHosts(EtcdPlatform& port)
{
    std::promise<std::pair<PlatformStatus, std::vector<Ports::ListedHost>>> promise;
    port.readHostList([&](auto status, auto hosts) { promise.set_value({ status, std::move(hosts) }); });
    return promise.get_future().get();
}

} // namespace

TEST_CASE("the host list is read with host states, and reading fails while the platform is down")
{
    PlatformFixture platform;
    const auto port = EtcdPlatform::create(platform.settings());
    port->start();
    platform.setHosts({ { "a", "127.0.0.1:1", Ports::ListedHost::State::Live }, { "b", "127.0.0.1:2", Ports::ListedHost::State::Leaving } });
    const auto [status, hosts] = readHosts(*port);
    CHECK(status == PlatformStatus::Ok);
    REQUIRE(hosts.size() == 2);
    CHECK(hosts[0].state == Ports::ListedHost::State::Live);
    CHECK(hosts[1].name == "b");
    CHECK(hosts[1].state == Ports::ListedHost::State::Leaving);
    platform.setFault({ .mode = PlatformFaultMode::Down });
    CHECK(readHosts(*port).first == PlatformStatus::NotSent);
}

TEST_CASE("an unchanged host list isn't sent again, and a change is seen by the next read")
{
    PlatformFixture platform;
    const auto port = EtcdPlatform::create(platform.settings());
    port->start();
    platform.setHosts({ { "a", "127.0.0.1:1", Ports::ListedHost::State::Live } });
    for (unsigned n = 0; n < 3; ++n) {
        const auto [status, hosts] = readHosts(*port);
        CHECK(status == PlatformStatus::Ok);
        CHECK(hosts.size() == 1);
    }
    CHECK(platform.counters().hostListsUnchanged == 2);
    platform.setHosts({ { "a", "127.0.0.1:1", Ports::ListedHost::State::Leaving } });
    CHECK(readHosts(*port).second.front().state == Ports::ListedHost::State::Leaving);
    platform.setFault({ .mode = PlatformFaultMode::Down });
    CHECK(readHosts(*port).first == PlatformStatus::NotSent);
    platform.setFault({});
    CHECK(readHosts(*port).second.size() == 1);
    CHECK(platform.counters().hostListsUnchanged == 3);
}

TEST_CASE("the host list has only hosts of the own data centre and those without one")
{
    PlatformFixture platform;
    auto settings = platform.settings();
    settings.dataCentre = "imlil";
    const auto port = EtcdPlatform::create(settings);
    port->start();
    const auto live = Ports::ListedHost::State::Live;
    platform.setHosts({ { "a", "127.0.0.1:1", live, 1, "imlil" }, { "b", "127.0.0.1:2", live, 1, "asni" }, { "c", "127.0.0.1:3", live, 1, "" } });
    const auto hosts = readHosts(*port).second;
    REQUIRE(hosts.size() == 2);
    CHECK(hosts[0].name == "a");
    CHECK(hosts[1].name == "c");
}

TEST_CASE("unreadable answers are rejected")
{
    using namespace Adapters::EtcdCodec;
    for (const char* text : { "", "[]", "{", "{}", R"({"header":{"revision":"x"}})", R"({"header":{"revision":"1"},"kvs":[{"key":"*"}]})",
             R"({"header":{"revision":"1"},"kvs":7})", R"({"header":{"revision":"1"},"kvs":[7]})" })
        CHECK_FALSE(decodeRange(text));
    CHECK_FALSE(decodeTransaction(R"({"header":{"revision":"1"},"succeeded":"yes"})"));
    CHECK_FALSE(decodeRenewal(R"({"error":{"code":14}})"));
    CHECK_FALSE(decodeWatchLine(R"({"result":{"events":[7]}})"));
    CHECK_FALSE(decodeHostList(R"({"hosts":[{"name":"a"}]})"));
    CHECK(decodeWatchLine(R"({"error":{"code":14}})")->cancelled);
    CHECK(rangeEndOf("a\xff") == "b");
    CHECK(rangeEndOf("\xff") == std::string(1, '\0'));
}
