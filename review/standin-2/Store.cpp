#include "Store.h"

#include <algorithm>
#include <utility>

namespace Review {

namespace {

    constexpr milliseconds expiryInterval { 10 };
    constexpr std::size_t itemsPerPage = 500;
    constexpr const char* alphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    std::string encoded(const std::string& text)
    {
        std::string result;
        for (std::size_t n = 0; n < text.size(); n += 3) {
            unsigned group = 0;
            const auto count = std::min<std::size_t>(3, text.size() - n);
            for (std::size_t m = 0; m < 3; ++m)
                group = (group << 8U) | (m < count ? static_cast<unsigned char>(text[n + m]) : 0U);
            for (std::size_t m = 0; m < 4; ++m)
                result += m <= count ? alphabet[(group >> (18U - 6U * static_cast<unsigned>(m))) & 63U] : '=';
        }
        return result;
    }

    std::string decoded(const std::string& text)
    {
        std::string result;
        unsigned group = 0;
        unsigned bits = 0;
        for (const char c : text) {
            const auto* const at = std::find(alphabet, alphabet + 64, c);
            if (at == alphabet + 64)
                break;
            group = (group << 6U) | static_cast<unsigned>(at - alphabet);
            bits += 6;
            if (bits < 8)
                continue;
            bits -= 8;
            result += static_cast<char>((group >> bits) & 255U);
        }
        return result;
    }

    template<typename T>
    Json::Value itemOf(const std::string& key, const T& item)
    {
        Json::Value result;
        result["key"] = key;
        result["value"] = encoded(item.value);
        result["revision"] = Json::Int64(item.revision);
        result["created"] = Json::Int64(item.created);
        result["lease"] = Json::Int64(item.lease);
        return result;
    }

    std::int64_t numberOf(const std::string& text) { return std::stoll("0" + text); }

} // namespace

std::string compact(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value parsed(const std::string& text)
{
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value value;
    std::string errors;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors) || !value.isObject())
        return { Json::objectValue };
    return value;
}

Store::Store(unsigned hosts)
    : m_expiry([this] { expire(); })
{
    for (unsigned n = 0; n < hosts; ++n)
        m_servers.push_back(HttpServer::listen([this, n](const HttpRequest& it) { return serve(n, it); }));
}

Store::~Store()
{
    {
        const std::lock_guard lock(m_lock);
        m_isClosed = true;
    }
    m_changed.notify_all();
    m_expiry.join();
    for (const auto& it : m_servers)
        it->close();
}

void Store::setMode(unsigned host, StoreMode mode)
{
    const std::lock_guard lock(m_lock);
    m_modes[host] = mode;
    m_changed.notify_all();
}

void Store::put(const std::string& key, const Json::Value& value)
{
    const std::lock_guard lock(m_lock);
    ++m_revision;
    write(key, compact(value), 0);
}

void Store::remove(const std::string& key)
{
    const std::lock_guard lock(m_lock);
    ++m_revision;
    erase(key);
}

std::string Store::valueOf(const std::string& key)
{
    const std::lock_guard lock(m_lock);
    const auto it = m_items.find(key);
    return it == m_items.end() ? std::string() : it->second.value;
}

void Store::revokeLeasesOf(unsigned host)
{
    const std::lock_guard lock(m_lock);
    std::vector<std::int64_t> ended;
    for (const auto& [id, lease] : m_leases) {
        if (lease.host == host)
            ended.push_back(id);
    }
    for (const auto id : ended)
        dropLease(id);
}

void Store::write(const std::string& key, const std::string& value, std::int64_t lease)
{
    auto& item = m_items[key];
    item.created = item.created == 0 ? m_revision : item.created;
    item.value = value;
    item.revision = m_revision;
    item.lease = lease;
    m_history.push_back({ key, item });
    m_changed.notify_all();
}

void Store::erase(const std::string& key)
{
    const auto it = m_items.find(key);
    if (it == m_items.end())
        return;
    auto item = it->second;
    item.revision = m_revision;
    m_items.erase(it);
    m_history.push_back({ key, item, true });
    m_changed.notify_all();
}

void Store::dropLease(std::int64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    if (keys.empty())
        return;
    ++m_revision;
    for (const auto& it : keys)
        erase(it);
}

void Store::expire()
{
    std::unique_lock lock(m_lock);
    while (!m_isClosed) {
        std::vector<std::int64_t> ended;
        for (const auto& [id, lease] : m_leases) {
            if (lease.until <= std::chrono::steady_clock::now())
                ended.push_back(id);
        }
        for (const auto id : ended)
            dropLease(id);
        lock.unlock();
        std::this_thread::sleep_for(expiryInterval);
        lock.lock();
    }
}

HttpResult Store::serve(unsigned host, const HttpRequest& request)
{
    std::unique_lock lock(m_lock);
    const auto treatmentOf = [this, host]() -> std::optional<HttpResult> {
        const auto it = m_modes.find(host);
        const auto mode = it == m_modes.end() ? StoreMode::Serves : it->second;
        if (mode == StoreMode::Busy)
            return HttpResult { { 503, "{}" }, Treatment::Answer };
        if (mode == StoreMode::Serves)
            return std::nullopt;
        return HttpResult { {}, mode == StoreMode::Silent ? Treatment::Silence : Treatment::Reset };
    };
    if (auto refused = treatmentOf())
        return *refused;
    auto response = dispatch(host, request, lock);
    if (auto refused = treatmentOf()) // The mode may have changed while a watch waited.
        return *refused;
    return { std::move(response), Treatment::Answer };
}

HttpResponse Store::dispatch(unsigned host, const HttpRequest& request, std::unique_lock<std::mutex>& lock)
{
    const auto lastPart = [&request] { return numberOf(request.path.substr(request.path.rfind('/') + 1)); };
    if (request.path == "/-/kv-key")
        return readKey(request);
    if (request.path == "/-/kv-range")
        return readRange(request);
    if (request.path == "/-/kv-watch")
        return watch(host, request, lock);
    if (request.path == "/-/kv-txn")
        return transact(parsed(request.body));
    if (request.path == "/-/kv-lease")
        return grant(host, parsed(request.body));
    if (request.path.starts_with("/-/kv-keep/"))
        return keep(lastPart());
    if (request.path.starts_with("/-/kv-lease-end/"))
        return endLease(lastPart());
    return { 400, "{}" };
}

HttpResponse Store::readKey(const HttpRequest& request)
{
    const auto it = m_items.find(request.queryField("key"));
    Json::Value body = it == m_items.end() ? Json::Value(Json::objectValue) : itemOf(it->first, it->second);
    body["currentRev"] = Json::Int64(m_revision);
    return { it == m_items.end() ? 404 : 200, compact(body) };
}

HttpResponse Store::readRange(const HttpRequest& request)
{
    const auto prefix = request.queryField("prefix");
    const auto after = request.queryField("after");
    Json::Value body;
    body["items"] = Json::Value(Json::arrayValue);
    body["hasMore"] = false;
    for (const auto& [key, item] : m_items) {
        if (!key.starts_with(prefix) || (!after.empty() && key <= after))
            continue;
        if (body["items"].size() == itemsPerPage) {
            body["hasMore"] = true;
            break;
        }
        body["items"].append(itemOf(key, item));
    }
    body["currentRev"] = Json::Int64(m_revision);
    return { 200, compact(body) };
}

HttpResponse Store::watch(unsigned host, const HttpRequest& request, std::unique_lock<std::mutex>& lock)
{
    const auto prefix = request.queryField("prefix");
    const auto after = numberOf(request.queryField("after"));
    const auto until = std::chrono::steady_clock::now() + milliseconds(numberOf(request.queryField("waitMs")));
    Json::Value body;
    body["events"] = Json::Value(Json::arrayValue);
    std::size_t seen = 0;
    while (!m_isClosed) {
        for (; seen < m_history.size(); ++seen) {
            const auto& event = m_history[seen];
            if (event.item.revision <= after || !event.key.starts_with(prefix))
                continue;
            auto item = itemOf(event.key, event.item);
            if (event.isDeleted)
                item["deleted"] = true;
            body["events"].append(item);
        }
        const bool isTurnedAway = m_modes.contains(host) && m_modes.at(host) != StoreMode::Serves;
        if (!body["events"].empty() || isTurnedAway || m_changed.wait_until(lock, until) == std::cv_status::timeout)
            break;
    }
    body["currentRev"] = Json::Int64(m_revision);
    return { 200, compact(body) };
}

HttpResponse Store::transact(const Json::Value& body)
{
    Json::Value answer(Json::objectValue);
    for (const auto& it : body["expect"]) {
        const auto item = m_items.find(it["key"].asString());
        if ((item == m_items.end() ? 0 : item->second.revision) != it["revision"].asInt64())
            return { 412, compact(answer) };
    }
    for (const auto& it : body["writes"]) {
        const auto lease = it["lease"].asInt64();
        if (lease != 0 && !m_leases.contains(lease))
            return { 404, compact(answer) };
    }
    ++m_revision;
    for (const auto& it : body["writes"])
        write(it["key"].asString(), decoded(it["value"].asString()), it["lease"].asInt64());
    for (const auto& it : body["deletes"])
        erase(it.asString());
    answer["revision"] = Json::Int64(m_revision);
    return { 200, compact(answer) };
}

HttpResponse Store::grant(unsigned host, const Json::Value& body)
{
    const milliseconds length(body["ttlMs"].asInt64());
    m_leases[++m_lastLease] = { host, length, std::chrono::steady_clock::now() + length };
    Json::Value answer;
    answer["lease"] = Json::Int64(m_lastLease);
    answer["ttlMs"] = Json::Int64(length.count());
    return { 200, compact(answer) };
}

HttpResponse Store::keep(std::int64_t lease)
{
    const auto it = m_leases.find(lease);
    if (it == m_leases.end())
        return { 404, "{}" };
    it->second.until = std::chrono::steady_clock::now() + it->second.length;
    Json::Value answer;
    answer["lease"] = Json::Int64(lease);
    answer["ttlMs"] = Json::Int64(it->second.length.count());
    return { 200, compact(answer) };
}

HttpResponse Store::endLease(std::int64_t lease)
{
    dropLease(lease);
    return { 200, "{}" };
}

} // namespace Review
