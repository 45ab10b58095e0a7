#include "Decision/Assignment/MoveCoordinator.h"

#include "Decision/Assignment/AssignmentCodec.h"

#include <algorithm>

namespace Decision {

namespace {

    bool isSatisfied(const MoveRequest& request, const UpstreamAssignment& assignment)
    {
        return !request.held && request.target == assignment.pool && request.pinned == assignment.pinned;
    }

    UpstreamAssignment servingIn(const std::string& pool, bool pinned, std::uint64_t since)
    {
        UpstreamAssignment next;
        next.pool = pool;
        next.pinned = pinned;
        next.since = since;
        return next;
    }

} // namespace

Common::Result<MoveCoordinator, AssignmentError> MoveCoordinator::create(const MoveCoordinatorSettings& settings)
{
    if (settings.maximumRunTime <= std::chrono::milliseconds::zero())
        return AssignmentError("the maximum run time must be above zero");
    return MoveCoordinator(settings);
}

MoveCoordinator::MoveCoordinator(const MoveCoordinatorSettings& settings)
    : m_settings(settings)
{
}

void MoveCoordinator::requestMove(const MoveRequest& request)
{
    m_requests[request.upstream] = request;
}

void MoveCoordinator::requestAbort(const std::string& upstream)
{
    m_aborts.insert(upstream);
}

void MoveCoordinator::requestRelease(const std::string& upstream)
{
    m_releases.insert(upstream);
}

bool MoveCoordinator::handleSnapshot(const AssignmentSnapshot& snapshot, Common::Instant now)
{
    if (snapshot.record.version < m_snapshot.record.version || snapshot.recordRevision < m_snapshot.recordRevision)
        return false;
    m_snapshot = snapshot;
    m_needsRead = false;
    dropSettledRequests();
    updateEvidence(now);
    return true;
}

void MoveCoordinator::dropSettledRequests()
{
    const auto stateOf = [this](const std::string& upstream) -> std::optional<AssignmentState> {
        const auto it = m_snapshot.record.upstreams.find(upstream);
        if (it == m_snapshot.record.upstreams.end())
            return std::nullopt;
        return it->second.state;
    };
    std::erase_if(m_requests, [&](const auto& entry) {
        return stateOf(entry.first) != AssignmentState::Serving
            || isSatisfied(entry.second, m_snapshot.record.upstreams.at(entry.first));
    });
    std::erase_if(m_aborts, [&](const std::string& upstream) { return stateOf(upstream) != AssignmentState::Draining; });
    std::erase_if(m_releases, [&](const std::string& upstream) { return stateOf(upstream) != AssignmentState::Idle; });
}

void MoveCoordinator::updateGone(Common::Instant now)
{
    std::map<ProcessId, Common::Instant> gone;
    for (const MemberProcess& member : m_snapshot.members) {
        if (!member.gone && (m_settings.guards.waitCountedFromGone || member.leaseHeld))
            continue;
        const auto it = m_gone.find(member.process);
        gone[member.process] = it == m_gone.end() ? now : it->second;
    }
    m_gone = std::move(gone);
}

void MoveCoordinator::updateLapses(DrainEvidence& evidence, Common::Instant now) const
{
    std::map<ProcessId, Common::Instant> lapsed;
    for (const MemberProcess& member : m_snapshot.members) {
        if (member.leaseHeld)
            continue;
        const auto it = evidence.lapsed.find(member.process);
        lapsed[member.process] = it == evidence.lapsed.end() ? now : it->second;
    }
    evidence.lapsed = std::move(lapsed);
}

void MoveCoordinator::updateEvidence(Common::Instant now)
{
    updateGone(now);
    std::map<std::string, DrainEvidence> evidence;
    for (const auto& [name, assignment] : m_snapshot.record.upstreams) {
        const bool fromCurrentDrain = m_settings.guards.evidenceFromCurrentDrain;
        if (assignment.state != AssignmentState::Draining && fromCurrentDrain)
            continue;
        DrainEvidence& current = evidence[name];
        const auto it = m_evidence.find(name);
        if (it != m_evidence.end() && (it->second.since == assignment.since || !fromCurrentDrain))
            current = it->second;
        current.since = assignment.since;
        updateLapses(current, now);
    }
    m_evidence = std::move(evidence);
}

ProcessId MoveCoordinator::answerKey(const ProcessId& process) const
{
    return m_settings.guards.answersMatchIncarnation ? process : ProcessId { process.host, 0 };
}

void MoveCoordinator::handleAnswer(const Ports::HostId& host, const Messages::AssignmentAnswer& answer)
{
    for (const std::string& upstream : answer.idle) {
        const auto it = m_evidence.find(upstream);
        if (it == m_evidence.end())
            continue;
        if (answer.version < it->second.since && m_settings.guards.answersMatchVersion)
            continue;
        it->second.idle.insert(answerKey({ host, answer.incarnation }));
    }
}

bool MoveCoordinator::hasRunTimePassed(
    const std::map<ProcessId, Common::Instant>& departures, const ProcessId& process, Common::Instant now) const
{
    const auto it = departures.find(process);
    if (it == departures.end())
        return false;
    return !m_settings.guards.waitForOrphanedWork || now >= it->second + m_settings.maximumRunTime;
}

bool MoveCoordinator::hasEvidence(const MemberProcess& member, const UpstreamAssignment& assignment,
    const DrainEvidence& evidence, Common::Instant now) const
{
    if (evidence.idle.contains(answerKey(member.process)))
        return true;
    if (member.gone && hasRunTimePassed(m_gone, member.process, now))
        return true;
    // Without a lease, a process may still send to pinned upstreams.
    if (assignment.pinned && m_settings.guards.explicitAnswersForPinned)
        return false;
    return hasRunTimePassed(evidence.lapsed, member.process, now);
}

std::vector<ProcessId> MoveCoordinator::missingEvidence(const std::string& upstream, Common::Instant now) const
{
    std::vector<ProcessId> missing;
    const auto it = m_evidence.find(upstream);
    if (it == m_evidence.end())
        return missing;
    const UpstreamAssignment& assignment = m_snapshot.record.upstreams.at(upstream);
    for (const MemberProcess& member : m_snapshot.members) {
        if (!hasEvidence(member, assignment, it->second, now))
            missing.push_back(member.process);
    }
    return missing;
}

std::vector<AddressedQuery> MoveCoordinator::queries() const
{
    std::vector<AddressedQuery> queries;
    for (const MemberProcess& member : m_snapshot.members) {
        if (member.gone)
            continue;
        AddressedQuery addressed { member.process.host, {} };
        for (const auto& [upstream, evidence] : m_evidence) {
            if (evidence.idle.contains(answerKey(member.process)))
                continue;
            addressed.query.version = std::max(addressed.query.version, evidence.since);
            addressed.query.upstreams.push_back(upstream);
        }
        if (!addressed.query.upstreams.empty())
            queries.push_back(std::move(addressed));
    }
    return queries;
}

UpstreamAssignment MoveCoordinator::stepFromServing(const std::string& upstream, const UpstreamAssignment& now) const
{
    const auto it = m_requests.find(upstream);
    if (it == m_requests.end())
        return now;
    const MoveRequest& request = it->second;
    UpstreamAssignment next = now;
    const bool onlyPins = request.target == now.pool && !request.held;
    if (onlyPins && (request.pinned || !m_settings.guards.unpinOnlyWhenIdle)) {
        next.pinned = request.pinned;
        return next;
    }
    next.state = AssignmentState::Draining;
    next.since = m_snapshot.record.version + 1;
    next.target = request.target;
    next.pinnedNext = request.pinned;
    next.held = request.held;
    return next;
}

UpstreamAssignment MoveCoordinator::stepFromDraining(
    const std::string& upstream, const UpstreamAssignment& assignment, Common::Instant now) const
{
    if (m_aborts.contains(upstream))
        return servingIn(assignment.pool, assignment.pinned, m_snapshot.record.version + 1);
    if (!missingEvidence(upstream, now).empty())
        return assignment;
    UpstreamAssignment next = assignment;
    next.state = AssignmentState::Idle;
    next.since = m_snapshot.record.version + 1;
    return next;
}

UpstreamAssignment MoveCoordinator::stepFromIdle(const std::string& upstream, const UpstreamAssignment& assignment) const
{
    if (assignment.held && !m_releases.contains(upstream))
        return assignment;
    return servingIn(assignment.target, assignment.pinnedNext, m_snapshot.record.version + 1);
}

UpstreamAssignment MoveCoordinator::nextStep(
    const std::string& upstream, const UpstreamAssignment& assignment, Common::Instant now) const
{
    switch (assignment.state) {
    case AssignmentState::Serving:
        return stepFromServing(upstream, assignment);
    case AssignmentState::Draining:
        return stepFromDraining(upstream, assignment, now);
    case AssignmentState::Idle:
        return stepFromIdle(upstream, assignment);
    }
    return assignment;
}

std::optional<RecordWrite> MoveCoordinator::nextWrite(Common::Instant now)
{
    if (m_needsRead || m_pendingToken)
        return std::nullopt;
    RecordWrite write;
    write.next = m_snapshot.record;
    for (auto& [name, assignment] : write.next.upstreams)
        assignment = nextStep(name, assignment, now);
    if (write.next == m_snapshot.record)
        return std::nullopt;
    write.next.version = m_snapshot.record.version + 1;
    write.token = m_pendingToken = ++m_lastToken;
    if (m_settings.guards.compareOnWrite)
        write.expectedRevision = m_snapshot.recordRevision;
    return write;
}

void MoveCoordinator::handleWriteEnd(PlatformToken token)
{
    if (token != m_pendingToken)
        return;
    m_pendingToken = 0;
    m_needsRead = true;
}

std::vector<ProcessId> MoveCoordinator::removableMembers(Common::Instant now) const
{
    std::vector<ProcessId> removable;
    for (const MemberProcess& member : m_snapshot.members) {
        if (member.gone && hasRunTimePassed(m_gone, member.process, now))
            removable.push_back(member.process);
    }
    return removable;
}

void MoveCoordinator::appendCanonical(std::string& out, Common::Instant now) const
{
    const auto append = [&out](std::int64_t n) { out.append(reinterpret_cast<const char*>(&n), sizeof n); };
    const auto appendProcess = [&](const ProcessId& process) {
        out += process.host;
        append(static_cast<std::int64_t>(process.incarnation));
    };
    const auto appendDepartures = [&](const std::map<ProcessId, Common::Instant>& departed) {
        append(static_cast<std::int64_t>(departed.size()));
        for (const auto& [process, since] : departed) {
            appendProcess(process);
            append(std::min<std::int64_t>((now - since).count(), std::chrono::microseconds(m_settings.maximumRunTime).count()));
        }
    };
    appendCanonicalRecord(out, m_snapshot.record);
    append(m_snapshot.recordRevision);
    for (const MemberProcess& member : m_snapshot.members) {
        appendProcess(member.process);
        append(member.leaseHeld + 2 * member.gone);
    }
    append(m_needsRead + 2 * (m_pendingToken != 0));
    for (const auto& [upstream, request] : m_requests)
        out += upstream + '>' + request.target + (request.held ? 'h' : '-') + (request.pinned ? 'p' : '-');
    for (const std::string& upstream : m_aborts)
        out += "abort" + upstream;
    for (const std::string& upstream : m_releases)
        out += "release" + upstream;
    for (const auto& [upstream, evidence] : m_evidence) {
        out += upstream;
        append(static_cast<std::int64_t>(evidence.idle.size()));
        for (const ProcessId& process : evidence.idle)
            appendProcess(process);
        appendDepartures(evidence.lapsed);
    }
    appendDepartures(m_gone);
}

} // namespace Decision
