#pragma once

/// Blocking HTTP calls for tests. Each uses its own connection and fails after a bound.

#include <chrono>
#include <json/json.h>
#include <string>
#include <vector>

namespace ProcessTests {

/// An answer. `complete` is false when the connection failed, broke in the middle of the answer, or the call timed out.
struct HttpReply {
    bool complete = false;
    long status = 0; ///< HTTP status; 0 without an answer.
    std::string outcome; ///< Marigold-Outcome.
    std::string reason; ///< Marigold-Reason.
    std::string body;

    bool done() const { return complete && outcome == "done" && status == 200; }
    bool notRun() const { return complete && outcome == "not-run"; }
    bool unknown() const { return complete && outcome == "unknown"; }
    /// The body parsed as JSON; null for an empty body.
    Json::Value json() const;
};

constexpr std::chrono::milliseconds callBound { 6000 };

HttpReply get(const std::string& url);
/// Headers have the form "Name: value".
HttpReply post(const std::string& url, const std::string& body, const std::vector<std::string>& headers = {}, std::chrono::milliseconds bound = callBound);

} // namespace ProcessTests
