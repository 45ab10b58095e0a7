#include "Jobs/Runtime/MemberText.h"

#include "Jobs/Model/ValueRanges.h"

#include <algorithm>
#include <sstream>

namespace Jobs {

namespace {

    /// Ends the text of a member that is leaving.
    constexpr const char* leavingSuffix = " leaving";

} // namespace

std::string formatMember(const MemberInfo& member)
{
    return member.address + ' ' + member.dataCentre + ' ' + std::to_string(member.processorMilliCores) + (member.isLeaving ? leavingSuffix : "");
}

MemberInfo parseMember(const std::string& host, const std::string& text)
{
    MemberInfo member;
    member.host = host;
    std::istringstream stream(text);
    stream >> member.address >> member.dataCentre >> member.processorMilliCores;
    // A negative number would be read as one near the largest.
    const bool isInRange = stream && member.processorMilliCores <= ValueRanges::maximumAmount;
    member.processorMilliCores = isInRange ? std::max(1U, member.processorMilliCores) : 1U;
    member.isLeaving = text.ends_with(leavingSuffix);
    return member;
}

} // namespace Jobs
