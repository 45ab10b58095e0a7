#pragma once

/// Objects, records and messages of a given size, with names and addresses as long as those of a large fleet.

#include "Decision/Assignment/AssignmentRecord.h"
#include "Messages/PeerMessages.h"
#include "Objects/Types.h"

#include <cstddef>
#include <string>

namespace Slopes {

/// Objects of each kind in a set.
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

std::string poolName(unsigned);
std::string upstreamName(unsigned);

/// A valid set; upstreams go to pools and racks in turn. With a port, all upstreams have distinct loopback addresses.
Objects::ObjectSet makeSet(const SetCounts&);

Decision::AssignmentRecord makeAssignments(unsigned upstreams, unsigned pools);

Messages::Heartbeat makeHeartbeat(unsigned pools, unsigned usesPerPool);

Messages::LedgerHandover makeHandover(unsigned records, std::size_t answerBytes);

/// An idempotency key (UUID of version 7) stamped with the time.
std::string makeKey(Common::WallTime, unsigned number);

} // namespace Slopes
