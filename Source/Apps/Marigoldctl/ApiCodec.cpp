#include "ApiCodec.h"

#include "Common/CompactJson.h"

#include <json/json.h>
#include <memory>
#include <sstream>

namespace Ctl {

namespace {

    Json::Value parse(const std::string& text, Json::ValueType type)
    {
        Json::CharReaderBuilder builder;
        builder["failIfExtra"] = true;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        Json::Value value;
        std::string errors;
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors))
            throw CodecError("the answer is not valid JSON: " + errors);
        if (value.type() != type)
            throw CodecError(type == Json::arrayValue ? "the answer is not a JSON array" : "the answer is not a JSON object");
        return value;
    }

    std::vector<std::string> strings(const Json::Value& list)
    {
        std::vector<std::string> items;
        for (const auto& item : list)
            items.push_back(item.asString());
        return items;
    }

    /// Turns the exceptions that jsoncpp throws for values of an unexpected type into CodecError.
    template<typename Function>
    auto guarded(Function&& function)
    {
        try {
            return function();
        } catch (const Json::Exception& e) {
            throw CodecError(std::string("the answer has a value of an unexpected type: ") + e.what());
        }
    }

    HostRevision hostRevision(const Json::Value& item)
    {
        if (!item.isObject())
            throw CodecError("an element of inForce is not a JSON object");
        return { item["dataCentre"].asString(), item["host"].asString(), item["revision"].asUInt64(), item["ready"].asBool() };
    }

    PublishOutcome outcomeOf(const std::string& name)
    {
        static const struct {
            const char* name;
            PublishOutcome outcome;
        } s_outcomes[] = {
            { "accepted", PublishOutcome::Accepted },
            { "conflict", PublishOutcome::Conflict },
            { "invalid", PublishOutcome::Invalid },
            { "unavailable", PublishOutcome::Unavailable },
            { "unsettled", PublishOutcome::Unsettled },
        };
        for (const auto& row : s_outcomes) {
            if (name == row.name)
                return row.outcome;
        }
        throw CodecError("unknown publication status: " + name);
    }

    AuditEntry auditEntry(const std::string& line)
    {
        const auto value = parse(line, Json::objectValue);
        const Common::WallTime when { std::chrono::milliseconds(value["when"].asInt64()) };
        return { when, value["who"].asString(), value["what"].asString(), value["why"].asString(), value["revision"].asUInt64(), value["host"].asString() };
    }

} // namespace

std::string encodePublish(const PublishRequest& request)
{
    Json::Value value;
    value["baseRevision"] = Json::UInt64(request.baseRevision);
    value["changeId"] = request.changeId;
    value["document"] = request.document;
    value["reason"] = request.reason;
    return Common::compactJson(value);
}

std::string encodeMove(const MoveRequest& request)
{
    Json::Value value;
    value["upstream"] = request.upstream;
    value["target"] = request.target;
    return Common::compactJson(value);
}

FleetStatus decodeStatus(const std::string& text)
{
    return guarded([&] {
        const auto value = parse(text, Json::objectValue);
        FleetStatus status;
        status.host = value["host"].asString();
        status.dataCentre = value["dataCentre"].asString();
        status.ready = value["ready"].asBool();
        status.notReadyBecause = strings(value["notReadyBecause"]);
        status.viewEpoch = value["viewEpoch"].asUInt64();
        status.members = strings(value["members"]);
        status.alive = strings(value["alive"]);
        status.revision = value["revision"].asUInt64();
        status.highestKnownRevision = value["highestKnownRevision"].asUInt64();
        for (const auto& item : value["inForce"])
            status.inForce.push_back(hostRevision(item));
        status.alarms = strings(value["alarms"]);
        status.auditWaiting = value["auditWaiting"].asUInt64();
        return status;
    });
}

std::vector<UpstreamAssignment> decodePools(const std::string& text)
{
    return guarded([&] {
        std::vector<UpstreamAssignment> assignments;
        for (const auto& item : parse(text, Json::arrayValue)) {
            if (!item.isObject())
                throw CodecError("an element of the answer is not a JSON object");
            assignments.push_back({ item["upstream"].asString(), item["pool"].asString(), item["state"].asString(), item["target"].asString(), item["pinned"].asBool() });
        }
        return assignments;
    });
}

Configuration decodeConfiguration(const std::string& text)
{
    return guarded([&] {
        const auto value = parse(text, Json::objectValue);
        if (!value["revision"].isUInt64() || !value["document"].isString())
            throw CodecError("the answer has no revision and document");
        return Configuration { value["revision"].asUInt64(), value["document"].asString() };
    });
}

PublishAnswer decodePublish(const std::string& text)
{
    return guarded([&] {
        const auto value = parse(text, Json::objectValue);
        PublishAnswer answer;
        answer.outcome = outcomeOf(value["status"].asString());
        answer.revision = value["revision"].asUInt64();
        answer.currentRevision = value["currentRevision"].asUInt64();
        answer.currentChangeId = value["currentChangeId"].asString();
        answer.currentAuthor = value["currentAuthor"].asString();
        answer.faults = strings(value["faults"]);
        return answer;
    });
}

std::vector<AuditEntry> decodeAudit(const std::string& text)
{
    return guarded([&] {
        std::vector<AuditEntry> entries;
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            if (!line.empty())
                entries.push_back(auditEntry(line));
        }
        return entries;
    });
}

std::vector<WaveStatus> decodeWaves(const std::string& text)
{
    return guarded([&] {
        std::vector<WaveStatus> waves;
        for (const auto& item : parse(text, Json::arrayValue)) {
            if (!item.isObject())
                throw CodecError("an element of the answer is not a JSON object");
            waves.push_back({ item["name"].asString(), item["state"].asString(), item["hostsDone"].asUInt64(), item["hostsTotal"].asUInt64(), item["forecastEnd"].asString() });
        }
        return waves;
    });
}

std::string decodeErrorMessage(const std::string& text)
{
    try {
        const auto value = parse(text, Json::objectValue);
        if (value["error"].isString())
            return value["error"].asString();
    } catch (const CodecError&) {
        return text;
    }
    return text;
}

} // namespace Ctl
