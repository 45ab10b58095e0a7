#include "Adapters/Upstreams/Attempt.h"

#include <algorithm>
#include <cctype>
#include <string_view>
#include <utility>

namespace Adapters {
namespace {

    constexpr std::string_view requestIdHeader = "Marigold-Request-Id";
    constexpr std::string_view refusedHeader = "Marigold-Refused";
    constexpr std::string_view refusedValue = "not-run";
    constexpr long statusNoContent = 204;
    constexpr long statusNotModified = 304;
    constexpr long statusUnavailable = 503;

    bool equalsIgnoringCase(std::string_view left, std::string_view right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
    }

    std::string_view trimmed(std::string_view text)
    {
        constexpr const char* blanks = " \t\r\n";
        const auto first = text.find_first_not_of(blanks);
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(blanks) - first + 1);
    }

    long statusOf(CURL* handle)
    {
        long status = 0;
        curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
        return status;
    }

} // namespace

Attempt::Attempt(Ports::UpstreamCall call, const Ports::UpstreamSettings& settings, UpstreamGuards guards)
    : m_call(std::move(call))
    , m_guards(guards)
    , m_maximumAnswerBytes(settings.maximumAnswerBytes)
    , m_handle(curl_easy_init())
{
    prepareRequest();
    prepareLimits(settings);
    prepareCallbacks();
}

Attempt::~Attempt()
{
    curl_easy_cleanup(m_handle);
    curl_slist_free_all(m_headers);
}

void Attempt::prepareRequest()
{
    const auto append = [this](const std::string& line) { m_headers = curl_slist_append(m_headers, line.c_str()); };
    append(std::string(requestIdHeader) + ": " + m_call.requestId);
    append("Marigold-Time-Left-Ms: " + std::to_string(m_call.timeLeft.count()));
    append("Content-Type: " + (m_call.contentType.empty() ? "application/octet-stream" : m_call.contentType));
    append("Expect:");
    const std::string url = "http://" + m_call.address + "/run/" + m_call.service;
    curl_easy_setopt(m_handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(m_handle, CURLOPT_HTTPHEADER, m_headers);
    curl_easy_setopt(m_handle, CURLOPT_POST, 1L);
    curl_easy_setopt(m_handle, CURLOPT_POSTFIELDS, m_call.body ? m_call.body->data() : "");
    curl_easy_setopt(m_handle, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(m_call.body ? m_call.body->size() : 0));
    curl_easy_setopt(m_handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(m_handle, CURLOPT_PROXY, ""); // Ignore proxies set in the environment.
    curl_easy_setopt(m_handle, CURLOPT_PROTOCOLS_STR, "http");
}

void Attempt::prepareLimits(const Ports::UpstreamSettings& settings)
{
    curl_easy_setopt(m_handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(m_handle, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(settings.connectTimeout.count()));
}

void Attempt::prepareCallbacks()
{
    curl_easy_setopt(m_handle, CURLOPT_PRIVATE, this);
    curl_easy_setopt(m_handle, CURLOPT_PREREQFUNCTION, &Attempt::onBeforeSend);
    curl_easy_setopt(m_handle, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_HEADERFUNCTION, &Attempt::onHeader);
    curl_easy_setopt(m_handle, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_handle, CURLOPT_WRITEFUNCTION, &Attempt::onBody);
    curl_easy_setopt(m_handle, CURLOPT_WRITEDATA, this);
}

// libcurl calls this once a connection is ready, before it sends the first byte, and again before each of its own retries.
int Attempt::onBeforeSend(void* user, char*, char*, int, int)
{
    auto* self = static_cast<Attempt*>(user);
    if (self->m_sendCount > 0 && self->m_guards.refuseSecondSend)
        return CURL_PREREQFUNC_ABORT;
    ++self->m_sendCount;
    return CURL_PREREQFUNC_OK;
}

std::size_t Attempt::onHeader(char* data, std::size_t size, std::size_t count, void* user)
{
    static_cast<Attempt*>(user)->handleHeader({ data, size * count });
    return size * count;
}

std::size_t Attempt::onBody(char* data, std::size_t size, std::size_t count, void* user)
{
    return static_cast<Attempt*>(user)->appendBody(data, size * count) ? size * count : 0;
}

void Attempt::handleHeader(std::string_view line)
{
    m_answerStarted = true;
    const auto colon = line.find(':');
    if (colon == std::string_view::npos)
        return;
    const auto name = line.substr(0, colon);
    const auto value = trimmed(line.substr(colon + 1));
    if (equalsIgnoringCase(name, requestIdHeader))
        m_echoedId = value;
    else if (equalsIgnoringCase(name, refusedHeader))
        m_refused = value == refusedValue;
    else if (equalsIgnoringCase(name, "Content-Type"))
        m_contentType = value;
    else if (equalsIgnoringCase(name, "Content-Length") || equalsIgnoringCase(name, "Transfer-Encoding"))
        m_lengthKnown = true;
}

bool Attempt::appendBody(const char* data, std::size_t size)
{
    if (m_answer.size() + size > m_maximumAnswerBytes)
        return false;
    m_answer.append(data, size);
    return true;
}

Ports::UpstreamResult Attempt::finish(CURLcode code)
{
    auto result = resultOf(classifyEnd(code));
    if (result.end != Ports::AttemptEnd::Answered)
        return result;
    result.status = static_cast<int>(statusOf(m_handle));
    result.contentType = std::move(m_contentType);
    result.body = std::make_shared<const std::string>(std::move(m_answer));
    return result;
}

Ports::UpstreamResult Attempt::resultOf(Ports::AttemptEnd end) const
{
    Ports::UpstreamResult result;
    result.attempt = m_call.attempt;
    result.end = end;
    return result;
}

Ports::AttemptEnd Attempt::classifyEnd(CURLcode code) const
{
    if (!mayHaveBeenSent())
        return Ports::AttemptEnd::NotSent;
    if (code == CURLE_OK)
        return classifyComplete();
    if (m_answerStarted)
        return Ports::AttemptEnd::Truncated;
    return Ports::AttemptEnd::Lost;
}

Ports::AttemptEnd Attempt::classifyComplete() const
{
    const bool hasOtherId = !m_echoedId.empty() && m_echoedId != m_call.requestId;
    if (m_refused && !hasOtherId && statusOf(m_handle) == statusUnavailable)
        return Ports::AttemptEnd::Refused;
    if (m_guards.matchRequestId && m_echoedId != m_call.requestId)
        return Ports::AttemptEnd::Lost;
    // Without a length, a complete answer can't be distinguished from a truncated one.
    return isDelimited() ? Ports::AttemptEnd::Answered : Ports::AttemptEnd::Truncated;
}

bool Attempt::isDelimited() const
{
    const long status = statusOf(m_handle);
    return m_lengthKnown || status == statusNoContent || status == statusNotModified;
}

} // namespace Adapters
