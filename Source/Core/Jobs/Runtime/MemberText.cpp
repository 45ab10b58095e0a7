#include "Jobs/Runtime/MemberText.h"

#include <algorithm>
#include <sstream>

namespace Jobs {

namespace {

    /// At the end of a member's text that is about to go.
    constexpr const char* leavingText = " leaving";

} // namespace

std::string memberText(const MemberInfo& member)
{
    return member.address + ' ' + member.dataCentre + ' ' + std::to_string(member.strength) + (member.isLeaving ? leavingText : "");
}

MemberInfo readMember(const std::string& host, const std::string& text)
{
    MemberInfo member;
    member.host = host;
    std::istringstream stream(text);
    stream >> member.address >> member.dataCentre >> member.strength;
    member.strength = std::max(1U, member.strength);
    member.isLeaving = text.ends_with(leavingText);
    return member;
}

} // namespace Jobs
