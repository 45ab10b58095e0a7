#include "Standins/RequestParser.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace Standins {

namespace {

    constexpr std::string_view endOfLine = "\r\n";
    constexpr std::string_view endOfHead = "\r\n\r\n";
    constexpr std::size_t maximumBodyBytes = 64 << 20;

    std::string lowered(std::string_view text)
    {
        std::string lower(text);
        std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
        return lower;
    }

    /// Length of the body; nothing when the header is malformed or the body too large.
    std::optional<std::size_t> lengthOf(const Request& request)
    {
        const std::string text = request.header("content-length");
        std::size_t n = 0;
        if (text.empty())
            return n;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
        if (ec != std::errc() || end != text.data() + text.size() || n > maximumBodyBytes)
            return std::nullopt;
        return n;
    }

} // namespace

std::string Request::header(std::string_view name) const
{
    const auto it = std::find_if(headers.begin(), headers.end(), [name](const auto& it) { return it.name == name; });
    return it == headers.end() ? std::string() : it->value;
}

std::optional<Request> RequestParser::parseHead(std::string_view head)
{
    const auto lineEnd = head.find(endOfLine);
    const std::string_view line = head.substr(0, lineEnd);
    const auto methodEnd = line.find(' ');
    const auto targetEnd = line.rfind(' ');
    if (methodEnd == std::string_view::npos || targetEnd <= methodEnd)
        return std::nullopt;
    Request request;
    request.method = line.substr(0, methodEnd);
    const std::string_view target = line.substr(methodEnd + 1, targetEnd - methodEnd - 1);
    const auto question = target.find('?');
    request.path = target.substr(0, question);
    if (question != std::string::npos)
        request.query = target.substr(question + 1);
    std::size_t begin = lineEnd;
    while (begin != std::string_view::npos) {
        begin += endOfLine.size();
        const auto end = head.find(endOfLine, begin);
        const std::string_view field = head.substr(begin, end == std::string_view::npos ? end : end - begin);
        const auto colon = field.find(':');
        if (colon == std::string_view::npos)
            return std::nullopt;
        const auto value = std::min(field.find_first_not_of(" \t", colon + 1), field.size());
        request.headers.push_back({ lowered(field.substr(0, colon)), std::string(field.substr(value)) });
        begin = end;
    }
    return request;
}

std::optional<Request> RequestParser::next()
{
    const auto headEnd = m_buffer.find(endOfHead);
    if (m_malformed || headEnd == std::string::npos)
        return std::nullopt;
    auto request = parseHead(std::string_view(m_buffer).substr(0, headEnd));
    const auto length = request ? lengthOf(*request) : std::nullopt;
    if (!length) {
        m_malformed = true;
        return std::nullopt;
    }
    const std::size_t bodyBegin = headEnd + endOfHead.size();
    if (m_buffer.size() < bodyBegin + *length)
        return std::nullopt;
    request->body = m_buffer.substr(bodyBegin, *length);
    m_buffer.erase(0, bodyBegin + *length);
    return request;
}

} // namespace Standins
