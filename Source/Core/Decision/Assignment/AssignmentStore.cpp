#include "Decision/Assignment/AssignmentStore.h"

#include "Decision/Assignment/AssignmentCodec.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <string_view>

namespace Decision {

namespace {

    const std::string goneValue = "gone";
    const std::string registeredValue = "registered";

    /// Parses "host/incarnation", the end of a member or lease key.
    std::optional<ProcessId> parseProcess(std::string_view text)
    {
        const std::size_t slash = text.rfind('/');
        if (slash == std::string_view::npos)
            return std::nullopt;
        ProcessId process;
        process.host = text.substr(0, slash);
        const std::string_view digits = text.substr(slash + 1);
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), process.incarnation);
        if (ec != std::errc() || end != digits.data() + digits.size())
            return std::nullopt;
        return process;
    }

    std::optional<ProcessId> parseProcessKey(const std::string& prefix, const std::string& key)
    {
        if (!key.starts_with(prefix))
            return std::nullopt;
        return parseProcess(std::string_view(key).substr(prefix.size()));
    }

} // namespace

PlatformRead assignmentRead(const std::string& dataCentre, PlatformToken token)
{
    return { token, assignmentPrefix(dataCentre), true };
}

Common::Result<AssignmentSnapshot, AssignmentError> snapshotFrom(
    const std::string& dataCentre, const std::vector<Ports::KeyValue>& pairs)
{
    const std::string prefix = assignmentPrefix(dataCentre);
    AssignmentSnapshot snapshot;
    std::set<ProcessId> leaseHolders;
    for (const Ports::KeyValue& pair : pairs) {
        if (pair.key == assignmentRecordKey(dataCentre)) {
            auto record = decodeAssignments(pair.value);
            if (!record)
                return record.error();
            snapshot.record = record.take();
            snapshot.recordRevision = pair.modRevision;
        } else if (const auto member = parseProcessKey(prefix + "members/", pair.key)) {
            snapshot.members.push_back({ *member, false, pair.value == goneValue });
        } else if (const auto holder = parseProcessKey(prefix + "leases/", pair.key)) {
            leaseHolders.insert(*holder);
        }
    }
    if (!snapshot.recordRevision)
        return AssignmentError("the store has no assignment record for " + dataCentre);
    for (MemberProcess& member : snapshot.members)
        member.leaseHeld = leaseHolders.contains(member.process);
    return snapshot;
}

PlatformTransact assignmentWrite(const std::string& dataCentre, const RecordWrite& write)
{
    PlatformTransact transact { write.token, {} };
    const std::string key = assignmentRecordKey(dataCentre);
    if (write.expectedRevision)
        transact.transaction.compares.push_back({ key, *write.expectedRevision });
    transact.transaction.puts.push_back({ key, encodeAssignments(write.next), 0 });
    return transact;
}

PlatformTransact registration(const std::string& dataCentre, const ProcessId& self, Ports::LeaseId lease,
    const std::vector<MemberProcess>& known, PlatformToken token)
{
    PlatformTransact transact { token, {} };
    auto& puts = transact.transaction.puts;
    puts.push_back({ assignmentMemberKey(dataCentre, self.host, self.incarnation), registeredValue, 0 });
    puts.push_back({ assignmentLeaseKey(dataCentre, self.host, self.incarnation), registeredValue, lease });
    for (const MemberProcess& member : known) {
        const ProcessId& earlier = member.process;
        if (earlier.host == self.host && earlier.incarnation != self.incarnation && !member.gone)
            puts.push_back({ assignmentMemberKey(dataCentre, earlier.host, earlier.incarnation), goneValue, 0 });
    }
    return transact;
}

PlatformTransact memberRemoval(
    const std::string& dataCentre, const std::vector<ProcessId>& processes, PlatformToken token)
{
    PlatformTransact transact { token, {} };
    for (const ProcessId& process : processes)
        transact.transaction.deletes.push_back(assignmentMemberKey(dataCentre, process.host, process.incarnation));
    return transact;
}

} // namespace Decision
