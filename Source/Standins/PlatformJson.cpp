#include "Standins/PlatformJson.h"

#include "Adapters/Platform/Base64.h"
#include "Common/CompactJson.h"
#include "Common/Rendezvous.h"
#include "Standins/StandinJson.h"

namespace Standins {

using Ports::PlatformReply;

namespace {

    std::string bytesOf(const Json::Value& value)
    {
        return value.isString() ? Adapters::decodeBase64(value.asString()).value_or("") : std::string();
    }

} // namespace

Json::Value headerOf(std::int64_t revision)
{
    Json::Value header;
    header["revision"] = std::to_string(revision);
    return header;
}

Json::Value pairJson(const Ports::KeyValue& pair)
{
    Json::Value value;
    value["key"] = Adapters::encodeBase64(pair.key);
    value["mod_revision"] = std::to_string(pair.modRevision);
    if (!pair.value.empty())
        value["value"] = Adapters::encodeBase64(pair.value);
    return value;
}

Json::Value leaseJson(const PlatformReply& reply)
{
    Json::Value value;
    value["header"] = headerOf(reply.revision);
    value["ID"] = std::to_string(reply.lease);
    // Like etcd's JSON mapping, omits zero values.
    if (reply.timeToLive.count())
        value["TTL"] = std::to_string(reply.timeToLive.count());
    return value;
}

std::string watchLine(std::int64_t revision, const std::vector<Ports::WatchEvent>& events)
{
    Json::Value line;
    line["result"]["header"] = headerOf(revision);
    for (const auto& it : events) {
        Json::Value event;
        if (it.deleted)
            event["type"] = "DELETE";
        event["kv"] = pairJson(it.pair);
        line["result"]["events"].append(event);
    }
    return Common::compactJson(line) + "\n";
}

std::string watchStateLine(std::int64_t revision, const char* state)
{
    Json::Value line;
    line["result"]["header"] = headerOf(revision);
    line["result"][state] = true;
    return Common::compactJson(line) + "\n";
}

Ports::Transaction transactionOf(const Json::Value& body)
{
    Ports::Transaction transaction;
    for (const auto& it : body["compare"])
        transaction.compares.push_back({ bytesOf(it["key"]), jsonNumber(it["mod_revision"]) });
    for (const auto& it : body["success"]) {
        if (const auto& put = it["request_put"]; put.isObject())
            transaction.puts.push_back({ bytesOf(put["key"]), bytesOf(put["value"]), jsonNumber(put["lease"]) });
        if (const auto& removal = it["request_delete_range"]; removal.isObject())
            transaction.deletes.push_back(bytesOf(removal["key"]));
    }
    return transaction;
}

/// Ranges are only supported as a single key or a prefix, so that `range_end` needs no decoding. A zero byte is the empty prefix.
std::string prefixOf(const Json::Value& range)
{
    const std::string key = bytesOf(range["key"]);
    return key == std::string(1, '\0') ? std::string() : key;
}

Response errorResponse(int status, int code, const char* message)
{
    Json::Value value;
    value["code"] = code;
    value["message"] = message;
    return jsonResponse(value, status);
}

Json::Value hostListJson(const std::vector<Ports::ListedHost>& hosts)
{
    Json::Value value;
    value["hosts"] = Json::Value(Json::arrayValue);
    for (const auto& it : hosts) {
        Json::Value host;
        host["name"] = it.name;
        host["address"] = it.address;
        host["state"] = it.state == Ports::ListedHost::State::Leaving ? "leaving" : "live";
        host["incarnation"] = Json::UInt64(it.incarnation);
        if (!it.dataCentre.empty())
            host["dataCentre"] = it.dataCentre;
        value["hosts"].append(host);
    }
    return value;
}

Response hostListResponse(std::vector<Ports::ListedHost> hosts, const Request& request)
{
    static const std::string s_filter = "dataCentre=";
    if (request.query.starts_with(s_filter)) {
        const std::string wanted = request.query.substr(s_filter.size());
        std::erase_if(hosts, [&](const auto& it) { return !it.dataCentre.empty() && it.dataCentre != wanted; });
    }
    Response response = jsonResponse(hostListJson(hosts));
    const std::string tag = "\"" + std::to_string(Common::hash64(response.body)) + "\"";
    if (request.header("if-none-match") == tag)
        response = { notModified, {}, {} };
    response.headers.push_back({ "ETag", tag });
    return response;
}

std::optional<std::string> hostToReboot(const Request& request)
{
    static const std::string s_prefix = "/hosts/";
    static const std::string s_suffix = "/reboot";
    const std::string& path = request.path;
    if (request.method != "POST" || !path.starts_with(s_prefix) || !path.ends_with(s_suffix) || path.size() <= s_prefix.size() + s_suffix.size())
        return std::nullopt;
    return path.substr(s_prefix.size(), path.size() - s_prefix.size() - s_suffix.size());
}

std::optional<std::vector<Ports::ListedHost>> hostListOf(const Json::Value& value)
{
    std::vector<Ports::ListedHost> hosts;
    if (!value["hosts"].isArray())
        return std::nullopt;
    for (const auto& it : value["hosts"]) {
        if (!it.isObject() || !it["name"].isString() || !it["address"].isString())
            return std::nullopt;
        const auto state = it["state"] == "leaving" ? Ports::ListedHost::State::Leaving : Ports::ListedHost::State::Live;
        const std::uint64_t incarnation = it["incarnation"].isUInt64() ? it["incarnation"].asUInt64() : 1;
        const std::string dataCentre = it["dataCentre"].isString() ? it["dataCentre"].asString() : "";
        hosts.push_back({ it["name"].asString(), it["address"].asString(), state, incarnation, dataCentre });
    }
    return hosts;
}

} // namespace Standins
