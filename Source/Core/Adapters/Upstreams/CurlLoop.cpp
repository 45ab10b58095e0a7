#include "Adapters/Upstreams/CurlLoop.h"

#include <algorithm>
#include <mutex>
#include <thread>
#include <utility>
#include <uv.h>
#include <vector>

namespace Adapters {
namespace {

    constexpr long maximumIdleConnections = 1024;

    /// A socket watched for libcurl; freed by libuv's close callback.
    struct SocketWatch {
        uv_poll_t poll {};
        curl_socket_t socket = CURL_SOCKET_BAD;
        void* loop = nullptr;
    };

} // namespace

class CurlLoop::Private {
public:
    Private(unsigned connectionsPerHost, Finished finished)
        : m_finished(std::move(finished))
        , m_multi(curl_multi_init())
    {
        uv_loop_init(&m_loop);
        uv_timer_init(&m_loop, &m_curlTimer);
        uv_timer_init(&m_loop, &m_deadlineTimer);
        uv_async_init(&m_loop, &m_wake, &Private::onWake);
        m_curlTimer.data = this;
        m_deadlineTimer.data = this;
        m_wake.data = this;
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &Private::onSocket);
        curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &Private::onTimerChange);
        curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(m_multi, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(connectionsPerHost));
        curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, maximumIdleConnections);
        m_thread = std::thread([this] { uv_run(&m_loop, UV_RUN_DEFAULT); });
    }

    ~Private()
    {
        stop({});
    }

    bool post(Task task)
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            return false;
        m_tasks.push_back(std::move(task));
        uv_async_send(&m_wake);
        return true;
    }

    void stop(Task last)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_stopping)
                return;
            m_stopping = true;
            if (last)
                m_tasks.push_back(std::move(last));
            uv_async_send(&m_wake);
        }
        m_thread.join();
        uv_loop_close(&m_loop);
    }

    void setDeadlineTimer(std::chrono::milliseconds delay, Task task)
    {
        m_deadlineTask = std::move(task);
        // libuv doesn't advance its cached time during callbacks.
        uv_update_time(&m_loop);
        uv_timer_start(&m_deadlineTimer, &Private::onDeadline, static_cast<std::uint64_t>(std::max<std::int64_t>(0, delay.count())), 0);
    }

    CURLM* multi() { return m_multi; }

private:
    static int onSocket(CURL*, curl_socket_t socket, int action, void* user, void* attached)
    {
        auto* self = static_cast<Private*>(user);
        auto* watch = static_cast<SocketWatch*>(attached);
        if (action == CURL_POLL_REMOVE) {
            self->unwatch(watch);
            return 0;
        }
        if (!watch)
            watch = self->watch(socket);
        const int events = ((action & CURL_POLL_IN) ? UV_READABLE : 0) | ((action & CURL_POLL_OUT) ? UV_WRITABLE : 0);
        uv_poll_start(&watch->poll, events, &Private::onReady);
        return 0;
    }

    SocketWatch* watch(curl_socket_t socket)
    {
        auto* watch = new SocketWatch;
        watch->socket = socket;
        watch->loop = this;
        watch->poll.data = watch;
        uv_poll_init_socket(&m_loop, &watch->poll, socket);
        curl_multi_assign(m_multi, socket, watch);
        return watch;
    }

    void unwatch(SocketWatch* watch)
    {
        if (!watch)
            return;
        uv_poll_stop(&watch->poll);
        curl_multi_assign(m_multi, watch->socket, nullptr);
        uv_close(reinterpret_cast<uv_handle_t*>(&watch->poll), [](uv_handle_t* handle) { delete static_cast<SocketWatch*>(handle->data); });
    }

    static void onReady(uv_poll_t* poll, int status, int events)
    {
        const auto* watch = static_cast<SocketWatch*>(poll->data);
        auto* self = static_cast<Private*>(watch->loop);
        int mask = status < 0 ? CURL_CSELECT_ERR : 0;
        mask |= (events & UV_READABLE) ? CURL_CSELECT_IN : 0;
        mask |= (events & UV_WRITABLE) ? CURL_CSELECT_OUT : 0;
        self->performSocketAction(watch->socket, mask);
    }

    static int onTimerChange(CURLM*, long milliseconds, void* user)
    {
        auto* self = static_cast<Private*>(user);
        if (milliseconds < 0) {
            uv_timer_stop(&self->m_curlTimer);
            return 0;
        }
        // libcurl must not be called from its own callback, so a timeout of zero also goes through the loop.
        uv_timer_start(&self->m_curlTimer, &Private::onTimer, static_cast<std::uint64_t>(milliseconds), 0);
        return 0;
    }

    static void onDeadline(uv_timer_t* timer)
    {
        const auto task = std::move(static_cast<Private*>(timer->data)->m_deadlineTask);
        task();
    }

    static void onTimer(uv_timer_t* timer) { static_cast<Private*>(timer->data)->performSocketAction(CURL_SOCKET_TIMEOUT, 0); }

    void performSocketAction(curl_socket_t socket, int mask)
    {
        int running = 0;
        curl_multi_socket_action(m_multi, socket, mask, &running);
        reportFinished();
    }

    void reportFinished()
    {
        int left = 0;
        while (CURLMsg* message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            CURL* handle = message->easy_handle;
            const CURLcode code = message->data.result;
            curl_multi_remove_handle(m_multi, handle);
            m_finished(handle, code);
        }
    }

    static void onWake(uv_async_t* wake) { static_cast<Private*>(wake->data)->runTasks(); }

    void runTasks()
    {
        std::vector<Task> tasks;
        bool stopping = false;
        {
            const std::lock_guard lock(m_mutex);
            tasks.swap(m_tasks);
            stopping = m_stopping;
        }
        for (const auto& task : tasks)
            task();
        if (stopping)
            closeAll();
    }

    void closeAll()
    {
        curl_multi_cleanup(m_multi);
        uv_close(reinterpret_cast<uv_handle_t*>(&m_curlTimer), nullptr);
        uv_close(reinterpret_cast<uv_handle_t*>(&m_deadlineTimer), nullptr);
        uv_close(reinterpret_cast<uv_handle_t*>(&m_wake), nullptr);
    }

    Finished m_finished;
    CURLM* m_multi;
    uv_loop_t m_loop {};
    uv_timer_t m_curlTimer {};
    uv_timer_t m_deadlineTimer {};
    Task m_deadlineTask;
    uv_async_t m_wake {};
    std::mutex m_mutex; // Guards m_tasks and m_stopping; no other lock is acquired while it is held.
    std::vector<Task> m_tasks;
    bool m_stopping = false;
    std::thread m_thread;
};

CurlLoop::CurlLoop(std::unique_ptr<Private> impl)
    : m_impl(std::move(impl))
{
}

CurlLoop::~CurlLoop() = default;

Common::Result<std::unique_ptr<CurlLoop>, Ports::PortError> CurlLoop::create(unsigned connectionsPerHost, Finished finished)
{
    static const CURLcode s_initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (s_initialized != CURLE_OK)
        return Ports::PortError(std::string("libcurl: ") + curl_easy_strerror(s_initialized));
    return std::unique_ptr<CurlLoop>(new CurlLoop(std::make_unique<Private>(connectionsPerHost, std::move(finished))));
}

bool CurlLoop::post(Task task) { return m_impl->post(std::move(task)); }

bool CurlLoop::add(CURL* handle) { return curl_multi_add_handle(m_impl->multi(), handle) == CURLM_OK; }

void CurlLoop::remove(CURL* handle) { curl_multi_remove_handle(m_impl->multi(), handle); }

void CurlLoop::setDeadlineTimer(std::chrono::milliseconds delay, Task task) { m_impl->setDeadlineTimer(delay, std::move(task)); }

void CurlLoop::stop(Task last) { m_impl->stop(std::move(last)); }

} // namespace Adapters
