#pragma once

/// Blocking HTTP calls of the tests; each uses a connection of its own.

#include <json/json.h>
#include <string>
#include <vector>

namespace ProcessTests {

/// What came back. `whole` is false when the connection broke, also in the middle of an answer.
struct HttpReply {
    bool whole = false;
    long status = 0;
    std::string outcome; ///< Marigold-Outcome.
    std::string reason; ///< Marigold-Reason.
    std::string body;

    bool done() const { return whole && outcome == "done" && status == 200; }
    bool notRun() const { return whole && outcome == "not-run"; }
    bool unknown() const { return whole && outcome == "unknown"; }
    Json::Value json() const;
};

HttpReply get(const std::string& url);
HttpReply post(const std::string& url, const std::string& body, const std::vector<std::string>& headers = {});

} // namespace ProcessTests
