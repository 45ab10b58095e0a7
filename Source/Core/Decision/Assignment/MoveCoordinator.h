#pragma once

/// Moves upstreams between pools, one compare-and-swap of the assignment record at a time.

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

/// One process of an entry host; each start has a new incarnation.
struct ProcessId {
    Ports::HostId host;
    std::uint64_t incarnation = 0;

    auto operator<=>(const ProcessId&) const = default; // NOLINT(modernize-use-nullptr): the check misreads the defaulted operator.
};

/// A registered process whose member entry hasn't been deleted. It may use upstreams.
struct MemberProcess {
    ProcessId process;
    bool leaseHeld = false; ///< Its lease key is in the store.
    bool gone = false; ///< Known to have ended: replaced by a later process of its host, or declared gone by an operator.
};

/// One consistent read of all assignment keys.
struct AssignmentSnapshot {
    AssignmentRecord record;
    std::int64_t recordRevision = 0; ///< Revision of the record's key in the store.
    std::vector<MemberProcess> members;
};

/// A move that a planner or an operator requests.
struct MoveRequest {
    std::string upstream;
    std::string target; ///< Pool to move to; the upstream's current pool for maintenance or to change its pinning.
    bool held = false; ///< Stay Idle until requestRelease(), for a reboot.
    bool pinned = false; ///< Whether the upstream is pinned once it serves the target.
};

/// A new version of the record, to be written if the key is still at the expected revision.
struct RecordWrite {
    PlatformToken token = 0;
    AssignmentRecord next;
    std::optional<std::int64_t> expectedRevision; ///< Always set, except in tests that switch the comparison off.
};

/// A query and the host that it is sent to.
struct AddressedQuery {
    Ports::HostId to;
    Messages::AssignmentQuery query;
};

/// Settings of a MoveCoordinator.
struct MoveCoordinatorSettings {
    /// Longest time that a task may run after it was sent, including the delay until its worker stops it.
    std::chrono::milliseconds maximumRunTime { 65000 };
    AssignmentGuards guards;
};

/// Coordinates moves on the duty holder. An upstream leaves its pool only when there is evidence from every member process
/// that it no longer uses the upstream: an explicit answer, or the maximum run time since the process was seen as gone or,
/// for upstreams that aren't pinned, since its lease was seen to have lapsed.
///
/// Any number of coordinators may run at once without harm; the duty lease only avoids duplicate work. All state can be
/// rebuilt by a new duty holder from the record and the members. A copyable value; not thread-safe.
class MoveCoordinator {
public:
    /// Fails if the maximum run time isn't above zero.
    static Common::Result<MoveCoordinator, AssignmentError> create(const MoveCoordinatorSettings&);

    /// Requests a move. Dropped if the upstream isn't Serving when the record is next read, or already is as requested.
    void requestMove(const MoveRequest&);
    /// Returns a Draining upstream to its pool. Dropped if the upstream isn't Draining when the record is next read.
    void requestAbort(const std::string& upstream);
    /// Lets a held upstream that is Idle serve its target. Dropped if it isn't Idle when the record is next read.
    void requestRelease(const std::string& upstream);

    /// True if the record must be read before the next write.
    bool needsRead() const { return m_needsRead; }
    /// Called with the reply to a linearizable read. Returns false and ignores the snapshot if it is older than one seen
    /// before.
    bool handleSnapshot(const AssignmentSnapshot&, Common::Instant now);
    /// Queries to send to the members whose answer is still missing.
    std::vector<AddressedQuery> queries() const;
    /// Called with a member's answer. Answers that are older than the current drain are ignored.
    void handleAnswer(const Ports::HostId&, const Messages::AssignmentAnswer&);
    /// Returns the next version of the record if a step is due and its evidence is complete. Returns nothing while another
    /// write is pending or the record must be read.
    std::optional<RecordWrite> nextWrite(Common::Instant now);
    /// Called when a write has ended, with any outcome. The record is then read again, which also tells whether a write
    /// with an unknown outcome has taken effect.
    void handleWriteEnd(PlatformToken);

    /// Processes for which a Draining upstream still lacks evidence.
    std::vector<ProcessId> missingEvidence(const std::string& upstream, Common::Instant now) const;
    /// Processes that have ended and whose work must have ended too. Their member entries may be deleted.
    std::vector<ProcessId> removableMembers(Common::Instant now) const;
    const AssignmentSnapshot& snapshot() const { return m_snapshot; }

    /// Appends a canonical form with times relative to `now`, for state exploration in tests. Coordinators with equal forms behave
    /// the same.
    void appendCanonical(std::string& out, Common::Instant now) const;

private:
    /// Evidence that the members no longer use a Draining upstream.
    struct DrainEvidence {
        std::uint64_t since = 0; ///< Version of the record that started the drain.
        std::set<ProcessId> idle; ///< Processes that have reported the upstream as idle.
        std::map<ProcessId, Common::Instant> lapsed; ///< When a process was first seen without a lease; erased when it is seen with one again.
    };

    explicit MoveCoordinator(const MoveCoordinatorSettings&);
    void dropSettledRequests();
    void updateEvidence(Common::Instant now);
    void updateGone(Common::Instant now);
    void updateLapses(DrainEvidence&, Common::Instant now) const;
    bool hasEvidence(const MemberProcess&, const UpstreamAssignment&, const DrainEvidence&, Common::Instant now) const;
    bool hasRunTimePassed(const std::map<ProcessId, Common::Instant>& departures, const ProcessId&, Common::Instant now) const;
    ProcessId answerKey(const ProcessId&) const;
    UpstreamAssignment nextStep(const std::string& upstream, const UpstreamAssignment&, Common::Instant now) const;
    UpstreamAssignment stepFromServing(const std::string& upstream, const UpstreamAssignment&) const;
    UpstreamAssignment stepFromDraining(const std::string& upstream, const UpstreamAssignment&, Common::Instant now) const;
    UpstreamAssignment stepFromIdle(const std::string& upstream, const UpstreamAssignment&) const;

    MoveCoordinatorSettings m_settings;
    AssignmentSnapshot m_snapshot;
    bool m_needsRead = true;
    PlatformToken m_lastToken = 0;
    PlatformToken m_pendingToken = 0;
    std::map<std::string, MoveRequest> m_requests;
    std::set<std::string> m_aborts;
    std::set<std::string> m_releases;
    std::map<std::string, DrainEvidence> m_evidence;
    std::map<ProcessId, Common::Instant> m_gone; ///< When a process was first seen as gone.
};

} // namespace Decision
