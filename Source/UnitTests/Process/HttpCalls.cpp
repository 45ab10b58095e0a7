#include "Process/HttpCalls.h"

#include <curl/curl.h>
#include <memory>

namespace ProcessTests {

namespace {

    std::size_t appendBody(char* data, std::size_t size, std::size_t n, void* reply)
    {
        static_cast<HttpReply*>(reply)->body.append(data, size * n);
        return size * n;
    }

    std::string headerOf(CURL* easy, const char* name)
    {
        curl_header* header = nullptr;
        return curl_easy_header(easy, name, 0, CURLH_HEADER, -1, &header) == CURLHE_OK ? header->value : "";
    }

    HttpReply call(const std::string& url, const std::string* body, const std::vector<std::string>& headers, std::chrono::milliseconds bound)
    {
        const std::unique_ptr<CURL, void (*)(CURL*)> easy(curl_easy_init(), curl_easy_cleanup);
        curl_slist* list = curl_slist_append(nullptr, "Expect:");
        for (const auto& it : headers)
            list = curl_slist_append(list, it.c_str());
        const std::unique_ptr<curl_slist, void (*)(curl_slist*)> listOwner(list, curl_slist_free_all);
        HttpReply reply;
        curl_easy_setopt(easy.get(), CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy.get(), CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(bound.count()));
        curl_easy_setopt(easy.get(), CURLOPT_HTTPHEADER, list);
        curl_easy_setopt(easy.get(), CURLOPT_WRITEFUNCTION, appendBody);
        curl_easy_setopt(easy.get(), CURLOPT_WRITEDATA, &reply);
        if (body) {
            curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body->size()));
            curl_easy_setopt(easy.get(), CURLOPT_POSTFIELDS, body->c_str());
        }
        reply.complete = curl_easy_perform(easy.get()) == CURLE_OK;
        reply.outcome = headerOf(easy.get(), "Marigold-Outcome");
        reply.reason = headerOf(easy.get(), "Marigold-Reason");
        curl_easy_getinfo(easy.get(), CURLINFO_RESPONSE_CODE, &reply.status);
        return reply;
    }

} // namespace

Json::Value HttpReply::json() const
{
    Json::Value value;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    reader->parse(body.data(), body.data() + body.size(), &value, nullptr);
    return value;
}

HttpReply get(const std::string& url)
{
    return call(url, nullptr, {}, callBound);
}

HttpReply post(const std::string& url, const std::string& body, const std::vector<std::string>& headers, std::chrono::milliseconds bound)
{
    return call(url, &body, headers, bound);
}

} // namespace ProcessTests
