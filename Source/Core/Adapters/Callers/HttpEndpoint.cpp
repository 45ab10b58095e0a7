#include "Adapters/Callers/HttpEndpoint.h"

#include "Ports/PortError.h"

#include <array>
#include <atomic>
#include <csignal>
#include <mutex>
#include <pistache/endpoint.h>
#include <pistache/peer.h>
#include <unordered_map>
#include <utility>

namespace Adapters {
namespace {

    namespace Http = Pistache::Http;
    using Pistache::Tcp::Peer;

    constexpr const char* connectionKey = "marigold-connection";
    /// Allowance for the request line and headers on top of the largest body.
    constexpr std::size_t headerAllowanceBytes = 65536;
    constexpr int listenBacklog = 1024;
    /// The library measures idle time from the last request, even while that request is waiting for its answer.
    constexpr std::chrono::milliseconds keepAliveMargin = std::chrono::minutes(1);

    /// Unanswered requests by handle, in shards with a lock each. No other lock is acquired while one of these is held.
    class RequestTable {
    public:
        Ports::CallerHandle add(std::shared_ptr<Connection> connection)
        {
            const auto handle = ++m_lastHandle;
            auto& shard = shardOf(handle);
            const std::lock_guard lock(shard.mutex);
            shard.connections.emplace(handle, std::move(connection));
            ++m_size;
            return handle;
        }

        /// Removes the request and returns its connection; null if it was removed before.
        std::shared_ptr<Connection> take(Ports::CallerHandle handle)
        {
            auto& shard = shardOf(handle);
            const std::lock_guard lock(shard.mutex);
            auto node = shard.connections.extract(handle);
            if (node.empty())
                return nullptr;
            --m_size;
            return std::move(node.mapped());
        }

        std::size_t size() const { return m_size; }

    private:
        struct Shard {
            std::mutex mutex;
            std::unordered_map<Ports::CallerHandle, std::shared_ptr<Connection>> connections;
        };

        static constexpr std::size_t shardCount = 16;

        Shard& shardOf(Ports::CallerHandle handle) { return m_shards[handle % shardCount]; }

        std::array<Shard, shardCount> m_shards;
        std::atomic<Ports::CallerHandle> m_lastHandle { 0 };
        std::atomic<std::size_t> m_size { 0 };
    };

    /// State shared by the handlers of all threads.
    struct Shared {
        HttpEndpoint::Hooks hooks;
        CallerGuards guards;
        RequestTable requests;
        std::atomic<bool> closeAfterReply { false };
    };

    /// Pistache makes one copy for each of its threads.
    class Handler final : public Http::Handler {
        HTTP_PROTOTYPE(Handler)

    public:
        explicit Handler(std::shared_ptr<Shared> shared)
            : m_shared(std::move(shared))
        {
        }

        void onRequest(const Http::Request& request, Http::ResponseWriter writer) override
        {
            const auto peer = writer.getPeer();
            if (!peer)
                return;
            const auto connection = connectionOf(*peer);
            // The timeouts only apply to reading: without this, the library closes connections that are waiting for an answer.
            peer->setIdle(true);
            prepareKeepAlive(request, writer);
            const auto handle = m_shared->requests.add(connection);
            connection->addRequest(handle, std::move(writer));
            m_shared->hooks.request(handle, request);
        }

        void onDisconnection(const std::shared_ptr<Peer>& peer) override
        {
            const auto connection = std::static_pointer_cast<Connection>(peer->tryGetData(connectionKey));
            if (!connection)
                return;
            const auto unanswered = connection->close();
            // The library addresses writes by descriptor. Flush those still queued (they may fail) before the descriptor
            // is closed and reused for another caller.
            if (connection->mayHaveQueuedWrites())
                transport()->flush();
            for (const auto handle : unanswered) {
                if (m_shared->requests.take(handle) && m_shared->hooks.disconnected)
                    m_shared->hooks.disconnected(handle);
            }
        }

    private:
        std::shared_ptr<Connection> connectionOf(Peer& peer) const
        {
            auto data = peer.tryGetData(connectionKey);
            if (!data) {
                data = std::make_shared<Connection>(m_shared->guards);
                peer.putData(connectionKey, data);
            }
            return std::static_pointer_cast<Connection>(data);
        }

        /// HTTP/1.1 connections are persistent by default, but the library closes them by default.
        void prepareKeepAlive(const Http::Request& request, Http::ResponseWriter& writer) const
        {
            using Http::Header::Connection;
            const auto header = request.headers().tryGet<Connection>();
            if (m_shared->closeAfterReply || request.version() != Http::Version::Http11 || (header && header->control() == Http::ConnectionControl::Close))
                return;
            writer.headers().remove<Connection>();
            writer.headers().add<Connection>(Http::ConnectionControl::KeepAlive);
        }

        std::shared_ptr<Shared> m_shared;
    };

} // namespace

class HttpEndpoint::Private {
public:
    Private(HttpEndpointSettings settings, Hooks hooks, CallerGuards guards)
        : m_settings(std::move(settings))
    {
        m_shared->hooks = std::move(hooks);
        m_shared->guards = guards;
    }

    void start()
    {
        std::signal(SIGPIPE, SIG_IGN);
        try {
            m_endpoint = std::make_unique<Http::Endpoint>(Pistache::Address(m_settings.listenAddress));
            m_endpoint->init(Http::Endpoint::options()
                                 .threads(static_cast<int>(m_settings.threads))
                                 .flags(Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay)
                                 .backlog(listenBacklog)
                                 .maxRequestSize(m_settings.maximumBodyBytes + headerAllowanceBytes)
                                 .headerTimeout(m_settings.readTimeout)
                                 .bodyTimeout(m_settings.readTimeout)
                                 .keepaliveTimeout(m_settings.maximumReplyDelay + keepAliveMargin));
            m_endpoint->setHandler(std::make_shared<Handler>(m_shared));
            m_endpoint->serveThreaded();
        } catch (const std::exception& ex) {
            m_endpoint.reset();
            throw Ports::PortError("callers at " + m_settings.listenAddress + ": " + ex.what());
        }
    }

    void stop()
    {
        if (m_endpoint)
            m_endpoint->shutdown();
        m_endpoint.reset();
    }

    Shared& shared() { return *m_shared; }

private:
    HttpEndpointSettings m_settings;
    std::shared_ptr<Shared> m_shared = std::make_shared<Shared>();
    std::unique_ptr<Http::Endpoint> m_endpoint;
};

HttpEndpoint::HttpEndpoint(HttpEndpointSettings settings, Hooks hooks, CallerGuards guards)
    : m_impl(std::make_unique<Private>(std::move(settings), std::move(hooks), guards))
{
}

HttpEndpoint::~HttpEndpoint() { stop(); }

void HttpEndpoint::start() { m_impl->start(); }

void HttpEndpoint::reply(Ports::CallerHandle handle, Reply reply)
{
    if (const auto connection = m_impl->shared().requests.take(handle))
        connection->reply(handle, std::move(reply));
}

std::size_t HttpEndpoint::unanswered() const { return m_impl->shared().requests.size(); }

void HttpEndpoint::closeAfterAnswers() { m_impl->shared().closeAfterReply = true; }

void HttpEndpoint::stop() { m_impl->stop(); }

} // namespace Adapters
