#include "CurlTransport.h"

#include <chrono>
#include <curl/curl.h>
#include <utility>

namespace Ctl {

namespace {

    constexpr std::chrono::milliseconds connectTimeout { 2000 };

    struct SlistDeleter {
        void operator()(curl_slist* list) const { curl_slist_free_all(list); }
    };
    using HeaderList = std::unique_ptr<curl_slist, SlistDeleter>;

    struct EasyDeleter {
        void operator()(CURL* easy) const { curl_easy_cleanup(easy); }
    };

    std::size_t appendBody(char* data, std::size_t size, std::size_t n, void* body)
    {
        static_cast<std::string*>(body)->append(data, size * n);
        return size * n;
    }

    void addHeader(HeaderList& list, const std::string& line)
    {
        if (curl_slist* head = curl_slist_append(list.get(), line.c_str())) {
            (void)list.release();
            list.reset(head);
        }
    }

    HeaderList headersOf(const HttpRequest& request)
    {
        HeaderList list;
        addHeader(list, "Content-Type: application/json");
        addHeader(list, "Expect:");
        if (!request.bearerToken.empty())
            addHeader(list, "Authorization: Bearer " + request.bearerToken);
        return list;
    }

    /// CURLINFO_REQUEST_SIZE counts the request bytes sent; while it is 0 the server has received nothing of the request.
    ExchangeOutcome outcomeOf(CURL* easy, CURLcode code)
    {
        if (code == CURLE_OK)
            return ExchangeOutcome::Answered;
        if (code == CURLE_COULDNT_CONNECT || code == CURLE_URL_MALFORMAT || code == CURLE_COULDNT_RESOLVE_HOST)
            return ExchangeOutcome::NotSent;
        long sentBytes = 0;
        curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sentBytes);
        return sentBytes ? ExchangeOutcome::Interrupted : ExchangeOutcome::NotSent;
    }

} // namespace

class CurlTransport::Private {
public:
    std::unique_ptr<CURL, EasyDeleter> easy { curl_easy_init() };
};

CurlTransport::CurlTransport(std::unique_ptr<Private> impl)
    : m_private(std::move(impl))
{
}

CurlTransport::~CurlTransport() = default;

Common::Result<std::unique_ptr<CurlTransport>, CtlError> CurlTransport::create()
{
    if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK)
        return CtlError(ExitCode::Failed, "libcurl can't be initialized");
    auto impl = std::make_unique<Private>();
    if (!impl->easy)
        return CtlError(ExitCode::Failed, "libcurl can't create a handle");
    return std::unique_ptr<CurlTransport>(new CurlTransport(std::move(impl)));
}

HttpReply CurlTransport::exchange(const HttpRequest& request)
{
    CURL* easy = m_private->easy.get();
    HttpReply reply;
    const std::string url = "http://" + request.server + request.path;
    const auto headers = headersOf(request);
    curl_easy_reset(easy);
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connectTimeout.count()));
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(request.timeout.count()));
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, appendBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &reply.body);
    if (request.method == "POST") {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    }
    const CURLcode code = curl_easy_perform(easy);
    reply.outcome = outcomeOf(easy, code);
    if (reply.outcome != ExchangeOutcome::Answered) {
        reply.errorMessage = curl_easy_strerror(code);
        return reply;
    }
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
    return reply;
}

} // namespace Ctl
