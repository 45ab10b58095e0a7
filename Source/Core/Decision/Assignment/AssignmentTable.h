#pragma once

/// Assignments as known to one entry host, and the decision whether it may dispatch. Needs no coordination between hosts.

#include "Common/Result.h"
#include "Common/Time.h"
#include "Decision/Assignment/AssignmentError.h"
#include "Decision/Assignment/AssignmentGuards.h"
#include "Decision/Assignment/AssignmentRecord.h"
#include "Messages/PeerMessages.h"
#include "Ports/PlatformPort.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Decision {

/// Settings of an AssignmentTable.
struct AssignmentTableSettings {
    std::uint64_t incarnation = 0; ///< Incarnation of this process; not zero.
    /// Longest pause between the check and the last byte of the request, including clock drift during one lease.
    std::chrono::milliseconds sendMargin { 1000 };
    AssignmentGuards guards;
};

/// Reply of the platform to a grant or renewal of this host's view lease.
struct ViewLease {
    Ports::LeaseId id = 0;
    Common::Instant requestedAt {}; ///< When the request was sent.
    std::chrono::milliseconds timeToLive { 0 }; ///< Zero if the lease has lapsed.
};

/// Decides whether this host may now dispatch to an upstream on behalf of a pool. A copyable value; not thread-safe.
///
/// Order of use: write the member entry and the lease key, report the lease with handleLeaseReply(), and only then read the
/// record. A read that was sent before the lease was reported doesn't confirm that lease.
class AssignmentTable {
public:
    /// Fails if the incarnation is zero or the send margin is negative.
    static Common::Result<AssignmentTable, AssignmentError> create(const AssignmentTableSettings&);

    /// Called when the lease was granted or renewed and this process's member entry is in the store.
    void handleLeaseReply(const ViewLease&, Common::Instant now);
    /// The current lease, to be remembered when a read is sent and passed to handleRecordRead(); zero before registration.
    Ports::LeaseId leaseForRead() const { return m_lease; }
    /// Called with the reply to a linearizable read. `leaseAtRequest` is the value of leaseForRead() when the read was sent.
    void handleRecordRead(const AssignmentRecord&, Ports::LeaseId leaseAtRequest);
    /// Called with a record from a watch or a peer. Such a record can revoke permissions, but it can grant them only under a
    /// lease that a read has confirmed.
    void handleRecordUpdate(const AssignmentRecord&);

    /// True once a read that was sent after registration has been answered, so that requests may be accepted.
    bool isConfirmed() const { return m_everConfirmed; }
    std::uint64_t version() const { return m_record.version; }
    const AssignmentRecord& record() const { return m_record; }

    /// True if a dispatch is allowed now. Must be checked right before each dispatch.
    bool mayDispatch(const std::string& upstream, const std::string& pool, Common::Instant now) const;
    /// Checks mayDispatch() and counts the dispatch as in flight. Returns false and counts nothing if it isn't allowed.
    bool beginDispatch(const std::string& upstream, const std::string& pool, Common::Instant now);
    /// Called when a counted dispatch has ended: answered, refused, or never sent.
    void endDispatch(const std::string& upstream);
    /// Called when a counted dispatch was abandoned (lost, cancelled or truncated). It may keep running until `runsUntil`,
    /// and the upstream isn't reported as idle before then.
    void abandonDispatch(const std::string& upstream, Common::Instant runsUntil);
    /// Counted dispatches to an upstream, without abandoned ones.
    unsigned inFlight(const std::string& upstream) const;

    /// Answers a coordinator's query with those of the upstreams to which this host has nothing in flight and will send
    /// nothing. Returns nothing if this table is older than the query or if none of the upstreams is idle.
    std::optional<Messages::AssignmentAnswer> answer(const Messages::AssignmentQuery&, Common::Instant now);

    /// Appends a canonical form with times relative to `now`, for state exploration in tests. Tables with equal forms behave the same.
    void appendCanonical(std::string& out, Common::Instant now) const;

private:
    explicit AssignmentTable(const AssignmentTableSettings&);
    bool hasUsableLease(Common::Instant now) const;
    bool isIdle(const std::string& upstream, Common::Instant now);

    AssignmentTableSettings m_settings;
    AssignmentRecord m_record;
    Ports::LeaseId m_lease = 0;
    Ports::LeaseId m_confirmedLease = 0;
    Common::Instant m_leaseEnds {};
    bool m_everConfirmed = false;
    std::map<std::string, unsigned> m_inFlight;
    std::map<std::string, std::vector<Common::Instant>> m_abandoned;
};

} // namespace Decision
