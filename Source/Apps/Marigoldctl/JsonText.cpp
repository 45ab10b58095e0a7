#include "JsonText.h"

#include <array>
#include <ctime>
#include <json/writer.h>

namespace Ctl {

namespace {

    const char* typeName(Objects::ChangeType type)
    {
        if (type == Objects::ChangeType::Added)
            return "added";
        return type == Objects::ChangeType::Removed ? "removed" : "changed";
    }

    template<typename T>
    Json::Value listOf(const std::vector<T>& items, Json::Value (*convert)(const T&))
    {
        Json::Value list(Json::arrayValue);
        for (const auto& item : items)
            list.append(convert(item));
        return list;
    }

    Json::Value fieldJson(const Objects::FieldChange& change)
    {
        Json::Value value;
        value["field"] = change.field;
        value["old"] = change.oldValue;
        value["new"] = change.newValue;
        return value;
    }

    Json::Value changeJson(const Objects::ObjectChange& change)
    {
        Json::Value value;
        value["type"] = typeName(change.type);
        value["kind"] = std::string(Objects::kindName(change.kind));
        value["name"] = change.name;
        value["fields"] = listOf<Objects::FieldChange>(change.fields, fieldJson);
        return value;
    }

    Json::Value errorJson(const Objects::ObjectError& error)
    {
        Json::Value value;
        value["document"] = error.document;
        value["line"] = error.line;
        value["object"] = error.object;
        value["field"] = error.field;
        value["message"] = error.message;
        value["accepted"] = error.accepted;
        return value;
    }

    Json::Value hostJson(const HostRevision& host)
    {
        Json::Value value;
        value["dataCentre"] = host.dataCentre;
        value["host"] = host.host;
        value["revision"] = Json::UInt64(host.revision);
        value["ready"] = host.ready;
        return value;
    }

    Json::Value assignmentJson(const UpstreamAssignment& assignment)
    {
        Json::Value value;
        value["upstream"] = assignment.upstream;
        value["pool"] = assignment.pool;
        value["state"] = assignment.state;
        value["target"] = assignment.target;
        value["pinned"] = assignment.pinned;
        return value;
    }

    Json::Value entryJson(const AuditEntry& entry)
    {
        Json::Value value;
        value["when"] = timeText(entry.when);
        value["who"] = entry.who;
        value["what"] = entry.what;
        value["why"] = entry.why;
        value["revision"] = Json::UInt64(entry.revision);
        value["host"] = entry.host;
        return value;
    }

    Json::Value waveJson(const WaveStatus& wave)
    {
        Json::Value value;
        value["name"] = wave.name;
        value["state"] = wave.state;
        value["hostsDone"] = Json::UInt64(wave.hostsDone);
        value["hostsTotal"] = Json::UInt64(wave.hostsTotal);
        value["forecastEnd"] = wave.forecastEnd;
        return value;
    }

} // namespace

Json::Value toJson(const std::vector<std::string>& items)
{
    Json::Value list(Json::arrayValue);
    for (const auto& item : items)
        list.append(item);
    return list;
}

Json::Value toJson(const std::vector<Objects::ObjectChange>& changes) { return listOf<Objects::ObjectChange>(changes, changeJson); }

Json::Value toJson(const std::vector<Objects::ObjectError>& errors) { return listOf<Objects::ObjectError>(errors, errorJson); }

Json::Value toJson(const FleetStatus& status)
{
    Json::Value value;
    value["host"] = status.host;
    value["dataCentre"] = status.dataCentre;
    value["ready"] = status.ready;
    value["notReadyBecause"] = toJson(status.notReadyBecause);
    value["viewEpoch"] = Json::UInt64(status.viewEpoch);
    value["members"] = toJson(status.members);
    value["alive"] = toJson(status.alive);
    value["revision"] = Json::UInt64(status.revision);
    value["highestKnownRevision"] = Json::UInt64(status.highestKnownRevision);
    value["inForce"] = listOf<HostRevision>(status.inForce, hostJson);
    value["alarms"] = toJson(status.alarms);
    value["auditWaiting"] = Json::UInt64(status.auditWaiting);
    return value;
}

Json::Value toJson(const std::vector<UpstreamAssignment>& assignments) { return listOf<UpstreamAssignment>(assignments, assignmentJson); }

Json::Value toJson(const std::vector<AuditEntry>& entries) { return listOf<AuditEntry>(entries, entryJson); }

Json::Value toJson(const std::vector<WaveStatus>& waves) { return listOf<WaveStatus>(waves, waveJson); }

std::string jsonText(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "  ";
    return Json::writeString(builder, value) + "\n";
}

std::string timeText(Common::WallTime when)
{
    const std::time_t seconds = std::chrono::system_clock::to_time_t(when);
    std::tm parts {};
    std::array<char, 32> buf {};
    if (!gmtime_r(&seconds, &parts) || !std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", &parts))
        return "unknown";
    return buf.data();
}

} // namespace Ctl
