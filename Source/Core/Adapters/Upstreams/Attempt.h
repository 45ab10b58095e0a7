#pragma once

/// One HTTP exchange with an upstream and the classification of its end.

#include "Ports/UpstreamPort.h"

#include <curl/curl.h>
#include <memory>
#include <string>

namespace Adapters {

/// Safeguards of the upstream adapter. Tests disable one to reproduce the fault that it prevents.
struct UpstreamGuards {
    bool refuseSecondSend = true; ///< Aborts libcurl's own retry after a reused connection closed without an answer.
    bool matchRequestId = true; ///< Treats an answer without the request id of this attempt as Lost.
};

/// A libcurl easy handle with its request and the answer received so far. Used on the CurlLoop's thread only.
class Attempt {
public:
    Attempt(Ports::UpstreamCall, const Ports::UpstreamSettings&, UpstreamGuards);
    ~Attempt();
    Attempt(const Attempt&) = delete;
    Attempt& operator=(const Attempt&) = delete;

    /// For CurlLoop; owned by the attempt. CURLINFO_PRIVATE points back to the attempt.
    CURL* handle() const { return m_handle; }
    const Ports::UpstreamCall& call() const { return m_call; }
    /// False only if certainly no byte of the request has been sent.
    bool mayHaveBeenSent() const { return m_sendCount > 0; }
    /// Result for the code that libcurl reports at the end of the transfer. Call once: the answer's body is moved out.
    Ports::UpstreamResult finish(CURLcode);
    /// Result without an answer, for an attempt that is given up.
    Ports::UpstreamResult resultOf(Ports::AttemptEnd) const;

private:
    void prepareRequest();
    void prepareLimits(const Ports::UpstreamSettings&);
    void prepareCallbacks();
    void handleHeader(std::string_view line);
    bool appendBody(const char* data, std::size_t size);
    Ports::AttemptEnd classifyEnd(CURLcode) const;
    Ports::AttemptEnd classifyComplete() const;
    bool isDelimited() const;

    static int onBeforeSend(void*, char*, char*, int, int);
    static std::size_t onHeader(char*, std::size_t, std::size_t, void*);
    static std::size_t onBody(char*, std::size_t, std::size_t, void*);

    Ports::UpstreamCall m_call;
    UpstreamGuards m_guards;
    std::size_t m_maximumAnswerBytes;
    CURL* m_handle;
    curl_slist* m_headers = nullptr;
    unsigned m_sendCount = 0;
    bool m_answerStarted = false;
    bool m_lengthKnown = false;
    bool m_refused = false;
    std::string m_echoedId;
    std::string m_contentType;
    std::string m_answer;
};

} // namespace Adapters
