#pragma once

/// One HTTP exchange with an upstream, and how its end is judged.

#include "Ports/UpstreamPort.h"

#include <curl/curl.h>
#include <memory>
#include <string>

namespace Adapters {

/// Safeguards of the upstream adapter. Tests turn one off to see the fault that it prevents.
struct UpstreamGuards {
    bool refuseSecondSend = true; ///< libcurl repeats a request by itself when a re-used connection closes without an answer.
    bool matchRequestId = true; ///< An answer without our request id isn't taken as ours.
};

/// An easy handle with its request and what has come back. Used on the loop's thread only.
class Attempt {
public:
    Attempt(Ports::UpstreamCall, const Ports::UpstreamSettings&, UpstreamGuards);
    ~Attempt();
    Attempt(const Attempt&) = delete;
    Attempt& operator=(const Attempt&) = delete;

    CURL* handle() const { return m_handle; }
    const Ports::UpstreamCall& call() const { return m_call; }
    /// False only if no byte of the request can have left.
    bool mayHaveBeenSent() const { return m_sends > 0; }
    /// Judges the end that libcurl reports; call once.
    Ports::UpstreamResult finish(CURLcode);
    /// Result without an answer.
    Ports::UpstreamResult resultOf(Ports::AttemptEnd) const;

private:
    void prepareRequest();
    void prepareLimits(const Ports::UpstreamSettings&);
    void prepareCallbacks();
    void headerArrived(std::string_view line);
    bool bodyArrived(const char* data, std::size_t size);
    Ports::AttemptEnd judge(CURLcode) const;
    Ports::AttemptEnd judgeWhole() const;
    bool hasEnd() const;

    static int onBeforeSend(void*, char*, char*, int, int);
    static std::size_t onHeader(char*, std::size_t, std::size_t, void*);
    static std::size_t onBody(char*, std::size_t, std::size_t, void*);

    Ports::UpstreamCall m_call;
    UpstreamGuards m_guards;
    std::size_t m_maximumAnswerBytes;
    CURL* m_handle;
    curl_slist* m_headers = nullptr;
    unsigned m_sends = 0;
    bool m_answerBegan = false;
    bool m_lengthKnown = false;
    bool m_refused = false;
    std::string m_echoedId;
    std::string m_contentType;
    std::string m_answer;
};

} // namespace Adapters
