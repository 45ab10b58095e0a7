/// Tests of the operator adapter, over loopback sockets.

#include "Adapters/CallersRawSocket.h"
#include "Adapters/Operators/PistacheOperators.h"

#include <doctest/doctest.h>
#include <mutex>
#include <thread>

using namespace AdapterTests;

namespace {

/// Replies twice from another thread; the first reply repeats the request.
class EchoSink final : public Ports::OperatorSink {
public:
    ~EchoSink() override
    {
        for (auto& thread : m_threads)
            thread.join();
    }

    void onOperatorRequest(Ports::OperatorRequest request, Ports::OperatorReplyCallback reply) override
    {
        const std::string text = request.method + ' ' + request.path + ' ' + request.query + ' ' + request.bearerToken + ' ' + request.body;
        m_threads.emplace_back([text, reply = std::move(reply)] {
            reply({ 209, "text/x-echo", text });
            reply({ 500, "text/plain", "second" });
        });
    }

private:
    std::vector<std::thread> m_threads;
};

} // namespace

TEST_CASE("Operator calls reach the sink, and only the first reply is sent")
{
    EchoSink sink;
    Ports::OperatorSettings settings;
    settings.listenAddress = "127.0.0.1:25160";
    settings.maximumBodyBytes = 1000;
    auto port = Adapters::PistacheOperators::create(settings).take();
    port->start(sink);

    struct Row {
        std::string request;
        int status;
        std::string body;
    };
    const std::string keep = "Host: x\r\nConnection: Keep-Alive\r\n";
    const Row rows[] = {
        { "GET /v1/status?a=1 HTTP/1.1\r\n" + keep + "Authorization: Bearer t0ken\r\n\r\n", 209, "GET /v1/status a=1 t0ken " },
        { "PUT /any/path HTTP/1.1\r\n" + keep + "Content-Length: 3\r\n\r\nabc", 209, "PUT /any/path   abc" },
        { "DELETE /x HTTP/1.1\r\n" + keep + "Authorization: Basic abc\r\n\r\n", 209, "DELETE /x   " },
        { "POST /big HTTP/1.1\r\n" + keep + "Content-Length: 1001\r\n\r\n" + std::string(1001, 'x'), 413, "{\"error\":\"body too large\"}\n" },
        { "GET /after HTTP/1.1\r\n" + keep + "\r\n", 209, "GET /after   " },
    };
    auto socket = RawSocket::connectTo(25160);
    for (const auto& row : rows) {
        REQUIRE(socket.send(row.request));
        const auto reply = socket.read();
        REQUIRE(reply);
        CHECK(reply->status() == row.status);
        CHECK(reply->body == row.body);
        if (row.status == 209)
            CHECK(reply->header("content-type") == "text/x-echo");
    }
    port->stop();
}

TEST_CASE("Listening for operators on an address in use throws PortError")
{
    EchoSink sink;
    Ports::OperatorSettings settings;
    settings.listenAddress = "127.0.0.1:25161";
    auto first = Adapters::PistacheOperators::create(settings).take();
    first->start(sink);
    auto second = Adapters::PistacheOperators::create(settings).take();
    CHECK_THROWS_AS(second->start(sink), Ports::PortError);
    first->stop();
}
