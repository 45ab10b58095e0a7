/// Published entries of other writers: values of another type or out of range, deep nesting, bytes that aren't text.

#include "Common/SocketAddress.h"
#include "FuzzInput.h"
#include "Jobs/Model/ValueRanges.h"
#include "PublishedEntries.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using PlatformAdapter::PublishedEntries;
namespace Ranges = Jobs::ValueRanges;

namespace {

const std::string workerText = R"({"service":"desk","address":"127.0.0.1:80","zone":"imlil","machine":"m-1","state":"draining","capacity":{"cpu":16000,"memMb":64000,"gpu":1},"labels":["std","r1-3"],"born":1786644770994,"slots":8,"drainRemainingMs":900})";
const std::string waveText = R"({"wave":4,"machines":["m-1","m-2"],"durationS":600,"maxCount":2})";
const std::string routeText = R"({"name":"r-1","host":"a.example","prefix":"/b/","service":"desk","priority":2,"maxAttempts":3,"stretch":1.5,"targetDurationMs":800,"advice":{"decisionMs":5,"periodMs":1,"validityMs":9000}})";

/// What no field of these entries may be.
const std::vector<std::string> oddNumbers { "-1", "1e18", "1e300", "1e400", "9e18", "9223372036854775807", "9223372036854775808", "18446744073709551615", "18446744073709551616", "\"1\"", "{}", "[]", "true" };
const std::vector<std::string> oddTexts { "7", "{}", "[]", "true", "\"\xff\"" };

std::string nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

/// The entry with another value of a field.
std::string withField(std::string text, const std::string& field, const std::string& value)
{
    const auto begin = text.find('"' + field + "\":") + field.size() + 3;
    const bool isList = text[begin] == '[';
    text.replace(begin, text.find_first_of(isList ? "]" : ",}", begin) + (isList ? 1 : 0) - begin, value);
    return text;
}

std::string configurationText(const std::string& route)
{
    return R"({"version":3,"routes":[{"prefix":"/a/","service":"desk"},)" + route + R"(,{"prefix":"/z/","service":"desk"}],"services":[{"name":"desk","standby":true},{"name":"lab"}]})";
}

bool isInRange(const Jobs::Resources& it)
{
    constexpr auto limit = static_cast<std::uint64_t>(Ranges::maximumAmount);
    return it.milliCores <= limit && it.memoryMb <= limit && it.accelerators <= limit;
}

bool isInRange(std::chrono::milliseconds it) { return it >= it.zero() && it <= Ranges::maximumDuration; }

void checkQueue(const Jobs::QueueRule& it)
{
    CHECK_FALSE(it.prefix.empty());
    CHECK_FALSE(it.pool.empty());
    CHECK(it.priority <= Ranges::maximumCount);
    CHECK(it.maximumAttempts <= Ranges::maximumCount);
    CHECK(it.stretchPermille <= Ranges::maximumStretch * 1000);
    CHECK(isInRange(it.targetDuration));
    if (it.advice)
        CHECK((isInRange(it.advice->decision) && isInRange(it.advice->perWorker) && isInRange(it.advice->validity)));
}

} // namespace

TEST_CASE("a worker's entry with an odd value is left out as a whole")
{
    const PublishedEntries entries;
    REQUIRE(entries.readWorker("i-1", workerText));
    for (const std::string field : { "cpu", "memMb", "gpu", "born", "drainRemainingMs" }) {
        for (const auto& value : oddNumbers) {
            CAPTURE(field);
            CAPTURE(value);
            CHECK_FALSE(entries.readWorker("i-1", withField(workerText, field, value)));
        }
    }
    for (const std::string field : { "service", "address", "zone", "machine", "state" }) {
        for (const auto& value : oddTexts) {
            CAPTURE(field);
            CAPTURE(value);
            CHECK_FALSE(entries.readWorker("i-1", withField(workerText, field, value)));
        }
    }
    for (const std::string value : { "7", "\"std\"", "{}", "[7,\"r1-3\"]", "[\"std\",null]", "[\"std\",[\"r1-3\"]]" }) {
        CAPTURE(value);
        CHECK_FALSE(entries.readWorker("i-1", withField(workerText, "labels", value)));
    }
}

TEST_CASE("a worker's entry whose address has no host or an odd port is left out")
{
    for (const std::string address : { "", ":80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:99999", "127.0.0.1:65616", "127.0.0.1:80x", "0.0.0.0:80", "desk.example:80", "127.0.0.1\\u0000:80" }) {
        CAPTURE(address);
        CHECK_FALSE(PublishedEntries().readWorker("i-1", withField(workerText, "address", '"' + address + '"')));
    }
}

TEST_CASE("fields of a worker's entry that may be missing keep their defaults")
{
    const auto entry = PublishedEntries().readWorker("i-1", R"({"service":"desk","address":"127.0.0.1:80","state":"ready","capacity":{"cpu":16000.5}})");
    REQUIRE(entry);
    CHECK(entry->capacity == Jobs::Resources { 16000, 0, 0 });
    CHECK(entry->incarnation == 0);
    CHECK(entry->rack.empty());
    CHECK(entry->drainRemaining == std::chrono::milliseconds(0));
}

TEST_CASE("null reads like a missing field")
{
    const PublishedEntries entries;
    for (const std::string field : { "service", "address", "state" })
        CHECK_FALSE(entries.readWorker("i-1", withField(workerText, field, "null")));
    CHECK_FALSE(entries.readWorker("i-1", R"({"service":"desk","address":"127.0.0.1:80","state":"ready","capacity":null})"));
    CHECK_FALSE(entries.readWave(withField(waveText, "wave", "null")));
    CHECK_FALSE(entries.readConfiguration(withField(configurationText(routeText), "version", "null")));
    const auto entry = entries.readWorker("i-1", withField(withField(workerText, "drainRemainingMs", "null"), "born", "null"));
    REQUIRE(entry);
    CHECK(entry->incarnation == 0);
    CHECK(entry->drainRemaining == std::chrono::milliseconds(0));
}

TEST_CASE("a deeply nested entry is left out, or read if no field that is used is nested")
{
    constexpr std::size_t depth = 1000000;
    const PublishedEntries entries;
    for (const auto& text : { std::string(2 * depth, '['), nested(depth), "{\"capacity\":" + nested(depth) + "}", withField(workerText, "cpu", nested(depth)), withField(workerText, "labels", nested(depth)) }) {
        CHECK_FALSE(entries.readWorker("i-1", text));
        CHECK_FALSE(entries.readConfiguration(text));
        CHECK_FALSE(entries.readWave(text));
    }
    CHECK(entries.readWorker("i-1", withField(workerText, "slots", nested(depth))));
}

TEST_CASE("a wave with an odd value is left out, and none is taken for a wave without a limit")
{
    const PublishedEntries entries;
    REQUIRE(entries.readWave(waveText));
    for (const std::string field : { "wave", "durationS", "maxCount" }) {
        for (const auto& value : oddNumbers) {
            CAPTURE(field);
            CAPTURE(value);
            CHECK_FALSE(entries.readWave(withField(waveText, field, value)));
        }
    }
    for (const std::string value : { "7", "{}", "[7]", "[\"m-1\",null]", "\"m-1\"" }) {
        CAPTURE(value);
        CHECK_FALSE(entries.readWave(withField(waveText, "machines", value)));
    }
    const auto many = entries.readWave(withField(
        waveText, "machines", "[\"m\"" + [] {
            std::string text;
            for (int n = 1; n < 1000000; ++n)
                text += ",\"m\"";
            return text;
        }() + "]"));
    REQUIRE(many);
    CHECK(many->machines.size() == 1000000);
}

TEST_CASE("a route with an odd value is left out, and the other routes are followed")
{
    const PublishedEntries entries;
    const auto check = [&](const std::string& route, std::size_t expected) {
        CAPTURE(route);
        const auto configuration = entries.readConfiguration(configurationText(route));
        REQUIRE(configuration);
        CHECK(configuration->queues.size() == expected);
        CHECK(configuration->itemsLeftOut == 3 - expected);
        CHECK(configuration->queues.back().prefix == "/z/");
        CHECK(configuration->pools.size() == 2);
    };
    check(routeText, 3);
    for (const std::string field : { "priority", "maxAttempts", "stretch", "targetDurationMs", "decisionMs", "periodMs", "validityMs" }) {
        for (const auto& value : oddNumbers) {
            if (value != "1e400") // Not JSON for the configuration as a whole.
                check(withField(routeText, field, value), 2);
        }
    }
    for (const std::string field : { "prefix", "service", "host", "name" })
        check(withField(routeText, field, "7"), 2);
    for (const auto& route : std::vector<std::string> { "7", "null", "[]", "{}", nested(100000) })
        check(route, 2);
}

TEST_CASE("a configuration whose version is odd isn't followed")
{
    for (const auto& value : oddNumbers) {
        CAPTURE(value);
        CHECK_FALSE(PublishedEntries().readConfiguration(withField(configurationText(routeText), "version", value)));
    }
}

TEST_CASE("whatever is read from a mutated entry lies in its ranges")
{
    FuzzInput input(20261205);
    const PublishedEntries entries;
    unsigned readable = 0;
    for (auto n = FuzzInput::count(); n > 0; --n) {
        const auto text = input.mutate(workerText);
        if (const auto entry = entries.readWorker("i-1", text)) {
            CAPTURE(text);
            ++readable;
            CHECK_FALSE(entry->pool.empty());
            CHECK(Common::parseSocketAddress(entry->address, Common::AddressUse::Connect));
            CHECK(isInRange(entry->capacity));
            CHECK(isInRange(entry->drainRemaining));
            CHECK(entry->incarnation <= static_cast<std::uint64_t>(Ranges::latestTime.time_since_epoch().count()));
        }
    }
    CHECK(readable > 0);
}

TEST_CASE("whatever is read from a mutated wave lies in its ranges")
{
    FuzzInput input(20261206);
    const PublishedEntries entries;
    unsigned readable = 0;
    for (auto n = FuzzInput::count(); n > 0; --n) {
        const auto text = input.mutate(waveText);
        if (const auto wave = entries.readWave(text)) {
            CAPTURE(text);
            ++readable;
            CHECK(isInRange(wave->duration));
            CHECK(wave->maximumDown <= Ranges::maximumCount);
            CHECK(wave->number <= static_cast<std::uint64_t>(Ranges::maximumSequence));
        }
    }
    CHECK(readable > 0);
}

TEST_CASE("routes beside a mutated one are followed if the configuration is still JSON")
{
    FuzzInput input(20261207);
    const PublishedEntries entries;
    unsigned readable = 0;
    for (auto n = FuzzInput::count(); n > 0; --n) {
        const auto route = input.mutate(routeText);
        const auto configuration = entries.readConfiguration(configurationText(route));
        CAPTURE(route);
        const bool isRoute = PlatformAdapter::JsonText::parseEntry(R"({"r":[)" + route + "]}").has_value();
        CHECK((!isRoute || configuration));
        if (!configuration || !isRoute)
            continue;
        ++readable;
        REQUIRE(configuration->queues.size() >= 2);
        CHECK(configuration->queues.front().prefix == "/a/");
        CHECK(configuration->queues.back().prefix == "/z/");
        for (const auto& it : configuration->queues)
            checkQueue(it);
    }
    CHECK(readable > 0);
}
