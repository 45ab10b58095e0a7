/// Malformed answers of the platform and odd entries must be logged, not silently treated as empty. Each case has its own kinds of
/// events, as there is at most one of a kind each second.

#include "Jobs/EventLog.h"
#include "PublishedEntries.h"
#include "StoreAnswers.h"
#include "WireText.h"

#include <doctest/doctest.h>

using Adapters::HttpEnd;
using Adapters::HttpOutcome;

TEST_CASE("a malformed body of a successful answer is logged; a missing body of a failed call is not")
{
    const EventLog log;
    PlatformAdapter::bodyOf(HttpOutcome { HttpEnd::Answered, 503, "", {} });
    PlatformAdapter::bodyOf(HttpOutcome { HttpEnd::Broken, 0, "", {} });
    CHECK(log.all("body-unreadable").empty());
    PlatformAdapter::bodyOf(HttpOutcome { HttpEnd::Answered, 200, "<html>", {} });
    const auto event = log.last("body-unreadable");
    CHECK(event.component == "platform");
    CHECK(event.number("bytes") == 6);
    CHECK(event.at("begin") == "<html>");
}

TEST_CASE("an odd entry is logged with its field and what is wrong with it")
{
    const EventLog log;
    const PlatformAdapter::PublishedEntries entries;
    entries.readWorker("i-1", R"({"service":"desk","address":"127.0.0.1:80","state":"ready","capacity":{"cpu":-1}})");
    const auto worker = log.last("field-unreadable");
    CHECK(worker.id == "i-1");
    CHECK(worker.at("kind") == "worker");
    CHECK(worker.at("reason") == "capacity: cpu: out of range");
    entries.readConfiguration(R"({"version":3,"routes":[{"name":"r-1","prefix":"/a/","service":"desk","priority":"1"}],"services":[{"name":7}]})");
    CHECK(log.last("queue-unreadable").id == "r-1");
    CHECK(log.last("queue-unreadable").at("reason") == "priority: of another type");
    CHECK(log.last("pool-unreadable").at("version") == "3");
}

TEST_CASE("an odd item of the store is logged with its key")
{
    const EventLog log;
    PlatformAdapter::readEvents({ HttpEnd::Answered, 200, R"({"currentRev":4,"events":[{"key":"servers/a","revision":-1}]})", {} }, "servers/");
    CHECK(log.last("item-unreadable").id == "servers/a");
    CHECK(log.last("item-unreadable").at("reason") == "revision: out of range");
}
