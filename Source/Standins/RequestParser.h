#pragma once

/// Parser of HTTP/1.1 requests with a Content-Length, enough for the stand-ins.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Standins {

/// One header line.
struct Header {
    std::string name; ///< Lower case in requests.
    std::string value;
};

/// A whole request.
struct Request {
    std::string method;
    std::string path; ///< Without the query.
    std::string query; ///< Without the question mark.
    std::vector<Header> headers;
    std::string body;

    /// Value of a header by its lower-case name; empty when absent.
    std::string header(std::string_view name) const;
};

/// Collects bytes and gives whole requests out of them.
class RequestParser {
public:
    void append(std::string_view bytes) { m_buffer.append(bytes); }
    /// The next whole request, if there is one; sets malformed() when there never will be.
    std::optional<Request> next();
    bool malformed() const { return m_malformed; }

private:
    std::optional<Request> parseHead(std::string_view head);

    std::string m_buffer;
    bool m_malformed = false;
};

} // namespace Standins
