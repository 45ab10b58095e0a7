#pragma once

/// An HTTP call and its outcome, shared by the HTTP clients.

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Adapters {

/// A request or response header.
struct HttpHeader {
    std::string name; ///< Lower case in answers.
    std::string value;
};

/// An HTTP request with its timeouts.
struct HttpCall {
    std::string method = "GET";
    std::string url;
    std::vector<HttpHeader> headers;
    std::string body;
    std::chrono::milliseconds connectTimeout { 1000 };
    std::chrono::milliseconds timeout { 0 }; ///< For the whole call, unless isIdleTimeout is set; zero for none.
    /// Restarts the timeout with each part of the answer, for large answers over slow links. KeepAliveClient only.
    bool isIdleTimeout = false;
    /// Set this for calls that must not reach the server twice: libcurl silently retries a request if a reused connection
    /// closes before the first byte of the answer. CurlClient only.
    bool freshConnection = false;
};

/// How a call ended.
enum class HttpEnd {
    Answered, ///< A complete answer was received.
    NotSent, ///< No byte of the request left this host.
    Broken, ///< Bytes were sent, but no complete answer was received.
};

/// Outcome of a call.
struct HttpOutcome {
    HttpEnd end = HttpEnd::Broken;
    int status = 0;
    std::string body; ///< Empty if the call had a data callback.
    std::vector<HttpHeader> headers; ///< Not set by KeepAliveClient.

    /// Value of a header by its lower-case name; empty if absent.
    std::string header(std::string_view name) const;
};

using HttpCallback = std::function<void(HttpOutcome)>;
/// Receives a part of the answer. Returning false ends the call. Must not call the client.
using HttpDataCallback = std::function<bool(std::string_view)>;

} // namespace Adapters
