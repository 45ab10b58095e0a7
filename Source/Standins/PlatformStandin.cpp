#include "Standins/PlatformStandin.h"

#include "Adapters/Platform/KeyValueStore.h"
#include "Standins/HttpServer.h"
#include "Standins/PlatformJson.h"
#include "Standins/StandinJson.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace Standins {

using Common::BootClock;
using Ports::PlatformReply;

namespace {

    constexpr int badRequest = 400;
    constexpr int notFound = 404;
    constexpr int conflict = 409;
    constexpr std::chrono::milliseconds rebootTime { 1000 }; ///< How long a rebooting host is absent from the host list.
    constexpr int leaseNotFoundCode = 5; ///< gRPC status code NOT_FOUND.
    constexpr std::chrono::milliseconds expiryInterval { 100 };

    struct FaultName {
        const char* name;
        PlatformFaultMode mode;
    };

    constexpr FaultName faultNames[] = {
        { "up", PlatformFaultMode::Up },
        { "down", PlatformFaultMode::Down },
        { "slow", PlatformFaultMode::Slow },
        { "late-after-effect", PlatformFaultMode::LateAfterEffect },
    };

} // namespace

class PlatformStandin::Private {
public:
    explicit Private(Adapters::EventLoop& loop)
        : m_loop(loop)
    {
        expireLeases();
    }

    Common::Result<bool, StandinError> open(const PlatformStandinSettings& settings)
    {
        auto service = HttpServer::create(m_loop, settings.port, [this](const auto& it) { serve(it); });
        if (!service)
            return service.error();
        m_service = service.take();
        auto admin = HttpServer::create(m_loop, settings.adminPort, [this](const auto& it) { serveAdmin(it); });
        if (!admin)
            return admin.error();
        m_admin = admin.take();
        return true;
    }

    void setFault(const PlatformFault& fault)
    {
        m_loop.cancel(m_faultTimer);
        const bool wasDown = m_fault.mode == PlatformFaultMode::Down;
        const bool isDown = fault.mode == PlatformFaultMode::Down;
        m_fault = fault;
        if (isDown && !wasDown)
            m_service->shutdown();
        if (!isDown && wasDown)
            m_service->open();
        if (fault.length.count())
            m_faultTimer = m_loop.after(fault.length, [this] { setFault({}); });
    }

    void breakWatches()
    {
        const auto watches = std::exchange(m_watches, {});
        for (const auto& it : watches)
            it->drop();
    }

    PlatformCounters counters() const
    {
        PlatformCounters counters = m_counters;
        counters.waitingWatches = m_watches.size();
        return counters;
    }

    void shutdown()
    {
        if (m_service)
            m_service->shutdown();
        if (m_admin)
            m_admin->shutdown();
        m_loop.cancel(m_faultTimer);
        m_loop.cancel(m_expiryTimer);
    }

    Adapters::EventLoop& m_loop;
    std::unique_ptr<HttpServer> m_service;
    std::unique_ptr<HttpServer> m_admin;
    std::vector<Ports::ListedHost> m_hosts;

private:
    using Call = Response (Private::*)(const Json::Value&);

    struct Route {
        const char* path;
        Call call;
        bool writes;
        std::uint64_t PlatformCounters::*counter;
    };

    static const Route* routeOf(const std::string& path)
    {
        static constexpr Route s_routes[] = {
            { "/v3/kv/range", &Private::range, false, &PlatformCounters::ranges },
            { "/v3/kv/txn", &Private::transact, true, &PlatformCounters::transactions },
            { "/v3/lease/grant", &Private::grant, true, &PlatformCounters::leaseCalls },
            { "/v3/lease/keepalive", &Private::renew, true, &PlatformCounters::leaseCalls },
            { "/v3/lease/revoke", &Private::revoke, true, &PlatformCounters::leaseCalls },
        };
        const auto* it = std::find_if(std::begin(s_routes), std::end(s_routes), [&](const auto& it) { return path == it.path; });
        return it == std::end(s_routes) ? nullptr : it;
    }

    static bool isAdminRequest(const Request& request)
    {
        return request.path == "/fault" || request.path == "/counters" || (request.path == "/hosts" && request.method == "POST");
    }

    void serve(const ExchangePtr& exchange)
    {
        if (isAdminRequest(exchange->request())) {
            serveAdmin(exchange);
            return;
        }
        const bool slow = m_fault.mode == PlatformFaultMode::Slow;
        if (!slow) {
            handleRequest(exchange);
            return;
        }
        const auto delay = m_fault.delay;
        countFaultedCall();
        m_loop.after(delay, [this, exchange] { handleRequest(exchange); });
    }

    void handleRequest(const ExchangePtr& exchange)
    {
        const Request& request = exchange->request();
        if (request.path == "/hosts") {
            const Response response = hostListResponse(m_hosts, request);
            ++m_counters.hostLists;
            m_counters.hostListsUnchanged += response.status == notModified;
            exchange->reply(response);
            return;
        }
        if (const auto name = hostToReboot(request)) {
            exchange->reply({ reboot(*name, parseJsonObject(request.body)) ? 200 : conflict, {}, {} });
            return;
        }
        const auto body = parseJsonObject(request.body);
        const Route* route = routeOf(request.path);
        if (!body || (!route && request.path != "/v3/watch")) {
            exchange->reply(errorResponse(body ? notFound : badRequest, 0, "not supported by the stand-in"));
            return;
        }
        if (route)
            answer(exchange, *route, *body);
        else
            watch(exchange, (*body)["create_request"]);
    }

    /// Removes a host from the list and adds it with the next incarnation after rebootTime; false when its current incarnation isn't
    /// the requested one.
    bool reboot(const std::string& name, const std::optional<Json::Value>& body)
    {
        const auto it = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const auto& host) { return host.name == name; });
        if (it == m_hosts.end() || !body || !(*body)["incarnation"].isUInt64() || (*body)["incarnation"].asUInt64() != it->incarnation)
            return false;
        Ports::ListedHost host = *it;
        m_hosts.erase(it);
        ++host.incarnation;
        m_loop.after(rebootTime, [this, host] { m_hosts.push_back(host); });
        return true;
    }

    void answer(const ExchangePtr& exchange, const Route& route, const Json::Value& body)
    {
        ++(m_counters.*route.counter);
        const Response response = (this->*route.call)(body);
        if (m_fault.mode != PlatformFaultMode::LateAfterEffect || !route.writes) {
            exchange->reply(response);
            return;
        }
        const auto delay = m_fault.delay;
        countFaultedCall();
        if (delay.count())
            m_loop.after(delay, [exchange] { exchange->drop(); });
        else
            exchange->drop();
    }

    void countFaultedCall()
    {
        if (m_fault.calls && !--m_fault.calls)
            setFault({});
    }

    Response range(const Json::Value& body)
    {
        const PlatformReply reply = m_store.read(prefixOf(body), !body["range_end"].isNull(), BootClock::now());
        Json::Value value;
        value["header"] = headerOf(reply.revision);
        for (const auto& it : reply.values)
            value["kvs"].append(pairJson(it));
        if (!reply.values.empty())
            value["count"] = std::to_string(reply.values.size());
        return jsonResponse(value);
    }

    Response transact(const Json::Value& body)
    {
        const auto now = BootClock::now();
        const Ports::Transaction transaction = transactionOf(body);
        if (m_store.check(transaction, now) == Adapters::TransactionVerdict::LeaseNotFound)
            return errorResponse(notFound, leaseNotFoundCode, "etcdserver: requested lease not found");
        const PlatformReply reply = m_store.transact(transaction, now);
        Json::Value value;
        value["header"] = headerOf(reply.revision);
        if (reply.status == Ports::PlatformStatus::Ok)
            value["succeeded"] = true;
        return jsonResponse(value);
    }

    Response grant(const Json::Value& body)
    {
        return jsonResponse(leaseJson(m_store.grantLease(std::chrono::seconds(jsonNumber(body["TTL"])), BootClock::now())));
    }

    Response renew(const Json::Value& body)
    {
        Json::Value value;
        value["result"] = leaseJson(m_store.renewLease(jsonNumber(body["ID"]), BootClock::now()));
        return jsonResponse(value);
    }

    Response revoke(const Json::Value& body)
    {
        const PlatformReply reply = m_store.revokeLease(jsonNumber(body["ID"]), BootClock::now());
        Json::Value value;
        value["header"] = headerOf(reply.revision);
        return jsonResponse(value);
    }

    void watch(const ExchangePtr& exchange, const Json::Value& request)
    {
        ++m_counters.watches;
        exchange->beginStream();
        exchange->sendChunk(watchStateLine(m_store.revision(), "created"));
        const auto id = m_store.watch(prefixOf(request), jsonNumber(request["start_revision"]),
            [this, exchange](const auto& events) { exchange->sendChunk(watchLine(m_store.revision(), events)); });
        if (!id) {
            exchange->sendChunk(watchStateLine(m_store.revision(), "canceled"));
            exchange->drop();
            return;
        }
        m_watches.insert(exchange);
        exchange->onDisconnect([this, id = *id, exchange] {
            m_store.cancelWatch(id);
            m_watches.erase(exchange);
        });
    }

    void expireLeases()
    {
        m_store.expireLeases(BootClock::now());
        m_expiryTimer = m_loop.after(expiryInterval, [this] { expireLeases(); });
    }

    Json::Value countersJson() const
    {
        const PlatformCounters n = counters();
        Json::Value value;
        value["range"] = Json::UInt64(n.ranges);
        value["txn"] = Json::UInt64(n.transactions);
        value["lease"] = Json::UInt64(n.leaseCalls);
        value["watch"] = Json::UInt64(n.watches);
        value["hosts"] = Json::UInt64(n.hostLists);
        value["hostsUnchanged"] = Json::UInt64(n.hostListsUnchanged);
        value["waitingWatches"] = Json::UInt64(n.waitingWatches);
        return value;
    }

    void serveAdmin(const ExchangePtr& exchange)
    {
        const Request& request = exchange->request();
        if (request.method == "GET") {
            exchange->reply(request.path == "/counters" ? jsonResponse(countersJson())
                    : request.path == "/hosts"          ? jsonResponse(hostListJson(m_hosts))
                                                        : Response { notFound, {}, {} });
            return;
        }
        const auto body = parseJsonObject(request.body);
        const bool done = body && ((request.path == "/fault" && handleFault(*body)) || (request.path == "/hosts" && handleHosts(*body)));
        exchange->reply({ done ? 200 : badRequest, {}, {} });
    }

    bool handleFault(const Json::Value& body)
    {
        for (const auto& it : faultNames) {
            if (body["mode"] != it.name)
                continue;
            setFault({ it.mode, std::chrono::milliseconds(jsonNumber(body["delayMs"])),
                static_cast<std::uint64_t>(jsonNumber(body["calls"])), std::chrono::milliseconds(jsonNumber(body["forMs"])) });
            return true;
        }
        return false;
    }

    bool handleHosts(const Json::Value& body)
    {
        auto hosts = hostListOf(body);
        if (hosts)
            m_hosts = std::move(*hosts);
        return hosts.has_value();
    }

    Adapters::KeyValueStore m_store;
    PlatformFault m_fault;
    PlatformCounters m_counters;
    std::set<ExchangePtr> m_watches;
    Adapters::EventLoop::TimerId m_faultTimer = 0;
    Adapters::EventLoop::TimerId m_expiryTimer = 0;
};

PlatformStandin::PlatformStandin(std::unique_ptr<Private> state)
    : m_private(std::move(state))
{
}

PlatformStandin::~PlatformStandin() = default;

Common::Result<std::unique_ptr<PlatformStandin>, StandinError> PlatformStandin::create(
    Adapters::EventLoop& loop, const PlatformStandinSettings& settings)
{
    auto state = std::make_unique<Private>(loop);
    if (const auto opened = state->open(settings); !opened) {
        state->shutdown();
        return opened.error();
    }
    return std::unique_ptr<PlatformStandin>(new PlatformStandin(std::move(state)));
}

unsigned PlatformStandin::port() const
{
    return m_private->m_service->port();
}

unsigned PlatformStandin::adminPort() const
{
    return m_private->m_admin->port();
}

void PlatformStandin::setFault(const PlatformFault& fault)
{
    m_private->setFault(fault);
}

void PlatformStandin::setHosts(std::vector<Ports::ListedHost> hosts)
{
    m_private->m_hosts = std::move(hosts);
}

void PlatformStandin::breakWatches()
{
    m_private->breakWatches();
}

PlatformCounters PlatformStandin::counters() const
{
    return m_private->counters();
}

void PlatformStandin::shutdown()
{
    m_private->shutdown();
}

} // namespace Standins
