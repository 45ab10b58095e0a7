#pragma once

/// Small model of hosts, movers and the store around the production AssignmentTable and MoveCoordinator, for exhaustive
/// exploration. A mover is a process that runs a MoveCoordinator.
///
/// Any actor may pause for any time while the clock advances and the others act. Frozen or partitioned processes and late,
/// reordered or lost messages therefore need no events of their own.

#include "Decision/Assignment/AssignmentTable.h"
#include "Decision/Assignment/MoveCoordinator.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace OnePool {

using Tick = std::chrono::milliseconds;

/// Remaining numbers of rare events. Limits the counters that only grow, so that the state space is finite.
struct EventBounds {
    unsigned moveRequests = 1; ///< Requests of a move to a mover.
    unsigned aborts = 0;
    unsigned hostCrashes = 0;
    unsigned moverCrashes = 0;
    unsigned leaseGrants = 0; ///< New leases after the first one of each host.
};

/// Configuration of one exploration.
struct Scenario {
    Decision::AssignmentGuards guards;
    unsigned hosts = 1;
    unsigned movers = 1;
    Decision::AssignmentRecord record; ///< Record at the start.
    std::vector<Decision::MoveRequest> requests; ///< Each may be requested from any mover at any time.
    EventBounds bounds;
    unsigned outstandingReads = 1; ///< Limit for each host.
    std::uint64_t maximumVersion = 4; ///< Movers write no version above it.
    Tick timeToLive { 2 }; ///< Of the view leases.
    Tick sendPause { 1 }; ///< Longest pause between check and send; also the send margin of the tables.
    Tick runTime { 1 }; ///< Longest time that work runs.
    bool leaseCalls = true; ///< Off: leases are never renewed or granted again.
    bool dispatches = true; ///< Off: hosts send nothing; the invariants only check whether a dispatch would be allowed.
    bool uncertainWrites = true; ///< Off: no write has an unknown outcome.
    bool checkOnlyTwoPools = false; ///< Check only that no upstream is in two pools, not the stronger invariants.
};

/// Work that was sent to an upstream.
struct Work {
    std::string upstream;
    std::string pool;
    Common::Instant endsAt {};
    bool running = true; ///< False from its end; the host learns of the end only when it acts.
    bool owned = true; ///< The process that sent it still runs.
};

/// A dispatch that was checked but not sent yet.
struct PendingSend {
    std::string upstream;
    std::string pool;
    Common::Instant checkedAt {};
};

/// An outstanding renewal or grant of a view lease.
struct LeaseCall {
    Decision::ViewLease lease;
    bool answered = false; ///< The store has answered, but the reply hasn't arrived yet.
};

/// The reply to a host's read, which hasn't arrived yet.
struct ReadReply {
    Decision::AssignmentRecord record;
    Ports::LeaseId leaseAtRequest = 0;
};

/// One entry host.
struct Host {
    Decision::ProcessId process;
    Decision::AssignmentTable table;
    std::optional<LeaseCall> leaseCall;
    std::vector<ReadReply> reads;
    std::optional<PendingSend> pending;
    std::optional<Work> work;
    std::vector<Work> orphanedWork; ///< Work that was abandoned or left behind by earlier processes.
    std::optional<Messages::AssignmentAnswer> answer; ///< In transit; may arrive at any time and more than once.
};

/// One process that holds the duty, or believes that it does.
///
/// Its reads are instantaneous, because a late reply could only make it wait longer. A write that is based on an old read may
/// still be sent at any time.
struct Mover {
    Decision::MoveCoordinator coordinator;
    std::optional<Decision::RecordWrite> delayedWrite; ///< Write with an unknown outcome: may take effect at any time or never.
};

/// The platform's store.
struct Store {
    Decision::AssignmentRecord record;
    std::int64_t revision = 1;
    std::vector<Decision::MemberProcess> members;
    std::map<Decision::ProcessId, Decision::ViewLease> leases; ///< Here, `requestedAt` is the end of the lease.
    Ports::LeaseId lastLease = 0;
};

/// State of the whole model; a value.
struct World {
    Common::Instant now {};
    Store store;
    std::vector<Host> hosts;
    std::vector<Mover> movers;
    std::shared_ptr<const Scenario> scenario;
    EventBounds remaining;
    std::string fault; ///< Set if a transition broke an invariant, such as a version that decreased.

    /// Initial state: every host is registered, has a new lease, and has read the record.
    static World create(const Scenario&);
    /// Canonical form. Worlds with equal forms have the same possible successors.
    std::string canonical() const;
    /// Describes a broken invariant; empty if all hold.
    std::string violation() const;
};

/// Event name and acting host or mover, for traces.
struct Label {
    const char* what = "";
    std::size_t actor = 0;
};

/// A possible event and the world after it.
struct Successor {
    Label label;
    World world;
};

/// All events that may happen next.
std::vector<Successor> successorsOf(const World&);

} // namespace OnePool
