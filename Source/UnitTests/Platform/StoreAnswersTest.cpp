/// Answers of the platform's store with odd items, and ones that can't be read.

#include "StoreAnswers.h"

#include "Adapters/Platform/KeepAliveClient.h"
#include "Adapters/ScriptedServer.h"
#include "FuzzInput.h"
#include "Jobs/Model/ValueRanges.h"
#include "JsonText.h"
#include "KeyValueService.h"

#include <future>
#include <string>

using namespace AdapterTests;
using namespace PlatformAdapter;
using Adapters::HttpEnd;
using Adapters::HttpOutcome;
using Ports::PlatformReply;
using Ports::PlatformStatus;

namespace {

const std::string workers = "servers/";
const std::string goodItem = R"({"key":"servers/a","value":"YQ==","revision":11,"created":5,"lease":0})";
const std::string lastItem = R"({"key":"servers/z","value":"eg==","revision":12})";

HttpOutcome answered(std::string body)
{
    return { HttpEnd::Answered, 200, std::move(body), {} };
}

std::string pageText(const std::string& item)
{
    return R"({"currentRev":40,"hasMore":false,"items":[)" + goodItem + "," + item + "," + lastItem + "]}";
}

std::string eventsText(const std::string& item)
{
    return R"({"currentRev":40,"events":[)" + goodItem + "," + item + "," + lastItem + "]}";
}

/// The store's answer to one call of the service, by a server that answers with this body.
PlatformReply replyTo(const std::string& body, const std::function<void(KeyValueService&, Ports::PlatformCallback)>& call)
{
    ScriptedServer store(25191, [&body](RawSocket& socket, const HttpMessage&) {
        return socket.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    const auto loop = Adapters::EventLoop::create();
    const auto client = Adapters::KeepAliveClient::create(*loop, {});
    KeyValueService service(*loop, *client, store.address());
    std::promise<PlatformReply> reply;
    loop->post([&] { call(service, [&reply](PlatformReply it) { reply.set_value(std::move(it)); }); });
    loop->start();
    auto result = reply.get_future().get();
    loop->post([&] { client->shutdown(); });
    loop->stop();
    return result;
}

void readAll(KeyValueService& service, Ports::PlatformCallback callback) { service.read(workers, true, std::move(callback)); }

void readOne(KeyValueService& service, Ports::PlatformCallback callback) { service.read("servers/a", false, std::move(callback)); }

void writeNothing(KeyValueService& service, Ports::PlatformCallback callback) { service.transact({}, std::move(callback)); }

void grant(KeyValueService& service, Ports::PlatformCallback callback) { service.grantLease(std::chrono::seconds(2), std::move(callback)); }

const std::vector<std::string> oddItems { "7", "null", "[]", "{}", R"({"value":"YQ==","revision":9})", R"({"key":7,"revision":9})", R"({"key":"","revision":9})", R"({"key":"serv","revision":9})", R"({"key":"op/config","revision":9})",
    R"({"key":"servers/b","revision":-1})", R"({"key":"servers/b","revision":1e300})", R"({"key":"servers/b","revision":1e400})", R"({"key":"servers/b","revision":18446744073709551615})", R"({"key":"servers/b","revision":9223372036854775807})", R"({"key":"servers/b","revision":"9"})",
    std::string(100000, '[') + std::string(100000, ']') };

} // namespace

TEST_CASE("a list of keys whose answer can't be read isn't taken for an empty one")
{
    for (const std::string body : { "", "<html>", "[]", "{}", R"({"items":7,"currentRev":40})", R"({"items":[],"currentRev":-1})", R"({"items":[],"currentRev":9223372036854775807})", R"({"items":[],"currentRev":"40"})" }) {
        CAPTURE(body);
        CHECK(replyTo(body, readAll).status == PlatformStatus::Uncertain);
    }
}

TEST_CASE("a key whose answer can't be read isn't taken for one with an empty name")
{
    for (const std::string body : { "", "<html>", "{}", R"({"key":"servers/b","value":"YQ==","revision":11})", R"({"key":"servers/a","value":"YQ==","revision":-1})" }) {
        CAPTURE(body);
        CHECK(replyTo(body, readOne).status == PlatformStatus::Uncertain);
    }
    CHECK(replyTo(goodItem, readOne).values.size() == 1);
}

TEST_CASE("a write whose revision can't be read is uncertain, as the revision becomes a fencing token")
{
    for (const std::string body : { "", "{}", R"({"revision":-1})", R"({"revision":18446744073709551615})", R"({"revision":1e300})", R"({"revision":"9"})" }) {
        CAPTURE(body);
        CHECK(replyTo(body, writeNothing).status == PlatformStatus::Uncertain);
    }
    CHECK(replyTo(R"({"revision":9})", writeNothing).status == PlatformStatus::Ok);
}

TEST_CASE("a lease whose number or time to live is odd isn't granted")
{
    for (const std::string body : { "", "{}", R"({"lease":-1,"ttlMs":2000})", R"({"lease":3,"ttlMs":-1})", R"({"lease":3,"ttlMs":9e18})", R"({"lease":3,"ttlMs":9223372036854775807})", R"({"lease":"3","ttlMs":2000})" }) {
        CAPTURE(body);
        CHECK(replyTo(body, grant).status == PlatformStatus::Uncertain);
    }
    CHECK(readLeaseAnswer(answered(R"({"lease":9223372036854775807,"ttlMs":2000})"), true).lease == 9223372036854775807);
    CHECK(readLeaseAnswer(answered(R"({"ttlMs":2000})"), false).status == PlatformStatus::Ok);
    CHECK(replyTo(R"({"lease":3,"ttlMs":2000})", grant).timeToLive == std::chrono::seconds(2));
}

TEST_CASE("odd items of a list or a watch are left out, and the others are followed")
{
    for (const auto& item : oddItems) {
        CAPTURE(item.substr(0, 80));
        const auto page = readPage(answered(pageText(item)), workers, {});
        CHECK(page.status == PlatformStatus::Ok);
        REQUIRE(page.values.size() == 2);
        CHECK(page.values[1].key == "servers/z");
        const auto result = readEvents(answered(eventsText(item)), workers);
        CHECK(result.revision == 40);
        REQUIRE(result.events.size() == 2);
        CHECK(result.events[1].pair.key == "servers/z");
    }
}

TEST_CASE("a value that isn't base64 text reads as empty, as its key has changed")
{
    for (const std::string value : { "7", "null", "\"Y\"", "\"????\"", "\"YQ==YQ==\"", "\"=\"", "\"\xff\xff\xff\xff\"", "[]" }) {
        CAPTURE(value);
        const auto page = readPage(answered(pageText(R"({"key":"servers/b","revision":9,"value":)" + value + "}")), workers, {});
        REQUIRE(page.values.size() == 3);
        CHECK(page.values[1].value.empty());
    }
}

TEST_CASE("a list whose pages don't advance ends")
{
    const std::string text = R"({"currentRev":40,"hasMore":true,"items":[)" + goodItem + "]}";
    CHECK(readPage(answered(text), workers, {}).next == "servers/a");
    CHECK(readPage(answered(text), workers, "servers/a").status == PlatformStatus::Uncertain);
    CHECK(readPage(answered(R"({"currentRev":40,"hasMore":true,"items":[7]})"), workers, {}).status == PlatformStatus::Uncertain);
}

TEST_CASE("items beside a mutated one are followed, and what is read lies in its ranges")
{
    FuzzInput input(20261208);
    for (auto n = FuzzInput::count(); n > 0; --n) {
        const auto item = input.mutate(R"({"key":"servers/b","value":"YWJjZA==","revision":31,"deleted":true})");
        CAPTURE(item);
        const bool isItem = JsonText::parseObject("{\"i\":[" + item + "]}").has_value();
        const auto page = readPage(answered(pageText(item)), workers, {});
        const auto result = readEvents(answered(eventsText(item)), workers);
        CHECK((!isItem || (page.status == PlatformStatus::Ok && result.revision == 40)));
        if (!isItem || page.values.size() < 2 || result.events.size() < 2)
            continue;
        CHECK(page.values.front().key == "servers/a");
        CHECK(page.values.back().key == "servers/z");
        CHECK(result.events.back().pair.key == "servers/z");
        for (const auto& it : page.values)
            CHECK((it.key.starts_with(workers) && it.modRevision >= 0 && it.modRevision <= Jobs::ValueRanges::maximumSequence));
        readTransactionAnswer(answered(item));
        readKeyAnswer(answered(item), "servers/b");
        const auto lease = readLeaseAnswer(answered(input.mutate(R"({"lease":3,"ttlMs":2000})")), true);
        CHECK((lease.status != PlatformStatus::Ok || (lease.lease > 0 && lease.timeToLive <= Jobs::ValueRanges::maximumDuration)));
    }
}
