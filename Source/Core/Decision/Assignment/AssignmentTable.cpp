#include "Decision/Assignment/AssignmentTable.h"

#include "Decision/Assignment/AssignmentCodec.h"

#include <algorithm>

namespace Decision {

Common::Result<AssignmentTable, AssignmentError> AssignmentTable::create(const AssignmentTableSettings& settings)
{
    if (!settings.incarnation)
        return AssignmentError("an assignment table needs an incarnation other than zero");
    if (settings.sendMargin < std::chrono::milliseconds::zero())
        return AssignmentError("the send margin can't be negative");
    return AssignmentTable(settings);
}

AssignmentTable::AssignmentTable(const AssignmentTableSettings& settings)
    : m_settings(settings)
{
}

void AssignmentTable::handleLeaseReply(const ViewLease& lease, Common::Instant now)
{
    const Common::Instant from = m_settings.guards.leaseCountedFromRequest ? lease.requestedAt : now;
    if (lease.id != m_lease) {
        m_lease = lease.id;
        m_leaseEnds = from + lease.timeToLive;
        return;
    }
    // Replies may arrive out of order. A renewal that the store has granted stays valid, so the latest end counts.
    m_leaseEnds = std::max(m_leaseEnds, from + lease.timeToLive);
}

void AssignmentTable::handleRecordRead(const AssignmentRecord& record, Ports::LeaseId leaseAtRequest)
{
    handleRecordUpdate(record);
    if (!leaseAtRequest && m_settings.guards.readAfterLease)
        return;
    m_everConfirmed = true;
    if (leaseAtRequest == m_lease || !m_settings.guards.readAfterLease)
        m_confirmedLease = m_lease;
}

void AssignmentTable::handleRecordUpdate(const AssignmentRecord& record)
{
    if (record.version <= m_record.version && m_settings.guards.rejectOlderVersions)
        return;
    m_record = record;
}

bool AssignmentTable::hasUsableLease(Common::Instant now) const
{
    if (!m_settings.guards.leaseBeforeDispatch)
        return true;
    if (m_settings.guards.readAfterLease && m_confirmedLease != m_lease)
        return false;
    const auto margin = m_settings.guards.marginBeforeExpiry ? m_settings.sendMargin : std::chrono::milliseconds::zero();
    return m_lease && now + margin < m_leaseEnds;
}

bool AssignmentTable::mayDispatch(const std::string& upstream, const std::string& pool, Common::Instant now) const
{
    if (!m_everConfirmed)
        return false;
    const auto it = m_record.upstreams.find(upstream);
    if (it == m_record.upstreams.end())
        return false;
    const UpstreamAssignment& assignment = it->second;
    if (assignment.state != AssignmentState::Serving || assignment.pool != pool)
        return false;
    return assignment.pinned || hasUsableLease(now);
}

bool AssignmentTable::beginDispatch(const std::string& upstream, const std::string& pool, Common::Instant now)
{
    if (!mayDispatch(upstream, pool, now))
        return false;
    ++m_inFlight[upstream];
    return true;
}

void AssignmentTable::endDispatch(const std::string& upstream)
{
    const auto it = m_inFlight.find(upstream);
    if (it == m_inFlight.end())
        return;
    if (!--it->second)
        m_inFlight.erase(it);
}

void AssignmentTable::abandonDispatch(const std::string& upstream, Common::Instant runsUntil)
{
    endDispatch(upstream);
    if (m_settings.guards.countAbandonedWork)
        m_abandoned[upstream].push_back(runsUntil);
}

unsigned AssignmentTable::inFlight(const std::string& upstream) const
{
    const auto it = m_inFlight.find(upstream);
    return it == m_inFlight.end() ? 0 : it->second;
}

bool AssignmentTable::isIdle(const std::string& upstream, Common::Instant now)
{
    const auto assignment = m_record.upstreams.find(upstream);
    if (assignment != m_record.upstreams.end() && assignment->second.state == AssignmentState::Serving)
        return false;
    if (!m_settings.guards.idleRequiresNoneInFlight)
        return true;
    if (inFlight(upstream))
        return false;
    const auto it = m_abandoned.find(upstream);
    if (it == m_abandoned.end())
        return true;
    std::erase_if(it->second, [now](Common::Instant until) { return until <= now; });
    if (!it->second.empty())
        return false;
    m_abandoned.erase(it);
    return true;
}

std::optional<Messages::AssignmentAnswer> AssignmentTable::answer(const Messages::AssignmentQuery& query, Common::Instant now)
{
    if (m_record.version < query.version)
        return std::nullopt;
    Messages::AssignmentAnswer answer;
    answer.version = m_record.version;
    answer.incarnation = m_settings.incarnation;
    for (const std::string& upstream : query.upstreams) {
        if (isIdle(upstream, now))
            answer.idle.push_back(upstream);
    }
    if (answer.idle.empty())
        return std::nullopt;
    return answer;
}

void AssignmentTable::appendCanonical(std::string& out, Common::Instant now) const
{
    appendCanonicalRecord(out, m_record);
    const auto append = [&out](std::int64_t n) { out.append(reinterpret_cast<const char*>(&n), sizeof n); };
    const auto appendRemaining = [&](Common::Instant until) { append(until <= now ? 0 : (until - now).count()); };
    append(m_lease);
    append(m_confirmedLease);
    append(m_everConfirmed);
    appendRemaining(m_leaseEnds);
    for (const auto& [upstream, count] : m_inFlight) {
        out += upstream;
        append(count);
    }
    for (const auto& [upstream, ends] : m_abandoned) {
        const auto running = std::count_if(ends.begin(), ends.end(), [now](auto until) { return until > now; });
        if (!running)
            continue;
        out += upstream;
        append(-running);
        for (const Common::Instant until : ends)
            appendRemaining(until);
    }
}

} // namespace Decision
