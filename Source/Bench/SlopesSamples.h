#pragma once

/// Sample objects, records and messages of any size, with names and addresses as long as those of a large fleet.

#include "Decision/Assignment/AssignmentRecord.h"
#include "Messages/PeerMessages.h"
#include "Objects/Types.h"

#include <cstddef>
#include <string>

namespace Slopes {

/// Number of objects of each kind in a set.
struct SetCounts {
    unsigned dataCentres = 1;
    unsigned racks = 4;
    unsigned pools = 8;
    unsigned services = 8;
    unsigned teams = 8;
    unsigned budgets = 1;
    unsigned waves = 1;
    unsigned upstreams = 64;
};

/// Name of the pool with that number, as all samples use it; counted from 0.
std::string poolName(unsigned);
/// Name of the upstream with that number, as all samples use it; counted from 0.
std::string upstreamName(unsigned);

/// A valid set. Upstreams are assigned to pools and racks in turn, and each has a loopback address of its own.
Objects::ObjectSet makeSet(const SetCounts&);

/// An assignment record with the upstreams assigned to the pools in turn.
Decision::AssignmentRecord makeAssignments(unsigned upstreams, unsigned pools);

/// A heartbeat with the loads of so many pools, each with so many upstreams in use.
Messages::Heartbeat makeHeartbeat(unsigned pools, unsigned upstreamsPerPool);

/// A ledger hand-over of finished records, each with an answer of answerBytes.
Messages::LedgerHandover makeHandover(unsigned records, std::size_t answerBytes);

/// An idempotency key (UUID of version 7) with that time and a number that makes it unique.
std::string makeKey(Common::WallTime, unsigned number);

} // namespace Slopes
