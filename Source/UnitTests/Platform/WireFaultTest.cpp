/// Malformed answers of the platform must be logged, not silently treated as empty.

#include "Jobs/EventLog.h"
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
