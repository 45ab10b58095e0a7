#pragma once

/// An HTTP call and how it ended, for the HTTP clients.

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace Adapters {

/// One header line.
struct HttpHeader {
    std::string name; ///< Lower case in answers.
    std::string value;
};

/// A call to make.
struct HttpCall {
    std::string method = "GET";
    std::string url;
    std::vector<HttpHeader> headers;
    std::string body;
    std::chrono::milliseconds connectTimeout { 1000 };
    std::chrono::milliseconds timeout { 0 }; ///< For the whole call; zero for none.
    /// Each part of an answer that comes lets the time limit begin anew: for answers that a slow link takes long to carry.
    /// KeepAliveClient only.
    bool isIdleTimeout = false;
    /// libcurl silently sends a request again when a re-used connection dies before the first byte of the answer:
    /// set this for calls that must not reach the server twice.
    bool freshConnection = false;
};

/// How a call ended.
enum class HttpEnd {
    Answered, ///< A whole answer.
    NotSent, ///< No byte of the request left this host.
    Broken, ///< Bytes were sent and no whole answer came.
};

/// Result of a call.
struct HttpOutcome {
    HttpEnd end = HttpEnd::Broken;
    int status = 0;
    std::string body; ///< Empty when the call had a data callback.
    std::vector<HttpHeader> headers;

    /// Value of a header by its lower-case name; empty when absent.
    std::string header(std::string_view name) const;
};

using HttpCallback = std::function<void(HttpOutcome)>;
/// Takes a part of a streamed answer; false ends the call. Must not call the client.
using HttpDataCallback = std::function<bool(std::string_view)>;

} // namespace Adapters
