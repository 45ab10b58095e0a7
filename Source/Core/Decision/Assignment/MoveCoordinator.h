#pragma once

/// Carries upstreams from pool to pool, one compare-and-swap of the record at a time.

#include "Common/Result.h"
#include "Common/Time.h"
#include "Decision/Assignment/AssignmentError.h"
#include "Decision/Assignment/AssignmentGuards.h"
#include "Decision/Assignment/AssignmentRecord.h"
#include "Decision/Membership/PlatformActions.h"
#include "Messages/PeerMessages.h"
#include "Ports/PeerPort.h"
#include "Ports/PlatformPort.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Decision {

/// One start of an entry host.
struct ProcessId {
    Ports::HostId host;
    std::uint64_t incarnation = 0;

    auto operator<=>(const ProcessId&) const = default; // NOLINT(modernize-use-nullptr): the check misreads the defaulted operator.
};

/// A process that was registered and hasn't been struck off: it may use upstreams.
struct MemberProcess {
    ProcessId process;
    bool leaseHeld = false; ///< Its lease key stands in the store.
    bool gone = false; ///< Surely ended: replaced by a later start of its host, or declared so by an operator.
};

/// One consistent read of all assignment keys.
struct AssignmentSnapshot {
    AssignmentRecord record;
    std::int64_t recordRevision = 0;
    std::vector<MemberProcess> members;
};

/// A change that a planner or an operator wants.
struct MoveRequest {
    std::string upstream;
    std::string target; ///< The upstream's own pool for maintenance, or to unpin it.
    bool held = false; ///< Stay Idle until release(), for a reboot.
    bool pinned = false; ///< Once it serves the target.
};

/// The next record, to be written if the key's revision is still the expected one.
struct RecordWrite {
    PlatformToken token = 0;
    AssignmentRecord next;
    std::optional<std::int64_t> expectedRevision; ///< Always set but in tests with the compare off.
};

/// A question for one host.
struct AddressedQuery {
    Ports::HostId to;
    Messages::AssignmentQuery query;
};

/// Settings of a MoveCoordinator.
struct MoveCoordinatorSettings {
    /// Longest that a task may run after it was sent, the delay until its worker stops it included.
    std::chrono::milliseconds maximumRunTime { 65000 };
    AssignmentGuards guards;
};

/// The mover's side of the protocol. Any number may run at once: the duty lease only saves work.
/// Keeps nothing that a new holder couldn't learn from the record and the members. A copyable value; not thread-safe.
class MoveCoordinator {
public:
    static Common::Result<MoveCoordinator, AssignmentError> create(const MoveCoordinatorSettings&);

    /// Ignored unless the upstream is Serving when the record is next read.
    void requestMove(const MoveRequest&);
    /// Back to its pool; possible until it is Idle.
    void requestAbort(const std::string& upstream);
    /// Ends a hold.
    void requestRelease(const std::string& upstream);

    /// True when the record must be read before anything else is written.
    bool wantsRead() const { return m_wantsRead; }
    /// The answer to a linearizable read. One older than a record seen before is refused and false returned.
    bool handleSnapshot(const AssignmentSnapshot&, Common::Instant now);
    /// Questions to ask of the members that are still needed.
    std::vector<AddressedQuery> queries() const;
    void handleAnswer(const Ports::HostId&, const Messages::AssignmentAnswer&);
    /// The next record when a step is due and its evidence is whole. One write is under way at most.
    std::optional<RecordWrite> nextWrite(Common::Instant now);
    /// Any end of a write leads to a read: that settles an uncertain one.
    void handleWriteEnd(PlatformToken);

    /// Processes whose evidence a Draining upstream still lacks.
    std::vector<ProcessId> missingEvidence(const std::string& upstream, Common::Instant now) const;
    /// Processes that have ended and whose work has too: their member entries may be deleted.
    std::vector<ProcessId> removableMembers(Common::Instant now) const;
    const AssignmentSnapshot& snapshot() const { return m_snapshot; }

    /// Appends a canonical form, with times relative to `now`; equal forms behave alike.
    void appendCanonical(std::string& out, Common::Instant now) const;

private:
    /// What is known about one drain.
    struct DrainEvidence {
        std::uint64_t since = 0;
        std::set<ProcessId> idle;
        std::map<ProcessId, Common::Instant> lapsed; ///< Seen without a lease since; only while it stays so.
    };

    explicit MoveCoordinator(const MoveCoordinatorSettings&);
    void dropSettledRequests();
    void updateEvidence(Common::Instant now);
    void updateGone(Common::Instant now);
    void updateLapses(DrainEvidence&, Common::Instant now) const;
    bool hasEvidence(const MemberProcess&, const UpstreamAssignment&, const DrainEvidence&, Common::Instant now) const;
    bool waitedOut(const std::map<ProcessId, Common::Instant>& departures, const ProcessId&, Common::Instant now) const;
    ProcessId answerKey(const ProcessId&) const;
    UpstreamAssignment nextStep(const std::string& upstream, const UpstreamAssignment&, Common::Instant now) const;
    UpstreamAssignment stepFromServing(const std::string& upstream, const UpstreamAssignment&) const;
    UpstreamAssignment stepFromDraining(const std::string& upstream, const UpstreamAssignment&, Common::Instant now) const;
    UpstreamAssignment stepFromIdle(const std::string& upstream, const UpstreamAssignment&) const;

    MoveCoordinatorSettings m_settings;
    AssignmentSnapshot m_snapshot;
    bool m_wantsRead = true;
    PlatformToken m_lastToken = 0;
    PlatformToken m_pendingToken = 0;
    std::map<std::string, MoveRequest> m_requests;
    std::set<std::string> m_aborts;
    std::set<std::string> m_releases;
    std::map<std::string, DrainEvidence> m_evidence;
    std::map<ProcessId, Common::Instant> m_gone; ///< Seen as gone since.
};

} // namespace Decision
