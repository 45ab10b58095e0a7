#include "Adapters/Platform/KeepAliveClient.h"

#include "Adapters/Platform/KeepAliveConnection.h"

#include <algorithm>
#include <deque>
#include <list>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <uv.h>

namespace Adapters {

namespace {

    constexpr std::uint64_t timerLatenessMs = 5; ///< Later than this, a timer shows that the loop is busy; less is its usual jitter.
    constexpr std::string_view scheme = "http://";

    /// Splits "http://address/path" into views of its address and path.
    std::pair<std::string_view, std::string_view> splitUrl(std::string_view url)
    {
        if (url.starts_with(scheme))
            url.remove_prefix(scheme.size());
        const auto slash = url.find('/');
        if (slash == std::string_view::npos)
            return { url, "/" };
        return { url.substr(0, slash), url.substr(slash) };
    }

    std::string requestText(const HttpCall& call, std::string_view address, std::string_view path)
    {
        constexpr std::size_t usualHead = 256;
        std::string text;
        text.reserve(usualHead + path.size() + call.body.size());
        text.append(call.method).append(" ").append(path).append(" HTTP/1.1\r\nHost: ").append(address).append("\r\n");
        for (const auto& it : call.headers)
            text.append(it.name).append(": ").append(it.value).append("\r\n");
        if (!call.body.empty() || call.method == "POST")
            text.append("Content-Length: ").append(std::to_string(call.body.size())).append("\r\n");
        return text.append("\r\n").append(call.body);
    }

} // namespace

class KeepAliveClient::Private final : public KeepAliveConnection::Owner {
public:
    Private(EventLoop& loop, const ConnectionLimits& limits)
        : m_loop(loop)
        , m_limits(limits)
        , m_timer(new uv_timer_t)
    {
        uv_timer_init(m_loop.handle(), m_timer);
        m_timer->data = this;
    }

    CallId start(const HttpCall& call, HttpCallback callback)
    {
        if (!m_timer) {
            callback({ HttpEnd::NotSent, 0, {}, {} });
            return 0;
        }
        const auto [address, path] = splitUrl(call.url);
        const auto id = ++m_lastCall;
        auto& running = m_calls[id];
        running.address = address;
        running.request = requestText(call, address, path);
        running.callback = std::move(callback);
        const auto limit = static_cast<std::uint64_t>(std::max<std::int64_t>(0, call.timeout.count()));
        running.idleTimeout = call.isIdleTimeout ? limit : 0;
        if (limit > 0)
            setDeadline(id, running, uv_now(m_loop.handle()) + limit);
        assign(id, running);
        return id;
    }

    void cancel(CallId id) { abort(id); }

    void shutdown()
    {
        if (!m_timer)
            return;
        while (!m_calls.empty())
            abort(m_calls.begin()->first);
        for (auto* it : m_idleByAge)
            it->close();
        m_idleByAge.clear();
        m_servers.clear();
        uv_close(reinterpret_cast<uv_handle_t*>(std::exchange(m_timer, nullptr)), [](uv_handle_t* it) { delete reinterpret_cast<uv_timer_t*>(it); });
    }

private:
    struct RunningCall {
        std::string address;
        std::string request; ///< Empty once passed to the connection.
        HttpCallback callback;
        KeepAliveConnection* connection = nullptr; ///< Null while the call waits for one, and after it has failed.
        bool mayHaveBeenSent = false; ///< Of a connection that has failed.
        std::uint64_t deadline = 0; ///< By the loop's clock, in milliseconds; zero for none.
        std::uint64_t idleTimeout = 0; ///< Milliseconds from one part of the answer to the next; zero for none.
    };

    struct Server {
        std::vector<KeepAliveConnection*> idle; ///< Reused last in, first out.
        std::size_t open = 0; ///< Including idle ones.
        std::deque<CallId> waiting;
    };

    /// Assigns an idle or new connection to a call, or queues the call if the server has no free one.
    void assign(CallId id, RunningCall& running)
    {
        auto& server = m_servers[running.address];
        if (!server.idle.empty()) {
            auto* connection = server.idle.back();
            server.idle.pop_back();
            m_idleByAge.erase(connection->idlePosition);
            attach(id, running, *connection);
            connection->send(std::exchange(running.request, {}));
            return;
        }
        if (server.open >= m_limits.connectionsPerServer) {
            server.waiting.push_back(id);
            return;
        }
        auto* connection = KeepAliveConnection::connect(m_loop.handle(), *this, running.address, m_limits.peerTimeout);
        if (!connection) {
            m_loop.post([this, id] { end(id, HttpEnd::NotSent, 0, {}); });
            return;
        }
        ++server.open;
        attach(id, running, *connection);
    }

    static void attach(CallId id, RunningCall& running, KeepAliveConnection& connection)
    {
        running.connection = &connection;
        connection.call = id;
    }

    void onConnectionOpened(KeepAliveConnection& connection) override
    {
        auto& running = m_calls.at(connection.call);
        if (isExpired(running))
            abort(connection.call);
        else
            connection.send(std::exchange(running.request, {}));
    }

    /// After a pause of the process the loop may handle the events of connections before its timers. What the caller was allowed to
    /// send when it made the call, it may no longer send then.
    bool isExpired(const RunningCall& running) const
    {
        uv_update_time(m_loop.handle());
        return running.deadline > 0 && uv_now(m_loop.handle()) >= running.deadline;
    }

    void onAnswerProgress(KeepAliveConnection& connection) override
    {
        auto& running = m_calls.at(connection.call);
        if (running.idleTimeout == 0)
            return;
        m_deadlines.erase({ running.deadline, connection.call });
        setDeadline(connection.call, running, uv_now(m_loop.handle()) + running.idleTimeout);
    }

    void onAnswer(KeepAliveConnection& connection, bool isReusable) override
    {
        const auto id = std::exchange(connection.call, 0);
        const int status = connection.status;
        auto body = std::exchange(connection.body, {});
        if (isReusable) {
            release(connection);
        } else {
            connection.close();
            onConnectionClosed(connection.address());
        }
        end(id, HttpEnd::Answered, status, std::move(body));
    }

    void onConnectionLost(KeepAliveConnection& connection) override
    {
        const auto id = std::exchange(connection.call, 0);
        const bool mayHaveBeenSent = connection.mayHaveBeenSent();
        if (id == 0) {
            removeIdle(connection);
            return;
        }
        onConnectionClosed(connection.address());
        // The connection is freed before the task below runs, and the call may be aborted in between.
        auto& running = m_calls.at(id);
        running.connection = nullptr;
        running.mayHaveBeenSent = mayHaveBeenSent;
        // Deferred, so that the callback doesn't run inside the caller's start().
        m_loop.post([this, id] { abort(id); });
    }

    /// Passes a free connection to the call that has been waiting longest, or keeps it idle.
    void release(KeepAliveConnection& connection)
    {
        auto& server = m_servers[connection.address()];
        while (!server.waiting.empty()) {
            const auto id = server.waiting.front();
            server.waiting.pop_front();
            auto& running = m_calls.at(id);
            if (isExpired(running)) {
                m_loop.post([this, id] { abort(id); });
                continue;
            }
            attach(id, running, connection);
            connection.send(std::exchange(running.request, {}));
            return;
        }
        server.idle.push_back(&connection);
        connection.idlePosition = m_idleByAge.insert(m_idleByAge.end(), &connection);
        // The connection that was just used is the most likely one to be used again.
        if (m_idleByAge.size() > m_limits.idleConnections) {
            auto& oldest = *m_idleByAge.front();
            oldest.close();
            removeIdle(oldest);
        }
    }

    /// After an idle connection has closed.
    void removeIdle(KeepAliveConnection& connection)
    {
        m_idleByAge.erase(connection.idlePosition);
        std::erase(m_servers.at(connection.address()).idle, &connection);
        onConnectionClosed(connection.address());
    }

    /// After a connection has closed: lets the next waiting call open another.
    void onConnectionClosed(const std::string& address)
    {
        const auto it = m_servers.find(address);
        if (it == m_servers.end())
            return;
        auto& server = it->second;
        --server.open;
        if (server.waiting.empty()) {
            if (server.open == 0)
                m_servers.erase(it);
            return;
        }
        const auto id = server.waiting.front();
        server.waiting.pop_front();
        assign(id, m_calls.at(id));
    }

    void abort(CallId id)
    {
        const auto it = m_calls.find(id);
        if (it == m_calls.end())
            return;
        auto* connection = it->second.connection;
        const bool mayHaveBeenSent = connection ? connection->mayHaveBeenSent() : it->second.mayHaveBeenSent;
        if (connection) {
            connection->call = 0;
            connection->close();
            onConnectionClosed(connection->address());
        } else if (const auto server = m_servers.find(it->second.address); server != m_servers.end()) {
            std::erase(server->second.waiting, id);
        }
        end(id, mayHaveBeenSent ? HttpEnd::Broken : HttpEnd::NotSent, 0, {});
    }

    void end(CallId id, HttpEnd httpEnd, int status, std::string body)
    {
        const auto it = m_calls.find(id);
        if (it == m_calls.end())
            return;
        const auto callback = std::move(it->second.callback);
        if (it->second.deadline > 0)
            m_deadlines.erase({ it->second.deadline, id });
        m_calls.erase(it);
        callback({ httpEnd, status, std::move(body), {} });
    }

    void setDeadline(CallId id, RunningCall& running, std::uint64_t deadline)
    {
        running.deadline = deadline;
        m_deadlines.insert({ deadline, id });
        if (deadline < m_timerDue)
            arm(deadline);
    }

    void arm(std::uint64_t deadline)
    {
        const auto now = uv_now(m_loop.handle());
        m_timerDue = deadline;
        uv_timer_start(m_timer, onTimer, deadline > now ? deadline - now : 0, 0);
    }

    static void onTimer(uv_timer_t* timer) { static_cast<Private*>(timer->data)->expire(); }

    void expire()
    {
        const auto now = uv_now(m_loop.handle());
        // A busy loop runs its timers late, and before it reads. Defer the expiry once, so that answers already received are read
        // first.
        if (now > m_timerDue + timerLatenessMs && !std::exchange(m_isExpiryDeferred, true)) {
            uv_timer_start(m_timer, onTimer, 0, 0);
            return;
        }
        m_isExpiryDeferred = false;
        m_timerDue = noDeadline;
        while (m_timer && !m_deadlines.empty() && m_deadlines.begin()->first <= now)
            abort(m_deadlines.begin()->second);
        if (m_timer && !m_deadlines.empty() && m_deadlines.begin()->first < m_timerDue)
            arm(m_deadlines.begin()->first);
    }

    static constexpr std::uint64_t noDeadline = ~std::uint64_t { 0 };

    EventLoop& m_loop;
    ConnectionLimits m_limits;
    uv_timer_t* m_timer; ///< Freed by its close callback; null after shutdown().
    std::uint64_t m_timerDue = noDeadline;
    bool m_isExpiryDeferred = false;
    CallId m_lastCall = 0;
    std::unordered_map<CallId, RunningCall> m_calls;
    std::set<std::pair<std::uint64_t, CallId>> m_deadlines;
    std::unordered_map<std::string, Server> m_servers;
    std::list<KeepAliveConnection*> m_idleByAge; ///< Idle connections to all servers, the one that was used longest ago first.
};

KeepAliveClient::KeepAliveClient(EventLoop& loop, const ConnectionLimits& limits)
    : m_private(std::make_unique<Private>(loop, limits))
{
}

KeepAliveClient::~KeepAliveClient() = default;

std::unique_ptr<KeepAliveClient> KeepAliveClient::create(EventLoop& loop, const ConnectionLimits& limits)
{
    return std::unique_ptr<KeepAliveClient>(new KeepAliveClient(loop, limits));
}

KeepAliveClient::CallId KeepAliveClient::start(const HttpCall& call, HttpCallback callback)
{
    return m_private->start(call, std::move(callback));
}

void KeepAliveClient::cancel(CallId id)
{
    m_private->cancel(id);
}

void KeepAliveClient::shutdown()
{
    m_private->shutdown();
}

} // namespace Adapters
