#include "Adapters/Platform/EtcdPlatform.h"

#include "Adapters/Platform/CurlClient.h"
#include "Adapters/Platform/EtcdCodec.h"
#include "Adapters/Platform/EventLoop.h"

#include <optional>
#include <utility>

namespace Adapters {

using Ports::PlatformCallback;
using Ports::PlatformReply;
using Ports::PlatformStatus;

namespace {

    constexpr int firstClientError = 400;
    constexpr int firstServerError = 500;
    constexpr int statusOk = 200;
    constexpr int statusNotModified = 304;

    const Ports::PlatformPortRegistration registration("etcd",
        [](const Ports::PlatformSettings& settings) { return EtcdPlatform::create(settings); });

    /// Properties of a kind of call to the store.
    struct CallKind {
        const char* path;
        bool writes; ///< A call without an answer may have taken effect.
        bool idempotent; ///< Harmless if it reaches the store twice.
        std::optional<PlatformReply> (*decode)(std::string_view);
    };

    constexpr CallKind rangeKind { "/v3/kv/range", false, true, EtcdCodec::decodeRange };
    constexpr CallKind transactionKind { "/v3/kv/txn", true, false, EtcdCodec::decodeTransaction };
    constexpr CallKind grantKind { "/v3/lease/grant", true, false, EtcdCodec::decodeGrant };
    constexpr CallKind renewalKind { "/v3/lease/keepalive", true, true, EtcdCodec::decodeRenewal };
    constexpr CallKind revocationKind { "/v3/lease/revoke", true, true, EtcdCodec::decodeRevocation };

    PlatformReply replyWith(PlatformStatus status)
    {
        PlatformReply reply;
        reply.status = status;
        return reply;
    }

    PlatformReply replyOf(const CallKind& kind, const HttpOutcome& outcome)
    {
        const PlatformStatus lost = kind.writes ? PlatformStatus::Uncertain : PlatformStatus::NotSent;
        if (outcome.end == HttpEnd::NotSent)
            return replyWith(PlatformStatus::NotSent);
        if (outcome.end == HttpEnd::Broken || outcome.status >= firstServerError)
            return replyWith(lost);
        if (outcome.status >= firstClientError) {
            const bool lapsed = EtcdCodec::isLeaseNotFound(outcome.body);
            return replyWith(lapsed && kind.writes ? PlatformStatus::ComparesFailed : PlatformStatus::NotSent);
        }
        return kind.decode(outcome.body).value_or(replyWith(lost));
    }

    /// A running watch.
    struct Watch {
        Ports::WatchCallback callback;
        std::string buffer; ///< Incomplete last line.
        EventLoop::TimerId confirmTimer = 0;

        /// Passes the events of complete lines to the callback. Returns false when the watch has ended.
        bool processBytes(std::string_view bytes, EventLoop& loop)
        {
            buffer.append(bytes);
            std::size_t begin = 0;
            for (auto end = buffer.find('\n'); end != std::string::npos; end = buffer.find('\n', begin)) {
                const auto line = EtcdCodec::decodeWatchLine(std::string_view(buffer).substr(begin, end - begin));
                begin = end + 1;
                if (!line || line->cancelled)
                    return false;
                loop.cancel(confirmTimer);
                if (!line->events.empty())
                    callback(line->events, false);
            }
            buffer.erase(0, begin);
            return true;
        }
    };

} // namespace

class EtcdPlatform::Private {
public:
    Private(const Ports::PlatformSettings& settings, EtcdGuards guards)
        : m_settings(settings)
        , m_guards(guards)
        , m_loop(EventLoop::create())
        , m_client(CurlClient::create(*m_loop))
    {
    }

    void call(const CallKind& kind, std::string body, PlatformCallback callback)
    {
        m_loop->post([this, &kind, body = std::move(body), callback = std::move(callback)]() mutable {
            HttpCall call = post(kind.path, std::move(body));
            call.timeout = m_settings.callTimeout;
            call.freshConnection = !kind.idempotent && m_guards.freshConnectionForWrites;
            m_client->start(std::move(call), [&kind, callback = std::move(callback)](const HttpOutcome& outcome) {
                callback(kind.path == grantKind.path ? grantReplyOf(outcome) : replyOf(kind, outcome));
            });
        });
    }

    void watch(std::string body, Ports::WatchCallback callback)
    {
        m_loop->post([this, body = std::move(body), callback = std::move(callback)]() mutable {
            auto watch = std::make_shared<Watch>();
            watch->callback = std::move(callback);
            const auto id = m_client->start(
                post("/v3/watch", std::move(body)), [this, watch](const HttpOutcome&) { endWatch(*watch); },
                [this, watch](std::string_view bytes) { return watch->processBytes(bytes, *m_loop); });
            watch->confirmTimer = m_loop->after(m_settings.callTimeout, [this, id] { m_client->cancel(id); });
        });
    }

    void readHostList(Ports::HostListCallback callback)
    {
        m_loop->post([this, callback = std::move(callback)]() mutable {
            HttpCall call;
            call.url = "http://" + m_settings.hostListAddress + "/hosts";
            if (!m_settings.dataCentre.empty())
                call.url += "?dataCentre=" + m_settings.dataCentre;
            if (!m_hostListTag.empty())
                call.headers.push_back({ "If-None-Match", m_hostListTag });
            call.timeout = m_settings.callTimeout;
            call.connectTimeout = m_settings.callTimeout;
            m_client->start(std::move(call), [this, callback = std::move(callback)](const HttpOutcome& outcome) {
                const bool known = updateHostList(outcome);
                callback(known ? PlatformStatus::Ok : PlatformStatus::NotSent, known ? m_hostList : std::vector<Ports::ListedHost>());
            });
        });
    }

    void rebootHost(const std::string& name, std::uint64_t incarnation, Ports::PlatformCallback callback)
    {
        m_loop->post([this, name, incarnation, callback = std::move(callback)]() mutable {
            HttpCall call;
            call.method = "POST";
            call.url = "http://" + m_settings.hostListAddress + "/hosts/" + name + "/reboot";
            call.body = "{\"incarnation\":" + std::to_string(incarnation) + "}";
            call.timeout = m_settings.callTimeout;
            call.connectTimeout = m_settings.callTimeout;
            call.freshConnection = true;
            m_client->start(std::move(call), [callback = std::move(callback)](const HttpOutcome& outcome) {
                Ports::PlatformReply reply;
                if (outcome.end == HttpEnd::Answered)
                    reply.status = outcome.status == statusOk ? PlatformStatus::Ok : PlatformStatus::ComparesFailed;
                else
                    reply.status = outcome.end == HttpEnd::NotSent ? PlatformStatus::NotSent : PlatformStatus::Uncertain;
                callback(std::move(reply));
            });
        });
    }

    void stop()
    {
        m_loop->post([this] {
            m_stopping = true;
            m_client->shutdown();
        });
        m_loop->stop();
    }

    const Ports::PlatformSettings m_settings;
    const EtcdGuards m_guards;
    std::unique_ptr<EventLoop> m_loop;
    std::unique_ptr<CurlClient> m_client;

private:
    HttpCall post(const char* path, std::string body) const
    {
        HttpCall call;
        call.method = "POST";
        call.url = "http://" + m_settings.keyValueAddress + path;
        call.headers.push_back({ "Content-Type", "application/json" });
        call.body = std::move(body);
        call.connectTimeout = m_settings.callTimeout;
        return call;
    }

    /// A grant without a lease id is Uncertain.
    static PlatformReply grantReplyOf(const HttpOutcome& outcome)
    {
        PlatformReply reply = replyOf(grantKind, outcome);
        if (reply.status == PlatformStatus::Ok && !reply.lease)
            return replyWith(PlatformStatus::Uncertain);
        return reply;
    }

    /// Caches the list of a complete answer. Returns true if the cached list is current. By a conditional request
    /// (RFC 9110, 13.1.2), the platform sends the list only if it has changed.
    bool updateHostList(const HttpOutcome& outcome)
    {
        if (outcome.end != HttpEnd::Answered)
            return false;
        if (outcome.status == statusNotModified)
            return !m_hostListTag.empty();
        auto hosts = outcome.status == statusOk ? EtcdCodec::decodeHostList(outcome.body) : std::nullopt;
        if (!hosts)
            return false;
        m_hostList = std::move(*hosts);
        m_hostListTag = outcome.header("etag");
        return true;
    }

    void endWatch(Watch& watch)
    {
        m_loop->cancel(watch.confirmTimer);
        if (!m_stopping)
            watch.callback({}, true);
    }

    // Accessed on the loop's thread only.
    bool m_stopping = false;
    std::vector<Ports::ListedHost> m_hostList; ///< Of the last complete answer.
    std::string m_hostListTag; ///< Entity tag of that answer; empty if it had none.
};

EtcdPlatform::EtcdPlatform(const Ports::PlatformSettings& settings, EtcdGuards guards)
    : m_private(std::make_unique<Private>(settings, guards))
{
}

EtcdPlatform::~EtcdPlatform()
{
    stop();
}

std::unique_ptr<EtcdPlatform> EtcdPlatform::create(const Ports::PlatformSettings& settings, EtcdGuards guards)
{
    return std::unique_ptr<EtcdPlatform>(new EtcdPlatform(settings, guards));
}

void EtcdPlatform::start()
{
    m_private->m_loop->start();
}

void EtcdPlatform::stop()
{
    m_private->stop();
}

void EtcdPlatform::read(const std::string& key, bool prefix, PlatformCallback callback)
{
    m_private->call(rangeKind, EtcdCodec::encodeRange(key, prefix), std::move(callback));
}

void EtcdPlatform::transact(Ports::Transaction transaction, PlatformCallback callback)
{
    m_private->call(transactionKind, EtcdCodec::encodeTransaction(transaction), std::move(callback));
}

void EtcdPlatform::grantLease(std::chrono::seconds timeToLive, PlatformCallback callback)
{
    m_private->call(grantKind, EtcdCodec::encodeGrant(timeToLive), std::move(callback));
}

void EtcdPlatform::renewLease(Ports::LeaseId id, PlatformCallback callback)
{
    m_private->call(renewalKind, EtcdCodec::encodeLease(id), std::move(callback));
}

void EtcdPlatform::revokeLease(Ports::LeaseId id, PlatformCallback callback)
{
    m_private->call(revocationKind, EtcdCodec::encodeLease(id), std::move(callback));
}

void EtcdPlatform::watch(const std::string& prefix, std::int64_t fromRevision, Ports::WatchCallback callback)
{
    m_private->watch(EtcdCodec::encodeWatch(prefix, fromRevision), std::move(callback));
}

void EtcdPlatform::rebootHost(const std::string& name, std::uint64_t incarnation, Ports::PlatformCallback callback)
{
    m_private->rebootHost(name, incarnation, std::move(callback));
}

void EtcdPlatform::readHostList(Ports::HostListCallback callback)
{
    m_private->readHostList(std::move(callback));
}

} // namespace Adapters
