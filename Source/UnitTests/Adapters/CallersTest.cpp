/// Tests of the HTTP protocol for callers, over loopback sockets.

#include "Adapters/Callers/PistacheCallers.h"
#include "Adapters/CallersFakeSink.h"
#include "Adapters/CallersRawSocket.h"

#include <chrono>
#include <doctest/doctest.h>
#include <thread>

using namespace AdapterTests;
using Ports::Outcome;
using Ports::Reason;

namespace {

struct Rig {
    explicit Rig(const Ports::CallerSettings& settings, std::function<void(Ports::CallerRequest)> onRequest = {}, Adapters::CallerGuards guards = {})
        : port(Adapters::PistacheCallers::create(settings, guards).take())
    {
        sink.onRequest = std::move(onRequest);
        port->start(sink);
    }
    ~Rig() { port->stop(); }

    FakeCallerSink sink;
    std::unique_ptr<Adapters::PistacheCallers> port;
};

Ports::Answer refusal(Outcome outcome, Reason reason, std::chrono::milliseconds retryAfter)
{
    Ports::Answer answer;
    answer.outcome = outcome;
    answer.reason = reason;
    answer.retryAfter = retryAfter;
    return answer;
}

HttpMessage exchange(std::uint16_t port, const std::string& request)
{
    auto socket = RawSocket::connectTo(port);
    REQUIRE(socket.send(request));
    const auto reply = socket.read();
    REQUIRE(reply);
    return *reply;
}

} // namespace

TEST_CASE("A request reaches the sink unchanged, and its answer the caller")
{
    Rig rig(callerSettings(25100));
    auto socket = RawSocket::connectTo(25100);
    REQUIRE(socket.send(runRequest("two children", "Marigold-Timeout-Ms: 250\r\nMarigold-Idempotent: true\r\nIdempotency-Key: \"imlil/a\\\"b\"\r\n")));
    const auto request = rig.sink.waitRequest(1);
    CHECK(request.service == "lessons");
    CHECK(request.team == "norrvik");
    CHECK(request.priority == "urgent");
    CHECK(request.idempotencyKey == "imlil/a\"b");
    CHECK(request.idempotent);
    CHECK(request.timeLeft == std::chrono::milliseconds(250));
    CHECK(*request.body == "two children");
    CHECK(request.contentType == "text/plain");
    CHECK(rig.port->unanswered() == 1);

    auto answer = doneAnswer("booked");
    answer.status = 201;
    answer.contentType = "application/vnd.booking+json; charset=utf-8";
    rig.port->answer(request.handle, answer);
    rig.port->answer(request.handle, doneAnswer("second"));
    const auto reply = socket.read();
    REQUIRE(reply);
    CHECK(reply->status() == 201);
    CHECK(reply->header("marigold-outcome") == "done");
    CHECK(reply->header("content-type") == "application/vnd.booking+json; charset=utf-8");
    CHECK(reply->body == "booked");
    CHECK(rig.port->unanswered() == 0);

    REQUIRE(socket.send(runRequest("")));
    const auto defaults = rig.sink.waitRequest(2);
    CHECK_FALSE(defaults.idempotent);
    CHECK(defaults.idempotencyKey.empty());
    CHECK(defaults.timeLeft == Ports::CallerSettings().defaultDeadline);
    rig.port->answer(defaults.handle, doneAnswer(""));
    CHECK(socket.read()->body.empty());
}

TEST_CASE("Every reason has its status and headers")
{
    struct Row {
        Reason reason;
        int status;
    };
    const Row rows[] = {
        { Reason::UnknownService, 404 }, { Reason::TeamNotAllowed, 403 }, { Reason::PriorityNotAllowed, 403 },
        { Reason::BodyTooLarge, 413 }, { Reason::BadIdempotencyKey, 400 }, { Reason::KeyReusedWithOtherBody, 422 },
        { Reason::DeadlinePassed, 400 }, { Reason::DeadlineCannotBeMet, 503 }, { Reason::QueueFull, 503 },
        { Reason::QuotaExceeded, 429 }, { Reason::NoUpstream, 503 }, { Reason::NoPeer, 503 }, { Reason::HarmfulRequest, 503 },
        { Reason::ShuttingDown, 503 }, { Reason::NotReady, 503 }, { Reason::ClaimUnavailable, 503 },
        { Reason::CancelledByCaller, 503 }, { Reason::UpstreamRefused, 503 }, { Reason::UpstreamLost, 503 },
        { Reason::AnswerTruncated, 503 }, { Reason::RetryBudgetSpent, 503 }, { Reason::OwnerLost, 503 },
        { Reason::KeyTooOld, 503 }, { Reason::AnswerExpired, 503 }, { Reason::StillRunning, 503 }
    };
    Ports::Answer answer;
    Rig* self = nullptr;
    Rig rig(callerSettings(25101), [&](const Ports::CallerRequest& request) { self->port->answer(request.handle, answer); });
    self = &rig;
    auto socket = RawSocket::connectTo(25101);
    for (const auto& row : rows) {
        const std::string name = Ports::reasonName(row.reason);
        CAPTURE(name);
        answer = refusal(Outcome::NotRun, row.reason, std::chrono::milliseconds(1001));
        REQUIRE(socket.send(runRequest("x")));
        auto reply = socket.read();
        REQUIRE(reply);
        CHECK(reply->status() == row.status);
        CHECK(reply->header("marigold-outcome") == "not-run");
        CHECK(reply->header("marigold-reason") == name);
        CHECK(reply->header("retry-after") == "2");
        CHECK(reply->header("marigold-retry-after-ms") == "1001");
        CHECK(reply->header("content-type") == "application/json");
        CHECK(reply->body.starts_with("{\"message\":\""));
        CHECK(reply->body.find("\"reason\":\"" + name + "\"") != std::string::npos);
        CHECK(reply->body.find("\"retryAfterMs\":1001") != std::string::npos);

        answer = refusal(Outcome::Unknown, row.reason, std::chrono::milliseconds(0));
        REQUIRE(socket.send(runRequest("x")));
        reply = socket.read();
        REQUIRE(reply);
        CHECK(reply->status() == 504);
        CHECK(reply->header("marigold-outcome") == "unknown");
        CHECK(reply->header("marigold-reason") == name);
        CHECK(reply->headers.count("retry-after") == 0);
        CHECK(reply->body.find("\"outcome\":\"unknown\"") != std::string::npos);
    }
}

TEST_CASE("Malformed requests are rejected and never reach the sink")
{
    const std::string names = "Host: x\r\nMarigold-Team: a\r\nMarigold-Priority: b\r\n";
    const std::string line = "POST /v1/services/lessons HTTP/1.1\r\n";
    const std::string end = "Content-Length: 1\r\n\r\nx";
    struct Row {
        std::string request;
        int status;
        std::string reason; ///< Empty if the library rejects the request before the adapter sees it.
    };
    const Row rows[] = {
        { "POST /v1/services/ HTTP/1.1\r\n" + names + end, 400, "bad-service" },
        { "POST /v1/services/a/b HTTP/1.1\r\n" + names + end, 400, "bad-service" },
        { "POST /v2 HTTP/1.1\r\n" + names + end, 404, "bad-path" },
        { "GET /v1/services/lessons HTTP/1.1\r\n" + names + "\r\n", 405, "method-not-allowed" },
        { "GET /v1/requests/k HTTP/1.1\r\n" + names + "\r\n", 405, "method-not-allowed" },
        { "POST /health HTTP/1.1\r\n" + names + end, 405, "method-not-allowed" },
        { line + "Host: x\r\nMarigold-Priority: b\r\n" + end, 400, "bad-team" },
        { line + "Host: x\r\nMarigold-Team: a b\r\nMarigold-Priority: b\r\n" + end, 400, "bad-team" },
        { line + "Host: x\r\nMarigold-Team: " + std::string(129, 'a') + "\r\nMarigold-Priority: b\r\n" + end, 400, "bad-team" },
        { line + "Host: x\r\nMarigold-Team: a\r\n" + end, 400, "bad-priority" },
        { line + names + "Marigold-Timeout-Ms: 0\r\n" + end, 400, "bad-timeout" },
        { line + names + "Marigold-Timeout-Ms: -5\r\n" + end, 400, "bad-timeout" },
        { line + names + "Marigold-Timeout-Ms: 1e3\r\n" + end, 400, "bad-timeout" },
        { line + names + "Marigold-Timeout-Ms: 600001\r\n" + end, 400, "bad-timeout" },
        { line + names + "Marigold-Timeout-Ms: 99999999999999999999\r\n" + end, 400, "bad-timeout" },
        { line + names + "Marigold-Idempotent: yes\r\n" + end, 400, "bad-idempotent" },
        { line + names + "Idempotency-Key: bare\r\n" + end, 400, "bad-idempotency-key" },
        { line + names + "Idempotency-Key: \"\"\r\n" + end, 400, "bad-idempotency-key" },
        { line + names + "Idempotency-Key: \"a\"b\"\r\n" + end, 400, "bad-idempotency-key" },
        { line + names + "Idempotency-Key: \"a\\\"\r\n" + end, 400, "bad-idempotency-key" },
        { line + names + "Idempotency-Key: \"\x01\"\r\n" + end, 400, "bad-idempotency-key" },
        { line + names + "Idempotency-Key: \"" + std::string(129, 'k') + "\"\r\n" + end, 400, "bad-idempotency-key" },
        { line + names + "Expect: tea\r\n" + end, 417, "unsupported-expect" },
        { line + names + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n1\r\nx\r\n0\r\n\r\n", 400, "" },
        { "DELETE /v1/requests/%2 HTTP/1.1\r\n" + names + "\r\n", 400, "bad-idempotency-key" },
        { "DELETE /v1/requests/ HTTP/1.1\r\n" + names + "\r\n", 400, "bad-idempotency-key" },
        { "DELETE /v1/requests/k HTTP/1.1\r\nHost: x\r\n\r\n", 400, "bad-team" },
        { line + names + "Content-Length: 1001\r\n\r\n" + std::string(1001, 'x'), 413, "body-too-large" },
        { line + names + "Content-Length: 900000\r\n\r\n" + std::string(900000, 'x'), 413, "" },
        { "TEA / HTTP/1.1\r\n\r\n", 400, "" },
        { "POST / HTTP/7.0\r\n\r\n", 400, "" },
    };
    auto settings = callerSettings(25102);
    settings.maximumBodyBytes = 1000;
    Rig rig(settings);
    for (const auto& row : rows) {
        const auto shown = row.request.substr(0, 200);
        CAPTURE(shown);
        const auto reply = exchange(25102, row.request);
        CHECK(reply.status() == row.status);
        CHECK(reply.header("marigold-reason") == row.reason);
        if (!row.reason.empty())
            CHECK(reply.header("marigold-outcome") == "not-run");
    }
    CHECK(rig.sink.requestCount() == 0);
    CHECK(rig.port->unanswered() == 0);
}

TEST_CASE("Cancellations, health checks and readiness checks are answered with their status")
{
    Rig rig(callerSettings(25103));
    const std::string team = " HTTP/1.1\r\nHost: x\r\nMarigold-Team: norrvik\r\n\r\n";
    CHECK(exchange(25103, "DELETE /v1/requests/imlil/018f" + team).status() == 202);
    CHECK(exchange(25103, "DELETE /v1/requests/imlil%2F018f" + team).status() == 202);
    CHECK(exchange(25103, "DELETE /v1/requests/other" + team).status() == 404);
    CHECK(exchange(25103, "GET /health" + team).status() == 200);
    CHECK(exchange(25103, "GET /ready" + team).status() == 200);
    rig.sink.ready = false;
    CHECK(exchange(25103, "GET /ready" + team).status() == 503);
    CHECK(exchange(25103, "GET /health" + team).status() == 200);
}

TEST_CASE("Incomplete headers and bodies time out, but not a request that waits for its answer")
{
    auto settings = callerSettings(25104);
    settings.readTimeout = std::chrono::milliseconds(300);
    Rig rig(settings);
    auto waiting = RawSocket::connectTo(25104);
    REQUIRE(waiting.send(runRequest("slow")));
    const auto request = rig.sink.waitRequest(1);

    auto shortBody = RawSocket::connectTo(25104);
    auto shortHead = RawSocket::connectTo(25104);
    REQUIRE(shortBody.send("POST /v1/services/a HTTP/1.1\r\nMarigold-Team: a\r\nMarigold-Priority: b\r\nContent-Length: 10\r\n\r\nabc"));
    REQUIRE(shortHead.send("POST /v1/services/a HTTP/1.1\r\nMarigold-Te"));
    CHECK(shortBody.read()->status() == 408);
    CHECK(shortHead.read()->status() == 408);
    CHECK(rig.sink.requestCount() == 1);

    // The other two requests were started later and have timed out. If their timeouts applied to this one too, it would have
    // timed out as well.
    rig.port->answer(request.handle, doneAnswer("late"));
    const auto reply = waiting.read();
    REQUIRE(reply);
    CHECK(reply->body == "late");
    CHECK(rig.sink.disconnectedCount() == 0);
}

TEST_CASE("An incomplete second request doesn't lose the answer to the first one")
{
    auto settings = callerSettings(25109);
    settings.readTimeout = std::chrono::milliseconds(300);
    Rig rig(settings);
    auto socket = RawSocket::connectTo(25109);
    REQUIRE(socket.send(runRequest("first")));
    const auto pending = rig.sink.waitRequest(1).handle;
    REQUIRE(socket.send("POST /v1/services/a HTTP/1.1\r\nMarigold-Te"));
    auto other = RawSocket::connectTo(25109);
    REQUIRE(other.send("POST /v1/services/a HTTP/1.1\r\nMarigold-Te"));
    CHECK(other.read().value_or(HttpMessage()).status() == 408);
    rig.port->answer(pending, doneAnswer("first"));
    CHECK(socket.read().value_or(HttpMessage()).body == "first");
    socket.close();
    CHECK(rig.sink.disconnectedCount() == 0);
}

TEST_CASE("A disconnected caller is reported once, with its unanswered request")
{
    Rig rig(callerSettings(25105));
    auto socket = RawSocket::connectTo(25105);
    REQUIRE(socket.send(runRequest("first")));
    rig.port->answer(rig.sink.waitRequest(1).handle, doneAnswer("1"));
    CHECK(socket.read()->body == "1");
    REQUIRE(socket.send(runRequest("second")));
    const auto pending = rig.sink.waitRequest(2).handle;
    socket.close();
    CHECK(rig.sink.waitDisconnected(1) == std::vector<Ports::CallerHandle> { pending });
    CHECK(rig.port->unanswered() == 0);
    rig.port->answer(pending, doneAnswer("too late"));
    CHECK(exchange(25105, "GET /health HTTP/1.1\r\nHost: x\r\n\r\n").status() == 200);
    CHECK(rig.sink.disconnectedCount() == 1);
}

namespace {

/// Sends two requests on a connection, answers the second one first, and returns the bodies in the order received.
std::vector<std::string> bodiesOfReversedAnswers(std::uint16_t listenPort, Adapters::CallerGuards guards)
{
    Rig rig(callerSettings(listenPort), {}, guards);
    auto socket = RawSocket::connectTo(listenPort);
    REQUIRE(socket.send(runRequest("first")));
    const auto first = rig.sink.waitRequest(1).handle;
    REQUIRE(socket.send(runRequest("second")));
    const auto second = rig.sink.waitRequest(2).handle;
    rig.port->answer(second, doneAnswer("to second"));
    rig.port->answer(first, doneAnswer("to first"));
    std::vector<std::string> bodies;
    bodies.reserve(2);
    for (int i = 0; i < 2; ++i)
        bodies.push_back(socket.read().value_or(HttpMessage()).body);
    return bodies;
}

} // namespace

TEST_CASE("Answers on a connection are written in the order of its requests")
{
    CHECK(bodiesOfReversedAnswers(25106, {}) == std::vector<std::string> { "to first", "to second" });
}

TEST_CASE("Without keepOrder, the first request gets the answer of the second")
{
    CHECK(bodiesOfReversedAnswers(25108, { .keepOrder = false }).front() == "to second");
}

TEST_CASE("Listening for callers on an address in use throws PortError")
{
    Rig rig(callerSettings(25107));
    FakeCallerSink sink;
    auto second = Adapters::PistacheCallers::create(callerSettings(25107)).take();
    CHECK_THROWS_AS(second->start(sink), Ports::PortError);
}
