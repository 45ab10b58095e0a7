#include "HttpApiClient.h"

#include <deque>
#include <doctest/doctest.h>
#include <functional>

using namespace Ctl;

namespace {

/// Returns the prepared replies in order and records the requests.
class FakeTransport : public HttpTransport {
public:
    HttpReply exchange(const HttpRequest& request) override
    {
        requests.push_back(request);
        REQUIRE(!replies.empty());
        auto reply = replies.front();
        replies.pop_front();
        return reply;
    }

    std::deque<HttpReply> replies;
    std::vector<HttpRequest> requests;
};

const HttpReply notSent { ExchangeOutcome::NotSent, 0, "", "refused" };
const HttpReply interrupted { ExchangeOutcome::Interrupted, 0, "", "reset" };

HttpReply answered(int status, const std::string& body) { return { ExchangeOutcome::Answered, status, body, "" }; }

std::unique_ptr<HttpApiClient> clientOf(FakeTransport& transport)
{
    return HttpApiClient::create({ { "127.0.0.1:1", "127.0.0.1:2" }, "secret" }, transport).take();
}

ApiFailure failureOf(const std::function<void()>& call)
{
    try {
        call();
    } catch (const ApiError& e) {
        return e.failure();
    }
    FAIL("no ApiError");
    return ApiFailure::Refused;
}

} // namespace

TEST_SUITE("marigoldctl HTTP client")
{
    TEST_CASE("a missing server, an invalid address and a token that can't be sent are usage errors")
    {
        FakeTransport transport;
        CHECK(HttpApiClient::create({ {}, "" }, transport).error().code() == ExitCode::UsageError);
        CHECK(HttpApiClient::create({ { "host/path" }, "" }, transport).error().code() == ExitCode::UsageError);
        CHECK(HttpApiClient::create({ { "127.0.0.1:1" }, "a\r\nb" }, transport).error().code() == ExitCode::UsageError);
    }

    TEST_CASE("reads fail over to the next server and stay with the one that answers")
    {
        FakeTransport transport;
        transport.replies = { interrupted, answered(200, R"({"revision":3,"document":"text"})"), answered(200, "[]") };
        const auto client = clientOf(transport);
        CHECK(client->configuration().revision == 3);
        CHECK(client->pools().empty());
        CHECK(transport.requests[0].server == "127.0.0.1:1");
        CHECK(transport.requests[1].server == "127.0.0.1:2");
        CHECK(transport.requests[2].server == "127.0.0.1:2");
        CHECK(transport.requests[2].bearerToken == "secret");
    }

    TEST_CASE("a move fails over to the next server only while no byte of it was sent")
    {
        FakeTransport transport;
        const auto client = clientOf(transport);
        transport.replies = { interrupted };
        CHECK(failureOf([&] { client->move({ "desk-1", "juniors" }); }) == ApiFailure::AnswerLost);
        CHECK(transport.requests.size() == 1);
        transport.replies = { notSent, answered(200, "{}") };
        client->move({ "desk-1", "juniors" });
        CHECK(transport.requests.back().body == R"({"target":"juniors","upstream":"desk-1"})");
        transport.replies = { notSent, notSent };
        CHECK(failureOf([&] { client->move({ "desk-1", "juniors" }); }) == ApiFailure::Unreachable);
    }

    TEST_CASE("a publication's lost answer is reported, and the next attempt goes to the next server")
    {
        FakeTransport transport;
        const auto client = clientOf(transport);
        transport.replies = { interrupted, answered(409, R"({"status":"conflict","currentRevision":7,"currentAuthor":"brahim"})") };
        CHECK(failureOf([&] { client->publish({}); }) == ApiFailure::AnswerLost);
        const auto answer = client->publish({});
        CHECK(answer.outcome == PublishOutcome::Conflict);
        CHECK(answer.currentRevision == 7);
        CHECK(answer.currentAuthor == "brahim");
        CHECK(transport.requests[1].server == "127.0.0.1:2");
    }

    TEST_CASE("error answers keep the server's message, and malformed answers are errors")
    {
        FakeTransport transport;
        const auto client = clientOf(transport);
        transport.replies = { answered(401, R"({"error":"an operator's token is needed"})") };
        CHECK_THROWS_WITH_AS(client->publish({}), "the server refused (HTTP 401): an operator's token is needed", ApiError);
        for (const char* body : { "", "[]", "{", R"({"revision":"x"})", R"({"inForce":[1]})", R"({"inForce":[{"revision":-1}]})", R"({"members":[[]]})" }) {
            CAPTURE(body);
            transport.replies = { answered(200, body) };
            CHECK(failureOf([&] { client->status(); }) == ApiFailure::Refused);
        }
        transport.replies = { answered(200, "{}") };
        CHECK(failureOf([&] { client->configuration(); }) == ApiFailure::Refused);
    }

    TEST_CASE("names are percent-encoded in paths and queries")
    {
        FakeTransport transport;
        const auto client = clientOf(transport);
        transport.replies = { answered(200, "{}"), answered(200, "") };
        client->setWavePaused("a/b c", true);
        CHECK(client->audit("x&y").empty());
        CHECK(transport.requests[0].path == "/v1/waves/a%2Fb%20c/pause");
        CHECK(transport.requests[1].path == "/v1/audit?dataCentre=x%26y");
    }
}
