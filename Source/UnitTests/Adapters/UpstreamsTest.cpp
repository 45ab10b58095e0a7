/// Tests of the upstream adapter against a scripted upstream on loopback.

#include "Adapters/ScriptedServer.h"
#include "Adapters/Upstreams/CurlUpstreams.h"

#include <atomic>
#include <condition_variable>
#include <doctest/doctest.h>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

using namespace AdapterTests;
using Ports::AttemptEnd;

namespace {

class ResultSink final : public Ports::UpstreamSink {
public:
    void onAttemptEnded(Ports::UpstreamResult result) override
    {
        const std::lock_guard lock(m_mutex);
        m_results.push_back(std::move(result));
        m_changed.notify_all();
    }

    Ports::UpstreamResult wait(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_results.size() >= count; });
        return m_results[count - 1];
    }

    std::size_t count()
    {
        const std::lock_guard lock(m_mutex);
        return m_results.size();
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<Ports::UpstreamResult> m_results;
};

std::string answerTo(const HttpMessage& request, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nMarigold-Request-Id: " + request.header("marigold-request-id")
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Ports::UpstreamCall makeCall(Ports::AttemptId id, const std::string& address, const std::string& body)
{
    Ports::UpstreamCall call;
    call.attempt = id;
    call.upstream = "desk-1";
    call.address = address;
    call.service = "lessons";
    call.requestId = "request-" + std::to_string(id);
    call.timeLeft = std::chrono::milliseconds(20000);
    call.body = std::make_shared<const std::string>(body);
    call.contentType = "text/plain";
    return call;
}

struct Rig {
    explicit Rig(Ports::UpstreamSettings settings = {}, Adapters::UpstreamGuards guards = {})
        : port(Adapters::CurlUpstreams::create(settings, guards).take())
    {
        port->start(sink);
    }

    ResultSink sink;
    std::unique_ptr<Adapters::CurlUpstreams> port;
};

/// Upstream that answers request-1, but reads any other request and closes the connection without an answer.
struct ClosingUpstream {
    explicit ClosingUpstream(std::uint16_t port)
        : upstream(port, [this](RawSocket& socket, const HttpMessage& request) {
            if (request.header("marigold-request-id") == "request-1")
                return socket.send(answerTo(request, "first"));
            ++runs;
            return false;
        })
    {
    }

    std::atomic<int> runs { 0 };
    ScriptedServer upstream;
};

int runsAfterUnansweredClose(std::uint16_t port, const std::string& body, Adapters::UpstreamGuards guards, AttemptEnd& end)
{
    ClosingUpstream closing(port);
    Rig rig({}, guards);
    rig.port->dispatch(makeCall(1, closing.upstream.address(), body));
    CHECK(rig.sink.wait(1).end == AttemptEnd::Answered);
    rig.port->dispatch(makeCall(2, closing.upstream.address(), body));
    end = rig.sink.wait(2).end;
    rig.port->stop();
    CHECK(rig.sink.count() == 2);
    return closing.runs;
}

} // namespace

TEST_CASE("A request is sent once and ends as lost if its reused connection closes without an answer")
{
    for (const auto& body : { std::string(), std::string("book"), std::string(200000, 'b') }) {
        AttemptEnd end = AttemptEnd::Answered;
        CHECK(runsAfterUnansweredClose(25140, body, {}, end) == 1);
        CHECK(end == AttemptEnd::Lost);
    }
}

TEST_CASE("Without refuseSecondSend, libcurl sends such a request again")
{
    AttemptEnd end = AttemptEnd::Answered;
    CHECK(runsAfterUnansweredClose(25141, "book", { .refuseSecondSend = false }, end) > 1);
}

TEST_CASE("Complete answers are returned unchanged, over a persistent connection")
{
    HttpMessage seen;
    ScriptedServer upstream(25142, [&](RawSocket& socket, const HttpMessage& request) {
        seen = request;
        return socket.send(answerTo(request, "ran " + request.body));
    });
    Rig rig;
    for (Ports::AttemptId id = 1; id <= 20; ++id) {
        rig.port->dispatch(makeCall(id, upstream.address(), "body " + std::to_string(id)));
        const auto result = rig.sink.wait(id);
        CHECK(result.attempt == id);
        CHECK(result.end == AttemptEnd::Answered);
        CHECK(result.status == 200);
        CHECK(result.contentType == "text/plain");
        CHECK(*result.body == "ran body " + std::to_string(id));
    }
    CHECK(upstream.connections() == 1);
    CHECK(seen.startLine == "POST /run/lessons HTTP/1.1");
    CHECK(seen.header("marigold-time-left-ms") == "20000");
    CHECK(seen.header("content-type") == "text/plain");
    CHECK(seen.header("expect").empty());
    rig.port->stop();
}

TEST_CASE("Each kind of answer from an upstream has its result")
{
    struct Row {
        const char* name;
        std::string answer; ///< The first "%" is replaced by the request id.
        AttemptEnd end;
    };
    const std::string id = "Marigold-Request-Id: %\r\n";
    const Row rows[] = {
        { "any status counts when whole", "HTTP/1.1 500 No\r\n" + id + "Content-Length: 2\r\n\r\nno", AttemptEnd::Answered },
        { "chunked", "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", AttemptEnd::Answered },
        { "no content", "HTTP/1.1 204 No Content\r\n" + id + "\r\n", AttemptEnd::Answered },
        { "refused", "HTTP/1.1 503 Busy\r\n" + id + "Marigold-Refused: not-run\r\nContent-Length: 0\r\n\r\n", AttemptEnd::Refused },
        { "503 without proof", "HTTP/1.1 503 Busy\r\n" + id + "Content-Length: 0\r\n\r\n", AttemptEnd::Answered },
        { "proof with another status", "HTTP/1.1 500 Busy\r\n" + id + "Marigold-Refused: not-run\r\nContent-Length: 0\r\n\r\n", AttemptEnd::Answered },
        { "refusal of another request", "HTTP/1.1 503 Busy\r\nMarigold-Request-Id: other\r\nMarigold-Refused: not-run\r\nContent-Length: 0\r\n\r\n", AttemptEnd::Lost },
        { "answer to another request", "HTTP/1.1 200 OK\r\nMarigold-Request-Id: other\r\nContent-Length: 2\r\n\r\nok", AttemptEnd::Lost },
        { "no id", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", AttemptEnd::Lost },
        { "short body", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 9\r\n\r\nok", AttemptEnd::Truncated },
        { "short chunk", "HTTP/1.1 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n9\r\nok", AttemptEnd::Truncated },
        { "no length", "HTTP/1.1 200 OK\r\n" + id + "\r\nok", AttemptEnd::Truncated },
        { "too large", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 200\r\n\r\n" + std::string(200, 'x'), AttemptEnd::Truncated },
        { "silence", "", AttemptEnd::Lost },
        { "not HTTP", "good morning\r\n\r\n", AttemptEnd::Lost },
    };
    Ports::UpstreamSettings settings;
    settings.maximumAnswerBytes = 100;
    for (const auto& row : rows) {
        CAPTURE(row.name);
        ScriptedServer upstream(25143, [&](RawSocket& socket, const HttpMessage& request) {
            auto answer = row.answer;
            if (const auto at = answer.find('%'); at != std::string::npos)
                answer.replace(at, 1, request.header("marigold-request-id"));
            socket.send(answer);
            return false;
        });
        Rig rig(settings);
        rig.port->dispatch(makeCall(1, upstream.address(), "b"));
        CHECK(rig.sink.wait(1).end == row.end);
        rig.port->stop();
        CHECK(upstream.requests() == 1);
    }
}

TEST_CASE("Without matchRequestId, an answer to another request is accepted")
{
    ScriptedServer upstream(25144, [](RawSocket& socket, const HttpMessage&) {
        return socket.send("HTTP/1.1 200 OK\r\nMarigold-Request-Id: other\r\nContent-Length: 2\r\n\r\nok");
    });
    Rig rig({}, { .matchRequestId = false });
    rig.port->dispatch(makeCall(1, upstream.address(), "b"));
    CHECK(rig.sink.wait(1).end == AttemptEnd::Answered);
    rig.port->stop();
}

TEST_CASE("An attempt to a port without a listener, or after stop(), ends as not sent")
{
    Rig rig;
    rig.port->dispatch(makeCall(1, "127.0.0.1:25145", "b"));
    CHECK(rig.sink.wait(1).end == AttemptEnd::NotSent);
    rig.port->stop();
    rig.port->dispatch(makeCall(2, "127.0.0.1:25145", "b"));
    CHECK(rig.sink.wait(2).end == AttemptEnd::NotSent);
}

TEST_CASE("Timeouts, cancellations and stop() end each attempt once while one waits for a connection")
{
    std::mutex mutex;
    std::condition_variable changed;
    std::string cancelled;
    int running = 0;
    ScriptedServer upstream(25146, [&](RawSocket&, const HttpMessage& request) {
        const std::lock_guard lock(mutex);
        if (request.startLine.starts_with("DELETE"))
            cancelled = request.startLine;
        else
            ++running;
        changed.notify_all();
        return true; // Never answers.
    });
    const auto waitFor = [&](const std::function<bool()>& condition) {
        std::unique_lock lock(mutex);
        changed.wait(lock, condition);
    };
    Ports::UpstreamSettings settings;
    settings.connectionsPerUpstream = 1;
    Rig rig(settings);

    SUBCASE("time runs out while waiting for a connection")
    {
        rig.port->dispatch(makeCall(1, upstream.address(), "b"));
        waitFor([&] { return running == 1; });
        auto waiting = makeCall(2, upstream.address(), "b");
        waiting.timeLeft = std::chrono::milliseconds(50);
        rig.port->dispatch(waiting);
        const auto result = rig.sink.wait(1);
        CHECK(result.attempt == 2);
        CHECK(result.end == AttemptEnd::Withdrawn);
        rig.port->stop();
        rig.sink.wait(2);
    }
    SUBCASE("time runs out after sending, and the upstream is told to stop")
    {
        auto call = makeCall(1, upstream.address(), "b");
        call.timeLeft = std::chrono::milliseconds(1500);
        rig.port->dispatch(call);
        waitFor([&] { return running == 1; });
        CHECK(rig.sink.wait(1).end == AttemptEnd::Cancelled);
        waitFor([&] { return !cancelled.empty(); });
        CHECK(cancelled == "DELETE /run/request-1 HTTP/1.1");
        rig.port->dispatch(makeCall(2, "127.0.0.1:25145", "b"));
        CHECK(rig.sink.wait(2).end == AttemptEnd::NotSent);
    }
    SUBCASE("cancellation reaches the upstream")
    {
        rig.port->dispatch(makeCall(1, upstream.address(), "b"));
        waitFor([&] { return running == 1; });
        rig.port->dispatch(makeCall(2, upstream.address(), "b"));
        rig.port->cancel(2);
        CHECK(rig.sink.wait(1).end == AttemptEnd::Withdrawn);
        rig.port->cancel(1);
        CHECK(rig.sink.wait(2).end == AttemptEnd::Cancelled);
        waitFor([&] { return !cancelled.empty(); });
        CHECK(cancelled == "DELETE /run/request-1 HTTP/1.1");
        rig.port->cancel(1);
    }
    SUBCASE("stop ends every attempt once")
    {
        rig.port->dispatch(makeCall(1, upstream.address(), "b"));
        waitFor([&] { return running == 1; });
        rig.port->dispatch(makeCall(2, upstream.address(), "b"));
        rig.port->stop();
        int lost = 0;
        int notSent = 0;
        for (std::size_t i = 1; i <= 2; ++i) {
            lost += rig.sink.wait(i).end == AttemptEnd::Lost;
            notSent += rig.sink.wait(i).end == AttemptEnd::NotSent;
        }
        CHECK(lost == 1);
        CHECK(notSent == 1);
    }
    rig.port->stop();
    CHECK(rig.sink.count() == 2);
    CHECK(running == 1);
}
