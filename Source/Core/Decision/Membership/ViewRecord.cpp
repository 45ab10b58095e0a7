#include "Decision/Membership/ViewRecord.h"

#include "Common/CompactJson.h"

#include <algorithm>

namespace Decision {

const ViewMember* View::find(const Ports::HostId& host) const
{
    const auto it = std::find_if(members.begin(), members.end(), [&](const ViewMember& member) { return member.host == host; });
    return it == members.end() ? nullptr : &*it;
}

std::string viewKey(const std::string& dataCentre)
{
    return "/marigold/views/" + dataCentre;
}

std::string memberKey(const std::string& dataCentre, const Ports::HostId& host)
{
    return "/marigold/members/" + dataCentre + "/" + host;
}

std::string encodeView(const View& view)
{
    Json::Value root;
    root["epoch"] = Json::UInt64(view.epoch);
    root["members"] = Json::arrayValue;
    for (const auto& member : view.members) {
        Json::Value entry;
        entry["host"] = member.host;
        entry["incarnation"] = Json::UInt64(member.incarnation);
        entry["peerAddress"] = member.peerAddress;
        root["members"].append(entry);
    }
    return Common::compactJson(root);
}

std::optional<View> decodeView(std::string_view text)
{
    const auto root = Common::parseJsonObject(text);
    if (!root)
        return std::nullopt;
    try {
        View view;
        view.epoch = (*root)["epoch"].asUInt64();
        for (const auto& entry : (*root)["members"])
            view.members.push_back({ entry["host"].asString(), entry["incarnation"].asUInt64(), entry["peerAddress"].asString() });
        return view;
    } catch (const Json::Exception&) {
        return std::nullopt;
    }
}

std::string encodeMember(const MemberRecord& record)
{
    Json::Value root;
    root["incarnation"] = Json::UInt64(record.incarnation);
    root["lease"] = Json::Int64(record.lease);
    return Common::compactJson(root);
}

std::optional<MemberRecord> decodeMember(std::string_view text)
{
    const auto root = Common::parseJsonObject(text);
    if (!root)
        return std::nullopt;
    try {
        return MemberRecord { (*root)["incarnation"].asUInt64(), (*root)["lease"].asInt64() };
    } catch (const Json::Exception&) {
        return std::nullopt;
    }
}

} // namespace Decision
