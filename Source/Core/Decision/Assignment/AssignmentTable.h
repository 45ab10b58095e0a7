#pragma once

/// What one entry host knows of the assignments, and whether it may dispatch. Correct on each host alone.

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
    std::uint64_t incarnation = 0; ///< Of this process.
    /// Longest pause between the check and the last byte of the request, clock drift over a lease included.
    std::chrono::milliseconds sendMargin { 1000 };
    AssignmentGuards guards;
};

/// Answer of the platform to the grant or renewal of this host's view lease.
struct ViewLease {
    Ports::LeaseId id = 0;
    Common::Instant askedAt {}; ///< When the request was made.
    std::chrono::milliseconds timeToLive { 0 }; ///< Zero when the lease has lapsed.
};

/// Decides whether this host may dispatch to an upstream for a pool, now. A copyable value; not thread-safe.
///
/// Use in this order: write the member entry and its lease key, report the lease, only then read the record.
class AssignmentTable {
public:
    static Common::Result<AssignmentTable, AssignmentError> create(const AssignmentTableSettings&);

    /// The lease was granted or renewed, and this process's member entry stands in the store.
    void handleLeaseReply(const ViewLease&, Common::Instant now);
    /// Lease to name when the answer to a read that is asked now comes back; zero before registration.
    Ports::LeaseId leaseForRead() const { return m_lease; }
    /// The store answered a linearizable read. `askedUnder` is leaseForRead() from when it was asked.
    void handleRecordRead(const AssignmentRecord&, Ports::LeaseId askedUnder);
    /// A watch or a peer told of a record: it can take rights away or grant them only under a confirmed lease.
    void recordHeard(const AssignmentRecord&);

    /// True when a read was asked after registration, so that requests may be taken.
    bool isConfirmed() const { return m_everConfirmed; }
    std::uint64_t version() const { return m_record.version; }
    const AssignmentRecord& record() const { return m_record; }

    /// The whole rule. Ask right before each dispatch.
    bool mayDispatch(const std::string& upstream, const std::string& pool, Common::Instant now) const;
    /// Checks and counts a dispatch; false when it isn't allowed, and nothing is counted.
    bool beginDispatch(const std::string& upstream, const std::string& pool, Common::Instant now);
    /// A counted dispatch ended: answered, refused, or never sent.
    void endDispatch(const std::string& upstream);
    /// A counted dispatch was given up (lost, cancelled, truncated): it may still run until then.
    void abandonDispatch(const std::string& upstream, Common::Instant runsUntil);
    unsigned inFlight(const std::string& upstream) const;

    /// The explicit answer: those of the asked upstreams on which nothing runs and nothing will be sent.
    /// Nothing when this table is older than the question or none is idle.
    std::optional<Messages::AssignmentAnswer> answer(const Messages::AssignmentQuery&, Common::Instant now);

    /// Appends a canonical form, with times relative to `now`; equal forms behave alike.
    void appendCanonical(std::string& out, Common::Instant now) const;

private:
    explicit AssignmentTable(const AssignmentTableSettings&);
    bool leaseCovers(Common::Instant now) const;
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
