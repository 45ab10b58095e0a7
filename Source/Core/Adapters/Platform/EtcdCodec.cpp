#include "Adapters/Platform/EtcdCodec.h"

#include "Adapters/Platform/Base64.h"
#include "Common/CompactJson.h"

#include <charconv>
#include <json/json.h>

namespace Adapters::EtcdCodec {

using Ports::PlatformReply;
using Ports::PlatformStatus;

namespace {

    constexpr int notFoundCode = 5; ///< gRPC status code NOT_FOUND.

    /// The mapping encodes 64-bit numbers as strings and may omit zeros.
    std::optional<std::int64_t> numberOf(const Json::Value& value)
    {
        if (value.isNull())
            return 0;
        if (value.isInt64())
            return value.asInt64();
        if (!value.isString())
            return std::nullopt;
        const std::string text = value.asString();
        std::int64_t n = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
        if (ec != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return n;
    }

    std::optional<std::string> bytesOf(const Json::Value& value)
    {
        if (value.isNull())
            return std::string();
        return value.isString() ? decodeBase64(value.asString()) : std::nullopt;
    }

    std::optional<Ports::KeyValue> pairOf(const Json::Value& value)
    {
        if (!value.isObject())
            return std::nullopt;
        auto key = bytesOf(value["key"]);
        auto bytes = bytesOf(value["value"]);
        const auto modRevision = numberOf(value["mod_revision"]);
        if (!key || !bytes || !modRevision)
            return std::nullopt;
        return Ports::KeyValue { std::move(*key), std::move(*bytes), *modRevision };
    }

    /// Creates a reply from the header that all responses contain.
    std::optional<PlatformReply> replyOf(const Json::Value& value)
    {
        if (!value.isObject() || !value["header"].isObject())
            return std::nullopt;
        const auto revision = numberOf(value["header"]["revision"]);
        if (!revision)
            return std::nullopt;
        PlatformReply reply;
        reply.status = PlatformStatus::Ok;
        reply.revision = *revision;
        return reply;
    }

    std::optional<PlatformReply> leaseReplyOf(const Json::Value& value)
    {
        auto reply = replyOf(value);
        if (!reply)
            return std::nullopt;
        const auto id = numberOf(value["ID"]);
        const auto timeToLive = numberOf(value["TTL"]);
        if (!id || !timeToLive)
            return std::nullopt;
        reply->lease = *id;
        reply->timeToLive = std::chrono::seconds(*timeToLive);
        return reply;
    }

    Json::Value encodeRangeFields(const std::string& key, bool prefix)
    {
        Json::Value value;
        // A range over all keys must start at a zero byte, not at an empty key.
        value["key"] = encodeBase64(key.empty() ? std::string(1, '\0') : key);
        if (prefix)
            value["range_end"] = encodeBase64(rangeEndOf(key));
        return value;
    }

    bool appendEvents(const Json::Value& events, WatchLine& line)
    {
        if (events.isNull())
            return true;
        if (!events.isArray())
            return false;
        for (const auto& it : events) {
            const auto pair = it.isObject() ? pairOf(it["kv"]) : std::nullopt;
            if (!pair)
                return false;
            line.events.push_back({ *pair, it["type"] == "DELETE" });
        }
        return true;
    }

} // namespace

std::string rangeEndOf(const std::string& prefix)
{
    std::string end = prefix;
    while (!end.empty() && static_cast<unsigned char>(end.back()) == 0xff)
        end.pop_back();
    if (end.empty())
        return std::string(1, '\0');
    ++end.back();
    return end;
}

std::string encodeRange(const std::string& key, bool prefix)
{
    return Common::compactJson(encodeRangeFields(key, prefix));
}

std::string encodeTransaction(const Ports::Transaction& transaction)
{
    Json::Value value(Json::objectValue);
    for (const auto& it : transaction.compares) {
        Json::Value compare;
        compare["key"] = encodeBase64(it.key);
        compare["target"] = "MOD";
        compare["result"] = "EQUAL";
        compare["mod_revision"] = std::to_string(it.modRevision);
        value["compare"].append(compare);
    }
    for (const auto& it : transaction.puts) {
        Json::Value put;
        put["key"] = encodeBase64(it.key);
        put["value"] = encodeBase64(it.value);
        if (it.lease)
            put["lease"] = std::to_string(it.lease);
        Json::Value operation;
        operation["request_put"] = put;
        value["success"].append(operation);
    }
    for (const auto& it : transaction.deletes) {
        Json::Value operation;
        operation["request_delete_range"]["key"] = encodeBase64(it);
        value["success"].append(operation);
    }
    return Common::compactJson(value);
}

std::string encodeGrant(std::chrono::seconds timeToLive)
{
    Json::Value value;
    value["TTL"] = std::to_string(timeToLive.count());
    return Common::compactJson(value);
}

std::string encodeLease(Ports::LeaseId id)
{
    Json::Value value;
    value["ID"] = std::to_string(id);
    return Common::compactJson(value);
}

std::string encodeWatch(const std::string& prefix, std::int64_t fromRevision)
{
    Json::Value value;
    value["create_request"] = encodeRangeFields(prefix, true);
    if (fromRevision)
        value["create_request"]["start_revision"] = std::to_string(fromRevision);
    return Common::compactJson(value);
}

std::optional<PlatformReply> decodeRange(std::string_view text)
{
    const auto value = Common::parseJsonObject(text);
    auto reply = value ? replyOf(*value) : std::nullopt;
    if (!reply)
        return std::nullopt;
    const Json::Value& pairs = (*value)["kvs"];
    if (!pairs.isNull() && !pairs.isArray())
        return std::nullopt;
    for (const auto& it : pairs) {
        auto pair = pairOf(it);
        if (!pair)
            return std::nullopt;
        reply->values.push_back(std::move(*pair));
    }
    return reply;
}

std::optional<PlatformReply> decodeTransaction(std::string_view text)
{
    const auto value = Common::parseJsonObject(text);
    auto reply = value ? replyOf(*value) : std::nullopt;
    if (!reply)
        return std::nullopt;
    const Json::Value& succeeded = (*value)["succeeded"];
    if (!succeeded.isNull() && !succeeded.isBool())
        return std::nullopt;
    if (succeeded.isNull() || !succeeded.asBool())
        reply->status = PlatformStatus::ComparesFailed;
    return reply;
}

std::optional<PlatformReply> decodeGrant(std::string_view text)
{
    const auto value = Common::parseJsonObject(text);
    return value ? leaseReplyOf(*value) : std::nullopt;
}

std::optional<PlatformReply> decodeRenewal(std::string_view text)
{
    // Renewal is a streaming call, whose responses are wrapped in "result".
    const auto value = Common::parseJsonObject(text);
    return value ? leaseReplyOf((*value)["result"]) : std::nullopt;
}

std::optional<PlatformReply> decodeRevocation(std::string_view text)
{
    const auto value = Common::parseJsonObject(text);
    return value ? replyOf(*value) : std::nullopt;
}

std::optional<WatchLine> decodeWatchLine(std::string_view text)
{
    const auto value = Common::parseJsonObject(text);
    if (!value)
        return std::nullopt;
    WatchLine line;
    const Json::Value& result = (*value)["result"];
    if (!result.isObject()) {
        line.cancelled = true;
        return line;
    }
    line.created = result["created"].isBool() && result["created"].asBool();
    line.cancelled = result["canceled"].isBool() && result["canceled"].asBool();
    if (!appendEvents(result["events"], line))
        return std::nullopt;
    return line;
}

bool isLeaseNotFound(std::string_view errorBody)
{
    const auto value = Common::parseJsonObject(errorBody);
    return value && (*value)["code"].isInt() && (*value)["code"].asInt() == notFoundCode;
}

std::optional<std::vector<Ports::ListedHost>> decodeHostList(std::string_view text)
{
    const auto value = Common::parseJsonObject(text);
    if (!value || !(*value)["hosts"].isArray())
        return std::nullopt;
    std::vector<Ports::ListedHost> hosts;
    for (const auto& it : (*value)["hosts"]) {
        if (!it.isObject() || !it["name"].isString() || !it["address"].isString() || !it["state"].isString())
            return std::nullopt;
        const auto state = it["state"] == "leaving" ? Ports::ListedHost::State::Leaving : Ports::ListedHost::State::Live;
        const std::uint64_t incarnation = it["incarnation"].isUInt64() ? it["incarnation"].asUInt64() : 0;
        const std::string dataCentre = it["dataCentre"].isString() ? it["dataCentre"].asString() : "";
        hosts.push_back({ it["name"].asString(), it["address"].asString(), state, incarnation, dataCentre });
    }
    return hosts;
}

} // namespace Adapters::EtcdCodec
