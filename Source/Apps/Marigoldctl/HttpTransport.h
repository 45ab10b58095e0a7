#pragma once

/// One HTTP exchange with one server.

#include <chrono>
#include <string>

namespace Ctl {

/// A request to make.
struct HttpRequest {
    std::string server; ///< "ip:port" or "[ipv6]:port".
    std::string method;
    std::string path; ///< With the query.
    std::string bearerToken; ///< Empty for none.
    std::string body;
    std::chrono::milliseconds timeout { 30000 };
};

/// How an exchange ended.
enum class HttpEnd {
    Answered, ///< A whole answer.
    NotSent, ///< No byte of the request left this host.
    Broken, ///< Bytes were sent and no whole answer came.
};

/// Result of an exchange.
struct HttpReply {
    HttpEnd end = HttpEnd::Broken;
    int status = 0;
    std::string body;
    std::string problem; ///< For a person; empty when answered.
};

/// Makes exchanges, one after the other.
class HttpTransport {
public:
    virtual ~HttpTransport() = default;
    virtual HttpReply exchange(const HttpRequest&) = 0;
};

} // namespace Ctl
