#include "Platform.h"

#include "Adapters/Platform/Base64.h"
#include "Common/CompactJson.h"
#include "Standins/StandinJson.h"

#include <stdexcept>
#include <utility>

namespace Review {

using Standins::ExchangePtr;
using Standins::jsonResponse;

namespace {

    constexpr milliseconds expiryInterval { 20 };
    constexpr int hexadecimal = 16;

    std::string queryField(const std::string& query, const std::string& name)
    {
        const auto begin = ("&" + query).find("&" + name + "=");
        if (begin == std::string::npos)
            return {};
        const auto text = query.substr(begin + name.size() + 1);
        std::string decoded;
        for (std::size_t n = 0; n < text.size() && text[n] != '&'; ++n) {
            if (text[n] != '%' || n + 2 >= text.size()) {
                decoded += text[n];
                continue;
            }
            decoded += static_cast<char>(std::stoi(text.substr(n + 1, 2), nullptr, hexadecimal));
            n += 2;
        }
        return decoded;
    }

    Json::Value itemOf(const Ports::KeyValue& pair)
    {
        Json::Value item;
        item["key"] = pair.key;
        item["value"] = Adapters::encodeBase64(pair.value);
        item["revision"] = Json::Int64(pair.modRevision);
        return item;
    }

    /// A watch that waits for its first event.
    struct Watch {
        ExchangePtr exchange;
        Adapters::KeyValueStore::WatchId id = 0;
        Common::TaskLoop::TimerId timer = 0;
    };

} // namespace

Platform::Platform(Adapters::EventLoop& loop, Record& record, std::function<Json::Value()> listMachines)
    : m_loop(loop)
    , m_record(record)
    , m_listMachines(std::move(listMachines))
{
    const auto listen = [&loop](Standins::Handler handler) {
        auto server = Standins::HttpServer::create(loop, 0, std::move(handler));
        if (!server)
            throw std::runtime_error(server.error().what());
        return server.take();
    };
    m_store = listen([this](const ExchangePtr& it) { serveStore(it); });
    m_machines = listen([this](const ExchangePtr& it) { serveMachines(it); });
    expire();
}

std::string Platform::storeAddress() const { return "127.0.0.1:" + std::to_string(m_store->port()); }

std::string Platform::machinesAddress() const { return "127.0.0.1:" + std::to_string(m_machines->port()); }

Common::Instant Platform::now() const
{
    return (m_isDown ? m_downSince : m_loop.now()) - m_downTime;
}

void Platform::setDown(bool isDown)
{
    if (isDown == m_isDown)
        return;
    m_record.write(isDown ? "store down" : "store up");
    if (isDown)
        m_downSince = m_loop.now();
    else
        m_downTime += m_loop.now() - m_downSince;
    m_isDown = isDown;
}

void Platform::setDelay(milliseconds delay)
{
    m_record.write("store answers after " + std::to_string(delay.count()) + " ms");
    m_delay = delay;
}

void Platform::respond(const ExchangePtr& exchange, const Json::Value& body, int status)
{
    m_loop.after(m_delay, [exchange, response = jsonResponse(body, status)] { exchange->reply(response); });
}

void Platform::expire()
{
    if (!m_isDown)
        m_state.expireLeases(now());
    m_expiryTimer = m_loop.after(expiryInterval, [this] { expire(); });
}

void Platform::put(const std::string& key, const Json::Value& value)
{
    Ports::Transaction transaction;
    transaction.puts = { { key, Common::compactJson(value), 0 } };
    if (!m_isDown)
        m_state.transact(transaction, now());
}

void Platform::remove(const std::string& key)
{
    Ports::Transaction transaction;
    transaction.deletes = { key };
    if (!m_isDown)
        m_state.transact(transaction, now());
}

void Platform::shutdown()
{
    m_loop.cancel(m_expiryTimer);
    m_store->shutdown();
    m_machines->shutdown();
}

void Platform::serveStore(const ExchangePtr& exchange)
{
    if (m_isDown)
        return; // The call is lost.
    const auto& request = exchange->request();
    const auto body = Standins::parseJsonObject(request.body).value_or(Json::Value(Json::objectValue));
    if (request.path == "/-/kv-key")
        readKey(exchange);
    else if (request.path == "/-/kv-range")
        readRange(exchange);
    else if (request.path == "/-/kv-watch")
        watch(exchange);
    else if (request.path == "/-/kv-txn")
        transact(exchange, body);
    else
        callLease(exchange, body);
}

void Platform::serveMachines(const ExchangePtr& exchange)
{
    Json::Value body(Json::objectValue);
    if (exchange->request().path == "/-/machines")
        body["machines"] = m_listMachines();
    exchange->reply(jsonResponse(body, exchange->request().path == "/-/machines" ? 200 : 400));
}

void Platform::readKey(const ExchangePtr& exchange)
{
    const auto reply = m_state.read(queryField(exchange->request().query, "key"), false, now());
    Json::Value body(Json::objectValue);
    if (!reply.values.empty())
        body = itemOf(reply.values.front());
    body["currentRev"] = Json::Int64(m_state.revision());
    respond(exchange, body, reply.values.empty() ? 404 : 200);
}

void Platform::readRange(const ExchangePtr& exchange)
{
    constexpr unsigned pageItems = 500;
    const auto& query = exchange->request().query;
    const auto after = queryField(query, "after");
    Json::Value body;
    body["items"] = Json::Value(Json::arrayValue);
    body["hasMore"] = false;
    for (const auto& it : m_state.read(queryField(query, "prefix"), true, now()).values) {
        if (it.key <= after)
            continue;
        if (body["items"].size() >= pageItems) {
            body["hasMore"] = true;
            break;
        }
        body["items"].append(itemOf(it));
    }
    body["currentRev"] = Json::Int64(m_state.revision());
    respond(exchange, body);
}

void Platform::watch(const ExchangePtr& exchange)
{
    const auto& query = exchange->request().query;
    const auto waiting = std::make_shared<Watch>();
    waiting->exchange = exchange;
    const auto finish = [this, waiting](const std::vector<Ports::WatchEvent>& events) {
        const auto open = std::exchange(waiting->exchange, nullptr);
        if (!open)
            return;
        Json::Value body;
        body["events"] = Json::Value(Json::arrayValue);
        for (const auto& it : events) {
            auto item = itemOf(it.pair);
            if (it.deleted)
                item["deleted"] = true;
            body["events"].append(item);
        }
        body["currentRev"] = Json::Int64(events.empty() ? m_state.revision() : events.back().pair.modRevision);
        m_loop.cancel(waiting->timer);
        if (!m_isDown)
            respond(open, body);
        // Deferred: the store may be calling the watch right now.
        m_loop.post([this, waiting] { m_state.cancelWatch(waiting->id); });
    };
    const auto from = std::stoll("0" + queryField(query, "after")) + 1;
    const auto id = m_state.watch(queryField(query, "prefix"), from, finish);
    if (!id) {
        respond(exchange, Json::Value(Json::objectValue), 410);
        return;
    }
    waiting->id = *id;
    waiting->timer = m_loop.after(milliseconds(std::stoll("0" + queryField(query, "waitMs"))), [finish] { finish({}); });
}

void Platform::transact(const ExchangePtr& exchange, const Json::Value& body)
{
    Ports::Transaction transaction;
    for (const auto& it : body["expect"])
        transaction.compares.push_back({ it["key"].asString(), it["revision"].asInt64() });
    for (const auto& it : body["writes"])
        transaction.puts.push_back({ it["key"].asString(), Adapters::decodeBase64(it["value"].asString()).value_or(""), it["lease"].asInt64() });
    for (const auto& it : body["deletes"])
        transaction.deletes.push_back(it.asString());
    const auto verdict = m_state.check(transaction, now());
    const auto reply = m_state.transact(transaction, now());
    Json::Value result(Json::objectValue);
    if (verdict == Adapters::TransactionVerdict::Applies) {
        result["revision"] = Json::Int64(reply.revision);
        respond(exchange, result);
        return;
    }
    if (verdict == Adapters::TransactionVerdict::ComparesFailed) {
        result["items"] = Json::Value(Json::arrayValue);
        for (const auto& it : transaction.compares) {
            for (const auto& pair : m_state.read(it.key, false, now()).values)
                result["items"].append(itemOf(pair));
        }
    }
    respond(exchange, result, verdict == Adapters::TransactionVerdict::LeaseNotFound ? 404 : 412);
}

void Platform::callLease(const ExchangePtr& exchange, const Json::Value& body)
{
    const auto& path = exchange->request().path;
    const auto id = std::stoll("0" + path.substr(path.rfind('/') + 1));
    Ports::PlatformReply reply;
    if (path == "/-/kv-lease")
        reply = m_state.grantLease(std::chrono::ceil<std::chrono::seconds>(milliseconds(body["ttlMs"].asInt64())), now());
    else if (path.starts_with("/-/kv-keep/"))
        reply = m_state.renewLease(id, now());
    else
        reply = m_state.revokeLease(id, now());
    Json::Value result;
    result["lease"] = Json::Int64(path == "/-/kv-lease" ? reply.lease : id);
    result["ttlMs"] = Json::Int64(milliseconds(reply.timeToLive).count());
    respond(exchange, result, reply.timeToLive.count() > 0 ? 200 : 404);
}

} // namespace Review
