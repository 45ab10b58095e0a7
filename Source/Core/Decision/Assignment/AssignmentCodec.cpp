#include "Decision/Assignment/AssignmentCodec.h"

#include "Common/CompactJson.h"

#include <array>
#include <json/json.h>
#include <memory>
#include <optional>

namespace Decision {

namespace {

    constexpr std::array<const char*, 3> stateNames { "serving", "draining", "idle" };

    std::optional<AssignmentState> parseState(const std::string& name)
    {
        for (std::size_t i = 0; i < stateNames.size(); ++i) {
            if (name == stateNames[i])
                return static_cast<AssignmentState>(i);
        }
        return std::nullopt;
    }

    Json::Value encodeUpstream(const UpstreamAssignment& assignment)
    {
        Json::Value value(Json::objectValue);
        value["pool"] = assignment.pool;
        value["state"] = stateNames[static_cast<std::size_t>(assignment.state)];
        value["since"] = Json::UInt64(assignment.since);
        if (!assignment.target.empty())
            value["target"] = assignment.target;
        if (assignment.pinned)
            value["pinned"] = true;
        if (assignment.pinnedNext)
            value["pinnedNext"] = true;
        if (assignment.held)
            value["held"] = true;
        return value;
    }

    UpstreamAssignment decodeUpstream(const std::string& name, const Json::Value& value)
    {
        const std::optional<AssignmentState> state = parseState(value["state"].asString());
        if (!state)
            throw AssignmentError("upstream " + name + " has an unknown state");
        UpstreamAssignment assignment;
        assignment.pool = value["pool"].asString();
        assignment.target = value.get("target", "").asString();
        assignment.state = *state;
        assignment.since = value["since"].asUInt64();
        assignment.pinned = value.get("pinned", false).asBool();
        assignment.pinnedNext = value.get("pinnedNext", false).asBool();
        assignment.held = value.get("held", false).asBool();
        if (assignment.pool.empty())
            throw AssignmentError("upstream " + name + " has no pool");
        if (assignment.state != AssignmentState::Serving && assignment.target.empty())
            throw AssignmentError("upstream " + name + " is Draining or Idle but has no target pool");
        return assignment;
    }

    AssignmentRecord decodeRecord(const Json::Value& root)
    {
        AssignmentRecord record;
        record.version = root["version"].asUInt64();
        if (!record.version)
            throw AssignmentError("the assignment record has no version");
        const Json::Value& upstreams = root["upstreams"];
        for (const std::string& name : upstreams.getMemberNames())
            record.upstreams[name] = decodeUpstream(name, upstreams[name]);
        return record;
    }

    std::string processKey(const std::string& dataCentre, const char* kind, const std::string& host, std::uint64_t incarnation)
    {
        return assignmentPrefix(dataCentre) + kind + "/" + host + "/" + std::to_string(incarnation);
    }

} // namespace

std::string assignmentPrefix(const std::string& dataCentre)
{
    return "/marigold/assignments/" + dataCentre + "/";
}

std::string assignmentRecordKey(const std::string& dataCentre)
{
    return assignmentPrefix(dataCentre) + "record";
}

std::string assignmentMemberKey(const std::string& dataCentre, const std::string& host, std::uint64_t incarnation)
{
    return processKey(dataCentre, "members", host, incarnation);
}

std::string assignmentLeaseKey(const std::string& dataCentre, const std::string& host, std::uint64_t incarnation)
{
    return processKey(dataCentre, "leases", host, incarnation);
}

std::string encodeAssignments(const AssignmentRecord& record)
{
    Json::Value root(Json::objectValue);
    root["version"] = Json::UInt64(record.version);
    Json::Value& upstreams = root["upstreams"] = Json::Value(Json::objectValue);
    for (const auto& [name, assignment] : record.upstreams)
        upstreams[name] = encodeUpstream(assignment);
    return Common::compactJson(root);
}

Common::Result<AssignmentRecord, AssignmentError> decodeAssignments(std::string_view text)
{
    Json::CharReaderBuilder builder;
    builder["rejectDupKeys"] = true;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value root;
    std::string errors;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &root, &errors))
            return AssignmentError("the assignment record isn't JSON: " + errors);
        return decodeRecord(root);
    } catch (const AssignmentError& error) {
        return error;
    } catch (const Json::Exception& error) {
        return AssignmentError(std::string("the assignment record has a field of a wrong type: ") + error.what());
    }
}

void appendCanonicalRecord(std::string& out, const AssignmentRecord& record)
{
    const auto append = [&out](std::uint64_t n) { out.append(reinterpret_cast<const char*>(&n), sizeof n); };
    append(record.version);
    for (const auto& [name, assignment] : record.upstreams) {
        for (const std::string* text : { &name, &assignment.pool, &assignment.target })
            out.append(text->c_str(), text->size() + 1);
        out += static_cast<char>(assignment.state);
        out += static_cast<char>(assignment.pinned + 2 * assignment.pinnedNext + 4 * assignment.held);
        append(assignment.since);
    }
}

} // namespace Decision
