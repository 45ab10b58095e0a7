#include "Adapters/Callers/RequestReader.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>
#include <string_view>

namespace Adapters {
namespace {

    using Pistache::Http::Method;
    using Pistache::Http::Request;

    constexpr std::string_view servicesPath = "/v1/services/";
    constexpr std::string_view requestsPath = "/v1/requests/";
    constexpr std::size_t maximumNameLength = 128;
    constexpr std::size_t maximumKeyLength = 128;

    std::optional<std::string> headerOf(const Request& request, const char* name)
    {
        const auto raw = request.headers().tryGetRaw(name);
        if (!raw)
            return std::nullopt;
        return raw->value();
    }

    bool isNameCharacter(unsigned char c)
    {
        return std::isalnum(c) || c == '.' || c == '_' || c == '-';
    }

    bool isName(std::string_view text)
    {
        return !text.empty() && text.size() <= maximumNameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
    }

    bool isPrintable(unsigned char c) { return c >= 0x20 && c <= 0x7e; }

    bool isKey(std::string_view text)
    {
        return !text.empty() && text.size() <= maximumKeyLength && std::all_of(text.begin(), text.end(), isPrintable);
    }

    /// Content of a structured-field string (RFC 8941): quoted, with quotes and backslashes escaped by a backslash.
    std::optional<std::string> readQuoted(std::string_view text)
    {
        if (text.size() < 2 || text.front() != '"' || text.back() != '"')
            return std::nullopt;
        text = text.substr(1, text.size() - 2);
        std::string content;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '"')
                return std::nullopt;
            if (text[i] == '\\' && (++i == text.size() || (text[i] != '"' && text[i] != '\\')))
                return std::nullopt;
            content += text[i];
        }
        return content;
    }

    std::optional<std::chrono::milliseconds> readTimeout(std::string_view text)
    {
        std::int64_t count = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), count);
        if (ec != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        if (count < 1 || count > maximumTimeout.count())
            return std::nullopt;
        return std::chrono::milliseconds(count);
    }

    std::optional<std::string> percentDecoded(std::string_view text)
    {
        constexpr int hexadecimal = 16;
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] != '%') {
                decoded += text[i];
                continue;
            }
            unsigned char value = 0;
            const char* digits = text.data() + i + 1;
            if (i + 2 >= text.size() || std::from_chars(digits, digits + 2, value, hexadecimal).ptr != digits + 2)
                return std::nullopt;
            decoded += static_cast<char>(value);
            i += 2;
        }
        return decoded;
    }

    std::string contentTypeOf(const Request& request)
    {
        const auto header = request.headers().tryGet<Pistache::Http::Header::ContentType>();
        if (header)
            return header->mime().toString();
        return headerOf(request, "Content-Type").value_or("");
    }

    using FieldReader = std::optional<RequestFault> (*)(const Request&, Ports::CallerRequest&);

    std::optional<RequestFault> readTeam(const Request& request, Ports::CallerRequest& result)
    {
        result.team = headerOf(request, "Marigold-Team").value_or("");
        return isName(result.team) ? std::nullopt : std::optional(RequestFault::BadTeam);
    }

    std::optional<RequestFault> readPriority(const Request& request, Ports::CallerRequest& result)
    {
        result.priority = headerOf(request, "Marigold-Priority").value_or("");
        return isName(result.priority) ? std::nullopt : std::optional(RequestFault::BadPriority);
    }

    std::optional<RequestFault> readDeadline(const Request& request, Ports::CallerRequest& result)
    {
        const auto text = headerOf(request, "Marigold-Timeout-Ms");
        if (!text)
            return std::nullopt;
        const auto timeout = readTimeout(*text);
        if (!timeout)
            return RequestFault::BadTimeout;
        result.timeLeft = *timeout;
        return std::nullopt;
    }

    std::optional<RequestFault> readIdempotent(const Request& request, Ports::CallerRequest& result)
    {
        const auto text = headerOf(request, "Marigold-Idempotent").value_or("false");
        if (text != "true" && text != "false")
            return RequestFault::BadIdempotent;
        result.idempotent = text == "true";
        return std::nullopt;
    }

    std::optional<RequestFault> readKey(const Request& request, Ports::CallerRequest& result)
    {
        const auto text = headerOf(request, "Idempotency-Key");
        if (!text)
            return std::nullopt;
        const auto key = readQuoted(*text);
        if (!key || !isKey(*key))
            return RequestFault::BadKey;
        result.idempotencyKey = *key;
        return std::nullopt;
    }

    std::optional<RequestFault> checkExpect(const Request& request, Ports::CallerRequest&)
    {
        const auto expect = request.headers().tryGet<Pistache::Http::Header::Expect>();
        if (expect && expect->expectation() != Pistache::Http::Expectation::Continue)
            return RequestFault::UnsupportedExpect;
        return std::nullopt;
    }

    constexpr FieldReader fieldReaders[] = { &checkExpect, &readTeam, &readPriority, &readDeadline, &readIdempotent, &readKey };

    CallerCommand readRun(const Request& request, std::string_view service, const Ports::CallerSettings& settings)
    {
        if (request.method() != Method::Post)
            return RequestFault::MethodNotAllowed;
        if (!isName(service))
            return RequestFault::BadService;
        Ports::CallerRequest result;
        result.service = service;
        result.timeLeft = settings.defaultDeadline;
        for (const auto read : fieldReaders) {
            if (const auto fault = read(request, result))
                return *fault;
        }
        if (request.body().size() > settings.maximumBodyBytes)
            return RequestFault::BodyTooLarge;
        result.contentType = contentTypeOf(request);
        result.body = std::make_shared<const std::string>(request.body());
        return result;
    }

    CallerCommand readCancel(const Request& request, std::string_view encodedKey)
    {
        if (request.method() != Method::Delete)
            return RequestFault::MethodNotAllowed;
        Ports::CallerRequest fields;
        if (const auto fault = readTeam(request, fields))
            return *fault;
        const auto key = percentDecoded(encodedKey);
        if (!key || !isKey(*key))
            return RequestFault::BadKey;
        return CancelCommand { fields.team, *key };
    }

    template<typename Check>
    CallerCommand readCheck(const Request& request)
    {
        if (request.method() != Method::Get)
            return RequestFault::MethodNotAllowed;
        return Check {};
    }

} // namespace

CallerCommand readCommand(const Request& request, const Ports::CallerSettings& settings)
{
    const std::string_view path = request.resource();
    if (path.starts_with(servicesPath))
        return readRun(request, path.substr(servicesPath.size()), settings);
    if (path.starts_with(requestsPath))
        return readCancel(request, path.substr(requestsPath.size()));
    if (path == "/health")
        return readCheck<HealthCheck>(request);
    if (path == "/ready")
        return readCheck<ReadinessCheck>(request);
    return RequestFault::BadPath;
}

} // namespace Adapters
