#include "Adapters/Upstreams/CurlUpstreams.h"

#include "Adapters/Upstreams/CurlLoop.h"

#include <chrono>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace Adapters {
namespace {

    constexpr std::chrono::milliseconds cancelTimeout { 2000 };

    std::size_t discard(char*, std::size_t size, std::size_t count, void*) { return size * count; }

    /// Asks an upstream to stop a request; the response is ignored. Freed when the transfer ends.
    CURL* makeCancelHandle(const Ports::UpstreamCall& call)
    {
        const std::string url = "http://" + call.address + "/run/" + call.requestId;
        CURL* handle = curl_easy_init();
        curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, "DELETE");
        curl_easy_setopt(handle, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(cancelTimeout.count()));
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &discard);
        return handle;
    }

} // namespace

class CurlUpstreams::Private {
public:
    Private(const Ports::UpstreamSettings& settings, UpstreamGuards guards)
        : m_settings(settings)
        , m_guards(guards)
    {
    }

    void start(Ports::UpstreamSink& sink)
    {
        m_sink = &sink;
        auto loop = CurlLoop::create(m_settings.connectionsPerUpstream, [this](CURL* handle, CURLcode code) { transferEnded(handle, code); });
        if (!loop)
            throw loop.error();
        m_loop = loop.take();
    }

    void dispatch(Ports::UpstreamCall call)
    {
        Ports::UpstreamResult notSent;
        notSent.attempt = call.attempt;
        notSent.end = Ports::AttemptEnd::NotSent;
        if (!m_loop->post([this, call = std::move(call)]() mutable { startAttempt(std::move(call)); }))
            m_sink->onAttemptEnded(notSent);
    }

    void cancel(Ports::AttemptId id)
    {
        m_loop->post([this, id] { cancelOnLoop(id); });
    }

    void stop()
    {
        if (m_loop)
            m_loop->stop([this] { abortAll(); });
    }

private:
    struct RunningAttempt {
        std::unique_ptr<Attempt> attempt;
        Common::Instant deadline;
    };

    void startAttempt(Ports::UpstreamCall call)
    {
        const auto id = call.attempt;
        auto attempt = std::make_unique<Attempt>(std::move(call), m_settings, m_guards);
        if (!m_loop->add(attempt->handle())) {
            m_sink->onAttemptEnded(attempt->resultOf(Ports::AttemptEnd::NotSent));
            return;
        }
        const auto deadline = Common::BootClock::now() + attempt->call().timeLeft;
        m_deadlines.emplace(deadline, id);
        m_attempts.emplace(id, RunningAttempt { std::move(attempt), deadline });
        if (m_deadlines.begin()->second == id)
            setDeadlineTimer();
    }

    /// libcurl doesn't time out transfers that are waiting for a free connection, so deadlines are enforced here.
    void setDeadlineTimer()
    {
        if (m_deadlines.empty())
            return;
        const auto delay = std::chrono::ceil<std::chrono::milliseconds>(m_deadlines.begin()->first - Common::BootClock::now());
        m_loop->setDeadlineTimer(delay, [this] { expireDue(); });
    }

    void expireDue()
    {
        const auto now = Common::BootClock::now();
        while (!m_deadlines.empty() && m_deadlines.begin()->first <= now)
            cancelOnLoop(m_deadlines.begin()->second);
        setDeadlineTimer();
    }

    std::unique_ptr<Attempt> take(Ports::AttemptId id)
    {
        auto node = m_attempts.extract(id);
        if (node.empty())
            return nullptr;
        m_deadlines.erase({ node.mapped().deadline, id });
        return std::move(node.mapped().attempt);
    }

    void transferEnded(CURL* handle, CURLcode code)
    {
        Attempt* attempt = nullptr;
        curl_easy_getinfo(handle, CURLINFO_PRIVATE, &attempt);
        if (!attempt) {
            m_cancels.erase(handle);
            curl_easy_cleanup(handle);
            return;
        }
        const auto owned = take(attempt->call().attempt);
        m_sink->onAttemptEnded(owned->finish(code));
    }

    void cancelOnLoop(Ports::AttemptId id)
    {
        const auto attempt = take(id);
        if (!attempt)
            return;
        m_loop->remove(attempt->handle());
        if (!attempt->mayHaveBeenSent()) {
            m_sink->onAttemptEnded(attempt->resultOf(Ports::AttemptEnd::Withdrawn));
            return;
        }
        sendCancel(attempt->call());
        m_sink->onAttemptEnded(attempt->resultOf(Ports::AttemptEnd::Cancelled));
    }

    void sendCancel(const Ports::UpstreamCall& call)
    {
        CURL* handle = makeCancelHandle(call);
        if (m_loop->add(handle))
            m_cancels.insert(handle);
        else
            curl_easy_cleanup(handle);
    }

    void abortAll()
    {
        for (CURL* handle : m_cancels) {
            m_loop->remove(handle);
            curl_easy_cleanup(handle);
        }
        m_cancels.clear();
        while (!m_attempts.empty()) {
            const auto attempt = take(m_attempts.begin()->first);
            m_loop->remove(attempt->handle());
            m_sink->onAttemptEnded(attempt->resultOf(attempt->mayHaveBeenSent() ? Ports::AttemptEnd::Lost : Ports::AttemptEnd::NotSent));
        }
    }

    Ports::UpstreamSettings m_settings;
    UpstreamGuards m_guards;
    Ports::UpstreamSink* m_sink = nullptr;
    // The tables are accessed on the loop's thread only.
    std::unordered_map<Ports::AttemptId, RunningAttempt> m_attempts;
    std::set<std::pair<Common::Instant, Ports::AttemptId>> m_deadlines;
    std::unordered_set<CURL*> m_cancels;
    std::unique_ptr<CurlLoop> m_loop;
};

CurlUpstreams::CurlUpstreams(std::unique_ptr<Private> impl)
    : m_impl(std::move(impl))
{
}

CurlUpstreams::~CurlUpstreams() { m_impl->stop(); }

Common::Result<std::unique_ptr<CurlUpstreams>, Ports::PortError> CurlUpstreams::create(const Ports::UpstreamSettings& settings, UpstreamGuards guards)
{
    if (settings.connectionsPerUpstream == 0)
        return Ports::PortError("connectionsPerUpstream must be at least 1");
    return std::unique_ptr<CurlUpstreams>(new CurlUpstreams(std::make_unique<Private>(settings, guards)));
}

void CurlUpstreams::start(Ports::UpstreamSink& sink) { m_impl->start(sink); }

void CurlUpstreams::dispatch(Ports::UpstreamCall call) { m_impl->dispatch(std::move(call)); }

void CurlUpstreams::cancel(Ports::AttemptId attempt) { m_impl->cancel(attempt); }

void CurlUpstreams::stop() { m_impl->stop(); }

namespace {

    const Ports::UpstreamPortRegistration registration("curl", [](const Ports::UpstreamSettings& settings) -> std::unique_ptr<Ports::UpstreamPort> {
        auto port = CurlUpstreams::create(settings);
        if (!port)
            throw port.error();
        return port.take();
    });

} // namespace

} // namespace Adapters
