#include "HttpApiClient.h"

#include "ApiCodec.h"
#include "Objects/Address.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace Ctl {

namespace {

    constexpr int firstErrorStatus = 300; // Redirects count as errors: they aren't followed.
    constexpr const char* statusPath = "/v1/status";
    constexpr const char* poolsPath = "/v1/pools";
    constexpr const char* configurationPath = "/v1/configuration";
    constexpr const char* auditPath = "/v1/audit";
    constexpr const char* movesPath = "/v1/moves";
    constexpr const char* wavesPath = "/v1/waves";

    /// Percent-encodes all but the unreserved characters of RFC 3986.
    std::string percentEncoded(const std::string& text)
    {
        static constexpr char s_digits[] = "0123456789ABCDEF";
        std::string result;
        for (const char c : text) {
            const auto byte = static_cast<unsigned char>(c);
            if (std::isalnum(byte) || c == '-' || c == '.' || c == '_' || c == '~') {
                result += c;
                continue;
            }
            result += '%';
            result += s_digits[byte >> 4];
            result += s_digits[byte & 15];
        }
        return result;
    }

    [[noreturn]] void throwRefused(const HttpReply& reply)
    {
        throw ApiError(ApiFailure::Refused, "the server refused (HTTP " + std::to_string(reply.status) + "): " + decodeErrorMessage(reply.body));
    }

    template<typename Decoder>
    auto decodeAnswer(const std::string& body, Decoder decoder)
    {
        try {
            return decoder(body);
        } catch (const CodecError& e) {
            throw ApiError(ApiFailure::Refused, e.what());
        }
    }

} // namespace

HttpApiClient::HttpApiClient(ApiSettings settings, HttpTransport& transport)
    : m_settings(std::move(settings))
    , m_transport(transport)
{
}

Common::Result<std::unique_ptr<HttpApiClient>, CtlError> HttpApiClient::create(ApiSettings settings, HttpTransport& transport)
{
    if (settings.servers.empty())
        return CtlError(ExitCode::UsageError, "--server ip:port[,ip:port...] or MARIGOLD_SERVER is required");
    for (const auto& server : settings.servers) {
        if (!Objects::canonicalAddress(server))
            return CtlError(ExitCode::UsageError, "--server: '" + server + "' is not an address (accepted: ip:port or [ipv6]:port)");
    }
    if (std::any_of(settings.token.begin(), settings.token.end(), [](unsigned char c) { return c <= ' ' || c > '~'; }))
        return CtlError(ExitCode::UsageError, "the token contains a character that can't be sent (accepted: printable ASCII without spaces)");
    return std::unique_ptr<HttpApiClient>(new HttpApiClient(std::move(settings), transport));
}

HttpReply HttpApiClient::call(const std::string& method, const std::string& path, const std::string& body, Idempotency idempotency)
{
    std::string errors;
    bool mayHaveTakenEffect = false;
    const std::size_t count = m_settings.servers.size();
    const std::size_t first = m_preferredServer;
    for (std::size_t n = 0; n < count; ++n) {
        const std::size_t index = (first + n) % count;
        HttpRequest request;
        request.server = m_settings.servers[index];
        request.method = method;
        request.path = path;
        request.bearerToken = m_settings.token;
        request.body = body;
        auto reply = m_transport.exchange(request);
        if (reply.outcome == ExchangeOutcome::Answered) {
            m_preferredServer = index;
            return reply;
        }
        errors += (errors.empty() ? "" : "; ") + request.server + ": " + reply.errorMessage;
        mayHaveTakenEffect = mayHaveTakenEffect || reply.outcome == ExchangeOutcome::Interrupted;
        if (mayHaveTakenEffect && idempotency == Idempotency::NotIdempotent) {
            m_preferredServer = (index + 1) % count;
            throw ApiError(ApiFailure::AnswerLost, "the answer was lost, so the outcome is unknown (" + errors + ")");
        }
    }
    if (mayHaveTakenEffect && method != "GET")
        throw ApiError(ApiFailure::AnswerLost, "the answer was lost, so the outcome is unknown (" + errors + ")");
    throw ApiError(ApiFailure::Unreachable, "no server answered (" + errors + ")");
}

std::string HttpApiClient::get(const std::string& path)
{
    auto reply = call("GET", path, "", Idempotency::Idempotent);
    if (reply.status >= firstErrorStatus)
        throwRefused(reply);
    return std::move(reply.body);
}

FleetStatus HttpApiClient::status() { return decodeAnswer(get(statusPath), decodeStatus); }

std::vector<UpstreamAssignment> HttpApiClient::pools() { return decodeAnswer(get(poolsPath), decodePools); }

Configuration HttpApiClient::configuration() { return decodeAnswer(get(configurationPath), decodeConfiguration); }

PublishAnswer HttpApiClient::publish(const PublishRequest& request)
{
    const auto reply = call("POST", configurationPath, encodePublish(request), Idempotency::NotIdempotent);
    try {
        return decodePublish(reply.body);
    } catch (const CodecError&) {
        throwRefused(reply);
    }
}

std::vector<AuditEntry> HttpApiClient::audit(const std::string& dataCentre)
{
    const std::string query = dataCentre.empty() ? "" : "?dataCentre=" + percentEncoded(dataCentre);
    return decodeAnswer(get(auditPath + query), decodeAudit);
}

void HttpApiClient::move(const MoveRequest& request)
{
    const auto reply = call("POST", movesPath, encodeMove(request), Idempotency::NotIdempotent);
    if (reply.status >= firstErrorStatus)
        throwRefused(reply);
}

std::vector<WaveStatus> HttpApiClient::waves() { return decodeAnswer(get(wavesPath), decodeWaves); }

void HttpApiClient::setWavePaused(const std::string& wave, bool paused)
{
    const std::string path = std::string(wavesPath) + "/" + percentEncoded(wave) + (paused ? "/pause" : "/resume");
    const auto reply = call("POST", path, "", Idempotency::Idempotent);
    if (reply.status >= firstErrorStatus)
        throwRefused(reply);
}

} // namespace Ctl
