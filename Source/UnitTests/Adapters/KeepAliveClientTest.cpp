/// Tests of KeepAliveClient against scripted servers on loopback.

#include "Adapters/Platform/KeepAliveClient.h"
#include "Adapters/ScriptedServer.h"

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace AdapterTests;
using namespace std::chrono_literals;
using Adapters::HttpEnd;
using Adapters::HttpOutcome;

namespace {

class Rig {
public:
    explicit Rig(const Adapters::ConnectionLimits& limits = {})
        : m_loop(Adapters::EventLoop::create())
        , m_client(Adapters::KeepAliveClient::create(*m_loop, limits))
    {
        m_loop->start();
    }

    ~Rig()
    {
        m_loop->post([this] { m_client->shutdown(); });
        m_loop->stop();
    }

    /// `atStart` runs on the loop's thread right after the start of the call; `pause` before the next events of connections, in the
    /// same round of the loop.
    std::future<HttpOutcome> post(const std::string& address, const std::string& body, std::chrono::milliseconds timeout = 0ms, bool isIdleTimeout = false, const std::function<void()>& pause = {}, const std::function<void()>& atStart = {})
    {
        Adapters::HttpCall call;
        call.method = "POST";
        call.url = "http://" + address + "/run";
        call.body = body;
        call.timeout = timeout;
        call.isIdleTimeout = isIdleTimeout;
        const auto promise = std::make_shared<std::promise<HttpOutcome>>();
        m_loop->post([this, promise, call, pause, atStart] {
            if (pause)
                m_loop->post(pause);
            m_last = m_client->start(call, [promise](HttpOutcome outcome) { promise->set_value(std::move(outcome)); });
            if (atStart)
                atStart();
        });
        return promise->get_future();
    }

    void cancelLast()
    {
        m_loop->post([this] { m_client->cancel(m_last); });
    }

    void shutdown()
    {
        m_loop->post([this] { m_client->shutdown(); });
    }

private:
    std::unique_ptr<Adapters::EventLoop> m_loop;
    std::unique_ptr<Adapters::KeepAliveClient> m_client;
    Adapters::KeepAliveClient::CallId m_last = 0;
};

std::string answer(const std::string& body, const std::string& headers = "")
{
    return "HTTP/1.1 200 OK\r\n" + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool echo(RawSocket& socket, const HttpMessage& request)
{
    return socket.send(answer("echo " + request.body));
}

/// Keeps the calling thread busy for that long, as a paused process does.
void pauseFor(std::chrono::milliseconds time)
{
    const auto until = Common::BootClock::now() + time;
    while (Common::BootClock::now() < until)
        std::this_thread::yield();
}

/// A listener that accepts connections only when the test does; until then, the system buffers what clients send.
class SilentListener {
public:
    SilentListener()
        : m_fd(::socket(AF_INET, SOCK_STREAM, 0))
    {
        auto address = RawSocket::loopback(0);
        socklen_t size = sizeof(address);
        REQUIRE(::bind(m_fd, reinterpret_cast<const sockaddr*>(&address), size) == 0);
        REQUIRE(::listen(m_fd, 8) == 0);
        ::getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
    }
    ~SilentListener() { ::close(m_fd); }
    SilentListener(const SilentListener&) = delete;
    SilentListener& operator=(const SilentListener&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    RawSocket accept() { return RawSocket(::accept(m_fd, nullptr, nullptr)); }

private:
    int m_fd;
    std::uint16_t m_port = 0;
};

} // namespace

TEST_CASE("consecutive calls reuse a connection and each gets its own answer")
{
    ScriptedServer server(25170, echo);
    Rig rig;
    for (int n = 0; n < 20; ++n) {
        const auto outcome = rig.post(server.address(), std::to_string(n)).get();
        CHECK(outcome.end == HttpEnd::Answered);
        CHECK(outcome.status == 200);
        CHECK(outcome.body == "echo " + std::to_string(n));
    }
    CHECK(server.connections() == 1);
}

TEST_CASE("calls above the connection limit wait, and all are answered")
{
    ScriptedServer server(25171, echo);
    Rig rig({ 8, 2, 3000ms });
    constexpr int calls = 50;
    std::vector<std::future<HttpOutcome>> outcomes;
    outcomes.reserve(calls);
    for (int n = 0; n < calls; ++n)
        outcomes.push_back(rig.post(server.address(), std::to_string(n)));
    for (int n = 0; n < calls; ++n)
        CHECK(outcomes[static_cast<std::size_t>(n)].get().body == "echo " + std::to_string(n));
    CHECK(server.connections() <= 2);
}

TEST_CASE("a server in use keeps its connection although connections to former servers fill the idle limit")
{
    ScriptedServer formerA(25178, echo);
    ScriptedServer formerB(25179, echo);
    ScriptedServer inUse(25180, echo);
    Rig rig({ 2, 2, 3000ms });
    for (auto* it : { &formerA, &formerB })
        CHECK(rig.post(it->address(), "x").get().end == HttpEnd::Answered);
    for (int n = 0; n < 10; ++n)
        CHECK(rig.post(inUse.address(), "x").get().end == HttpEnd::Answered);
    CHECK(inUse.connections() == 1);
}

TEST_CASE("a call to a port without a listener ends as not sent")
{
    Rig rig;
    std::string address;
    {
        SilentListener closed;
        address = closed.address();
    }
    CHECK(rig.post(address, "x").get().end == HttpEnd::NotSent);
    CHECK(rig.post("not-an-address", "x").get().end == HttpEnd::NotSent);
}

TEST_CASE("a call to an address with a port that is out of range or followed by other text reaches no server")
{
    constexpr std::uint16_t port = 25181;
    ScriptedServer server(port, echo);
    Rig rig;
    for (const auto& text : std::vector<std::string> { std::to_string(0x10000 + port), std::to_string(port) + "x", "0", "-1", "99999", "" }) {
        CAPTURE(text);
        CHECK(rig.post("127.0.0.1:" + text, "x", 2000ms).get().end == HttpEnd::NotSent);
    }
    CHECK(server.connections() == 0);
}

TEST_CASE("a call ends as broken if the server closes the connection before or within its answer")
{
    for (const std::string part : { "", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", "HTTP/1.1 200 OK\r\nContent-Le", "no HTTP at all\r\n\r\n" }) {
        CAPTURE(part);
        ScriptedServer server(25172, [&part](RawSocket& socket, const HttpMessage&) {
            socket.send(part);
            return false;
        });
        Rig rig;
        CHECK(rig.post(server.address(), "x").get().end == HttpEnd::Broken);
    }
}

TEST_CASE("a request isn't sent twice if its reused connection fails")
{
    int served = 0;
    ScriptedServer server(25173, [&served](RawSocket& socket, const HttpMessage& request) { return ++served == 1 && echo(socket, request); });
    Rig rig;
    CHECK(rig.post(server.address(), "a").get().end == HttpEnd::Answered);
    CHECK(rig.post(server.address(), "b").get().end == HttpEnd::Broken);
    CHECK(server.requests() == 2);
}

TEST_CASE("chunked answers, interim responses and answers without a length are read completely")
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwhol\r\n1\r\ne\r\n0\r\n\r\n";
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n" + answer("whole");
    const std::string closed = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole";
    for (const auto& text : { chunked, interim, closed }) {
        CAPTURE(text);
        ScriptedServer server(25174, [&](RawSocket& socket, const HttpMessage&) {
            for (const char c : text)
                socket.send(std::string(1, c));
            return text != closed;
        });
        Rig rig;
        for (int n = 0; n < 2; ++n) {
            const auto outcome = rig.post(server.address(), "x").get();
            CHECK(outcome.end == HttpEnd::Answered);
            CHECK(outcome.body == "whole");
        }
        CHECK(server.connections() == (text == closed ? 2 : 1));
    }
}

TEST_CASE("an unsolicited answer isn't taken as the answer to the next call")
{
    ScriptedServer server(25175, [](RawSocket& socket, const HttpMessage& request) { return socket.send(answer("echo " + request.body) + answer("stray")); });
    Rig rig;
    for (int n = 0; n < 5; ++n)
        CHECK(rig.post(server.address(), std::to_string(n)).get().body == "echo " + std::to_string(n));
    CHECK(server.connections() == 5);
}

TEST_CASE("a call that times out ends, also while it waits for a connection")
{
    SilentListener server;
    Rig rig({ 8, 1, 3000ms });
    auto first = rig.post(server.address(), "x", 1000ms);
    auto socket = server.accept();
    REQUIRE(socket.waitForBytes());
    auto second = rig.post(server.address(), "y", 20ms);
    CHECK(second.get().end == HttpEnd::NotSent);
    CHECK(first.get().end == HttpEnd::Broken);
}

TEST_CASE("a call whose time passes during a pause of the process isn't sent once its connection opens")
{
    ScriptedServer server(25181, echo);
    Rig rig;
    const auto outcome = rig.post(server.address(), "x", 20ms, false, [] { pauseFor(100ms); }).get();
    CHECK(outcome.end == HttpEnd::NotSent);
    // The same connection or a later one: whatever was sent before has arrived by now.
    CHECK(rig.post(server.address(), "y").get().end == HttpEnd::Answered);
    CHECK(server.requests() == 1);
}

TEST_CASE("a call whose time passes during a pause of the process isn't sent on the connection that it waited for")
{
    std::promise<void> isReceived;
    std::promise<void> mayAnswer;
    std::atomic<bool> hasAnswered = false;
    ScriptedServer server(25182, [&, first = true](RawSocket& socket, const HttpMessage& request) mutable {
        if (std::exchange(first, false)) {
            isReceived.set_value();
            mayAnswer.get_future().wait();
        }
        const bool isSent = echo(socket, request);
        hasAnswered = true;
        return isSent;
    });
    Rig rig({ 8, 1, 3000ms });
    auto first = rig.post(server.address(), "a");
    isReceived.get_future().wait();
    auto waiting = rig.post(
        server.address(), "b", 20ms, false, [] { pauseFor(100ms); }, [&] {
        mayAnswer.set_value();
        while (!hasAnswered)
            std::this_thread::yield(); });
    auto last = rig.post(server.address(), "c");
    CHECK(first.get().body == "echo a");
    CHECK(waiting.get().end == HttpEnd::NotSent);
    CHECK(last.get().body == "echo c");
    CHECK(server.requests() == 2);
}

TEST_CASE("an idle timeout doesn't end a call while parts of its answer arrive, but a plain timeout does")
{
    constexpr auto limit = 1000ms;
    for (const bool isIdle : { true, false }) {
        SilentListener server;
        SilentListener clock;
        Rig rig;
        auto outcome = rig.post(server.address(), "x", limit, isIdle);
        auto socket = server.accept();
        REQUIRE(socket.waitForBytes());
        const auto text = answer("whole");
        for (std::size_t n = 0; n < text.size(); n += text.size() / 4) {
            rig.post(clock.address(), "y", limit * 2 / 5).get(); // Times out without an answer: a delay of a part of the limit.
            socket.send(text.substr(n, text.size() / 4));
        }
        CHECK(outcome.get().end == (isIdle ? HttpEnd::Answered : HttpEnd::Broken));
    }
}

TEST_CASE("no more bytes of a cancelled call reach the server")
{
    SilentListener server;
    Rig rig;
    // More than the socket buffers of both sides hold, so that a part stays with the client.
    auto outcome = rig.post(server.address(), std::string(64 << 20, 'x'));
    auto socket = server.accept();
    REQUIRE(socket.waitForBytes());
    rig.cancelLast();
    CHECK(outcome.get().end == HttpEnd::Broken);
    CHECK(socket.waitForReset());
}

TEST_CASE("shutdown ends running calls, and later calls end immediately")
{
    SilentListener server;
    Rig rig;
    auto before = rig.post(server.address(), "x");
    auto socket = server.accept();
    rig.shutdown();
    auto after = rig.post(server.address(), "y");
    CHECK(before.get().end != HttpEnd::Answered);
    CHECK(after.get().end == HttpEnd::NotSent);
}
