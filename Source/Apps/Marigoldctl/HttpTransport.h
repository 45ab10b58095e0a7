#pragma once

/// Interface for blocking HTTP exchanges; CurlTransport implements it, tests replace it.

#include <chrono>
#include <string>

namespace Ctl {

/// A request to one server.
struct HttpRequest {
    std::string server; ///< "ip:port" or "[ipv6]:port".
    std::string method;
    std::string path; ///< Including the query string.
    std::string bearerToken; ///< Empty for none.
    std::string body;
    std::chrono::milliseconds timeout { 30000 }; ///< For the whole exchange, including the connect.
};

/// How an exchange ended.
enum class ExchangeOutcome {
    Answered, ///< A complete response was received.
    NotSent, ///< No byte of the request was sent; it is safe to retry elsewhere.
    Interrupted, ///< Bytes were sent but no complete response was received; the request may have taken effect.
};

/// The response, or why there is none.
struct HttpReply {
    ExchangeOutcome outcome = ExchangeOutcome::Interrupted;
    int status = 0; ///< HTTP status; 0 unless answered.
    std::string body;
    std::string errorMessage; ///< Human-readable; empty when answered.
};

/// Sends requests one at a time.
class HttpTransport {
public:
    virtual ~HttpTransport() = default;
    /// Blocks until the exchange ends; failures are returned, never thrown.
    virtual HttpReply exchange(const HttpRequest&) = 0;
};

} // namespace Ctl
