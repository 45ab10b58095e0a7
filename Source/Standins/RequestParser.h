#pragma once

/// Incremental parser of HTTP/1.1 requests for the stand-ins. Supports bodies with a Content-Length only.

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Standins {

struct Header {
    std::string name; ///< Lower case in requests.
    std::string value;
};

struct Request {
    std::string method;
    std::string path; ///< Without the query; not percent-decoded.
    std::string query; ///< Without the question mark.
    std::vector<Header> headers;
    std::string body;

    /// Value of a header by its lower-case name; empty when absent.
    std::string header(std::string_view name) const;
};

/// Splits the bytes of one connection into requests.
class RequestParser {
public:
    void append(std::string_view bytes) { m_buffer.append(bytes); }
    /// Removes and returns the next complete request, if there is one. Once the input is malformed, always returns nothing.
    std::optional<Request> next();
    bool malformed() const { return m_malformed; }

private:
    std::optional<Request> parseHead(std::string_view head);

    std::string m_buffer;
    bool m_malformed = false;
};

} // namespace Standins
