#include "Adapters/Platform/CurlClient.h"

#include <algorithm>
#include <cctype>
#include <curl/curl.h>
#include <map>
#include <utility>
#include <uv.h>

namespace Adapters {

namespace {

    constexpr long maximumIdleConnections = 64;
    constexpr long keepAliveIdleSeconds = 10;
    constexpr long keepAliveIntervalSeconds = 5;

    struct Poll {
        uv_poll_t handle {};
        curl_socket_t socket = CURL_SOCKET_BAD;
    };

    struct GlobalInit {
        GlobalInit() { curl_global_init(CURL_GLOBAL_DEFAULT); }
    };

    std::string_view trimmed(std::string_view text)
    {
        const auto begin = text.find_first_not_of(" \t\r\n");
        if (begin == std::string_view::npos)
            return {};
        return text.substr(begin, text.find_last_not_of(" \t\r\n") - begin + 1);
    }

} // namespace

class CurlClient::Private {
public:
    struct RunningCall {
        CallId id = 0;
        CURL* easy = nullptr;
        curl_slist* headers = nullptr;
        std::string body;
        HttpOutcome outcome;
        HttpCallback callback;
        HttpDataCallback dataCallback;

        ~RunningCall()
        {
            curl_easy_cleanup(easy);
            curl_slist_free_all(headers);
        }
    };

    explicit Private(EventLoop& loop)
        : m_loop(loop)
    {
        static const GlobalInit s_init;
        m_multi = curl_multi_init();
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, onSocket);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, onTimer);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maximumIdleConnections);
    }

    ~Private() { cleanUp(); }

    CallId start(HttpCall call, HttpCallback callback, HttpDataCallback dataCallback)
    {
        if (!m_multi) {
            callback({ HttpEnd::NotSent, 0, {}, {} });
            return 0;
        }
        auto running = std::make_unique<RunningCall>();
        running->id = ++m_lastCall;
        running->easy = curl_easy_init();
        running->body = std::move(call.body);
        running->callback = std::move(callback);
        running->dataCallback = std::move(dataCallback);
        setRequest(*running, call);
        setTransport(*running, call);
        CURL* easy = running->easy;
        m_running[running->id] = std::move(running);
        curl_multi_add_handle(m_multi, easy);
        return m_lastCall;
    }

    void cancel(CallId id)
    {
        const auto it = m_running.find(id);
        if (it != m_running.end())
            finish(*it->second, HttpEnd::Broken);
    }

    void shutdown()
    {
        while (!m_running.empty())
            finish(*m_running.begin()->second, HttpEnd::Broken);
        cleanUp();
    }

private:
    static void setRequest(RunningCall& running, const HttpCall& call)
    {
        CURL* easy = running.easy;
        curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        if (!running.body.empty() || call.method == "POST") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(running.body.size()));
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, running.body.c_str());
        }
        running.headers = curl_slist_append(running.headers, "Expect:");
        for (const auto& it : call.headers)
            running.headers = curl_slist_append(running.headers, (it.name + ": " + it.value).c_str());
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, running.headers);
    }

    static void setTransport(RunningCall& running, const HttpCall& call)
    {
        CURL* easy = running.easy;
        curl_easy_setopt(easy, CURLOPT_PRIVATE, &running);
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
        curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
        curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(call.connectTimeout.count()));
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
        curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
        curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, keepAliveIdleSeconds);
        curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, keepAliveIntervalSeconds);
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.freshConnection ? 1L : 0L);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, onData);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &running);
        curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, onHeader);
        curl_easy_setopt(easy, CURLOPT_HEADERDATA, &running);
    }

    static std::size_t onData(char* bytes, std::size_t size, std::size_t count, void* data)
    {
        auto* running = static_cast<RunningCall*>(data);
        const std::size_t n = size * count;
        if (!running->dataCallback) {
            running->outcome.body.append(bytes, n);
            return n;
        }
        // A short count makes libcurl abort the transfer.
        return running->dataCallback(std::string_view(bytes, n)) ? n : 0;
    }

    static std::size_t onHeader(char* bytes, std::size_t size, std::size_t count, void* data)
    {
        auto* running = static_cast<RunningCall*>(data);
        const std::string_view line(bytes, size * count);
        if (line.starts_with("HTTP/"))
            running->outcome.headers.clear();
        const auto colon = line.find(':');
        if (colon == std::string_view::npos)
            return line.size();
        std::string name(trimmed(line.substr(0, colon)));
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
        running->outcome.headers.push_back({ std::move(name), std::string(trimmed(line.substr(colon + 1))) });
        return line.size();
    }

    static int onSocket(CURL*, curl_socket_t socket, int what, void* data, void* socketData)
    {
        auto* self = static_cast<Private*>(data);
        auto* poll = static_cast<Poll*>(socketData);
        if (what == CURL_POLL_REMOVE) {
            if (poll)
                closePoll(poll);
            curl_multi_assign(self->m_multi, socket, nullptr);
            return 0;
        }
        if (!poll) {
            poll = self->openPoll(socket);
            curl_multi_assign(self->m_multi, socket, poll);
        }
        const int events = (what & CURL_POLL_IN ? UV_READABLE : 0) | (what & CURL_POLL_OUT ? UV_WRITABLE : 0);
        uv_poll_start(&poll->handle, events, onPoll);
        return 0;
    }

    Poll* openPoll(curl_socket_t socket)
    {
        auto* poll = new Poll;
        poll->socket = socket;
        uv_poll_init_socket(m_loop.handle(), &poll->handle, socket);
        poll->handle.data = this;
        return poll;
    }

    static void closePoll(Poll* poll)
    {
        uv_poll_stop(&poll->handle);
        poll->handle.data = poll;
        uv_close(reinterpret_cast<uv_handle_t*>(&poll->handle), [](uv_handle_t* it) { delete static_cast<Poll*>(it->data); });
    }

    static void onPoll(uv_poll_t* handle, int status, int events)
    {
        auto* self = static_cast<Private*>(handle->data);
        const auto socket = reinterpret_cast<Poll*>(handle)->socket;
        int flags = status < 0 ? CURL_CSELECT_ERR : 0;
        flags |= events & UV_READABLE ? CURL_CSELECT_IN : 0;
        flags |= events & UV_WRITABLE ? CURL_CSELECT_OUT : 0;
        self->performSocketAction(socket, flags);
    }

    static int onTimer(CURLM*, long delay, void* data)
    {
        auto* self = static_cast<Private*>(data);
        self->m_loop.cancel(self->m_timer);
        self->m_timer = 0;
        if (delay >= 0)
            self->m_timer = self->m_loop.after(std::chrono::milliseconds(delay), [self] { self->performSocketAction(CURL_SOCKET_TIMEOUT, 0); });
        return 0;
    }

    void performSocketAction(curl_socket_t socket, int flags)
    {
        int stillRunning = 0;
        curl_multi_socket_action(m_multi, socket, flags, &stillRunning);
        int left = 0;
        while (m_multi) {
            CURLMsg* message = curl_multi_info_read(m_multi, &left);
            if (!message)
                break;
            if (message->msg != CURLMSG_DONE)
                continue;
            RunningCall* running = nullptr;
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &running);
            finish(*running, endOf(*running, message->data.result));
        }
    }

    static HttpEnd endOf(const RunningCall& running, CURLcode code)
    {
        if (code == CURLE_OK)
            return HttpEnd::Answered;
        long requestBytes = 0;
        curl_easy_getinfo(running.easy, CURLINFO_REQUEST_SIZE, &requestBytes);
        return requestBytes ? HttpEnd::Broken : HttpEnd::NotSent;
    }

    void finish(RunningCall& running, HttpEnd end)
    {
        long status = 0;
        curl_easy_getinfo(running.easy, CURLINFO_RESPONSE_CODE, &status);
        curl_multi_remove_handle(m_multi, running.easy);
        const auto owned = std::move(m_running[running.id]);
        m_running.erase(running.id);
        owned->outcome.end = end;
        owned->outcome.status = static_cast<int>(status);
        owned->callback(std::move(owned->outcome));
    }

    void cleanUp()
    {
        if (!m_multi)
            return;
        curl_multi_cleanup(m_multi);
        m_multi = nullptr;
        m_loop.cancel(m_timer);
    }

    EventLoop& m_loop;
    CURLM* m_multi = nullptr;
    EventLoop::TimerId m_timer = 0;
    CallId m_lastCall = 0;
    std::map<CallId, std::unique_ptr<RunningCall>> m_running;
};

CurlClient::CurlClient(EventLoop& loop)
    : m_private(std::make_unique<Private>(loop))
{
}

CurlClient::~CurlClient() = default;

std::unique_ptr<CurlClient> CurlClient::create(EventLoop& loop)
{
    return std::unique_ptr<CurlClient>(new CurlClient(loop));
}

CurlClient::CallId CurlClient::start(HttpCall call, HttpCallback callback, HttpDataCallback dataCallback)
{
    return m_private->start(std::move(call), std::move(callback), std::move(dataCallback));
}

void CurlClient::cancel(CallId id)
{
    m_private->cancel(id);
}

void CurlClient::shutdown()
{
    m_private->shutdown();
}

} // namespace Adapters
