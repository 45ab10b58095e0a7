/// Parsing of the entries that operators and workers publish, malformed ones included.

#include "PublishedEntries.h"

#include <doctest/doctest.h>
#include <random>
#include <string>

using PlatformAdapter::PublishedEntries;

namespace {

const std::string workerText = R"({"service":"desk","address":"127.0.0.1:80","zone":"imlil","machine":"m-1","state":"ready","capacity":{"cpu":16000,"memMb":64000},"labels":["std","r1-3"],"born":1786644770994,"slots":8})";

/// The worker's entry with this field renamed.
std::string without(const std::string& field)
{
    auto text = workerText;
    text.replace(text.find("\"" + field + "\""), field.size() + 2, "\"x\"");
    return text;
}

} // namespace

TEST_CASE("a worker's entry is converted into a WorkerEntry")
{
    const auto entry = PublishedEntries().readWorker("i-1", workerText);
    REQUIRE(entry);
    CHECK(entry->id == "i-1");
    CHECK(entry->pool == "desk");
    CHECK(entry->rack == "r1-3");
    CHECK(entry->capacity.milliCores == 16000);
    CHECK(entry->incarnation == 1786644770994);
}

TEST_CASE("an entry with missing or malformed fields isn't read")
{
    const PublishedEntries entries;
    for (const auto& field : { "service", "address", "state", "capacity" })
        CHECK_FALSE(entries.readWorker("i-1", without(field)));
    for (const std::string text : { "", "\xff\xfe", "[]", "{}", R"({"service":1,"address":2,"state":3,"capacity":4})", R"({"service":"desk","address":"a","state":"asleep","capacity":{}})" }) {
        CAPTURE(text);
        CHECK_FALSE(entries.readWorker("i-1", text));
        CHECK_FALSE(entries.readConfiguration(text));
        CHECK_FALSE(entries.readWave(text));
    }
}

TEST_CASE("a route without a prefix or a pool is skipped and doesn't discard the others")
{
    const auto configuration = PublishedEntries().readConfiguration(R"({"version":3,"routes":[{"prefix":"/a/"},7,{"prefix":"/b/","service":"desk","priority":2,"stretch":1.5}],"services":[{"name":"desk","standby":true}]})");
    REQUIRE(configuration);
    CHECK(configuration->version == 3);
    REQUIRE(configuration->queues.size() == 1);
    CHECK(configuration->queues[0].priority == 2);
    CHECK(configuration->queues[0].stretchPermille == 1500);
    REQUIRE(configuration->pools.size() == 1);
}

TEST_CASE("a mutated entry is read or refused, without a crash or an incomplete result")
{
    constexpr int mutations = 20000;
    std::mt19937 random(20261204); // NOLINT(cert-msc51-cpp): a fixed seed makes the test deterministic.
    const PublishedEntries entries;
    for (int n = 0; n < mutations; ++n) {
        auto text = workerText;
        for (unsigned edits = random() % 4 + 1; edits > 0; --edits)
            text[random() % text.size()] = static_cast<char>(random());
        if (const auto entry = entries.readWorker("i-1", text)) {
            CHECK_FALSE(entry->pool.empty());
            CHECK_FALSE(entry->address.empty());
        }
        entries.readConfiguration(text);
        entries.readWave(text);
    }
}
