#pragma once

/// A small world around the production AssignmentTable and MoveCoordinator, for exhaustive exploration.
///
/// Any actor may stand still for any time while the clock goes on and the others act. So a frozen process, one cut off
/// from the store or its peers, and messages that are late, reordered or lost need no events of their own.

#include "Decision/Assignment/AssignmentTable.h"
#include "Decision/Assignment/MoveCoordinator.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace OnePool {

using Tick = std::chrono::milliseconds;

/// What may still happen; bounds the numbers that only grow.
struct Budget {
    unsigned askings = 1; ///< Times that a mover is asked for one of the moves.
    unsigned aborts = 0;
    unsigned hostCrashes = 0;
    unsigned moverCrashes = 0;
    unsigned leaseGrants = 0; ///< New leases beyond the first of each host.
};

/// Size and rules of one exploration.
struct Scenario {
    Decision::AssignmentGuards guards;
    unsigned hosts = 1;
    unsigned movers = 1;
    Decision::AssignmentRecord record; ///< At the start.
    std::vector<Decision::MoveRequest> requests; ///< Any may be asked of any mover, at any time.
    Budget budget;
    unsigned outstandingReads = 1; ///< Of each host.
    std::uint64_t maximumVersion = 4;
    Tick timeToLive { 2 };
    Tick sendPause { 1 }; ///< Longest pause between check and send; also the margin of the tables.
    Tick runTime { 1 };
    bool leaseCalls = true; ///< Off: leases lapse and stay so.
    bool dispatches = true; ///< Off: only whether a dispatch would be possible is looked at.
    bool uncertainWrites = true; ///< Off: every write is answered.
    bool onlyTwoPools = false; ///< Check only the promise itself, not the stronger invariants.
};

/// Work on an upstream.
struct Work {
    std::string upstream;
    std::string pool;
    Common::Instant endsAt {};
    bool running = true; ///< The host doesn't see the end until it acts.
    bool owned = true; ///< The process that sent it lives.
};

/// Checked and not yet sent.
struct PendingSend {
    std::string upstream;
    std::string pool;
    Common::Instant checkedAt {};
};

/// Renewal or grant of a view lease on its way.
struct LeaseCall {
    Decision::ViewLease lease;
    bool answered = false;
};

/// Reply to a host's read.
struct ReadReply {
    Decision::AssignmentRecord record;
    Ports::LeaseId askedUnder = 0;
};

/// One entry host.
struct Host {
    Decision::ProcessId process;
    Decision::AssignmentTable table;
    std::optional<LeaseCall> leaseCall;
    std::vector<ReadReply> reads;
    std::optional<PendingSend> pending;
    std::optional<Work> work;
    std::vector<Work> leftWork; ///< Given up, or left by earlier processes.
    std::optional<Messages::AssignmentAnswer> answer; ///< On the network; may arrive at any time, more than once.
};

/// One holder of the duty, or one that believes so.
///
/// It reads at once: a late answer could only make it wait longer. A write decided on old reads may be sent at any time.
struct Mover {
    Decision::MoveCoordinator coordinator;
    std::optional<Decision::RecordWrite> delayedWrite; ///< Of uncertain end: may take effect at any time, or never.
};

/// The platform's store.
struct Store {
    Decision::AssignmentRecord record;
    std::int64_t revision = 1;
    std::vector<Decision::MemberProcess> members;
    std::map<Decision::ProcessId, Decision::ViewLease> leases; ///< askedAt holds the end.
    Ports::LeaseId lastLease = 0;
};

/// The state of the whole world; a value.
struct World {
    Common::Instant now {};
    Store store;
    std::vector<Host> hosts;
    std::vector<Mover> movers;
    std::shared_ptr<const Scenario> scenario;
    Budget left;
    std::string fault; ///< Set when a step broke an invariant of steps.

    /// Every host registered, with a fresh lease and the record read.
    static World create(const Scenario&);
    /// Equal forms have the same future.
    std::string canonical() const;
    /// Empty when every invariant holds.
    std::string violation() const;
};

/// Name of something that happened, for traces.
struct Label {
    const char* what = "";
    std::size_t actor = 0;
};

/// One thing that may happen and the world after it.
struct Successor {
    Label label;
    World world;
};

/// All that may happen next.
std::vector<Successor> successorsOf(const World&);

} // namespace OnePool
