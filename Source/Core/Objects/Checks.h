#pragma once

/// The groups of checks that Validator runs, in this order.

#include "Objects/ErrorCollector.h"
#include "Objects/Types.h"

namespace Objects {

/// Names, ranges, lists and references of every object, driven by the field table.
void checkFields(const ObjectSet&, ErrorCollector&);

/// Levels and cycles of failure domains, and the levels of domains that other objects name.
void checkDomains(const ObjectSet&, ErrorCollector&);

/// Rules inside one kind: addresses, ranks, deadlines, connections, budgets named twice.
void checkObjects(const ObjectSet&, ErrorCollector&);

/// Hosts and slots of pools against what pools, teams, budgets and waves ask for.
void checkCapacity(const ObjectSet&, ErrorCollector&);

/// What may not change from `base` to `next`.
void checkChange(const ObjectSet& base, const ObjectSet& next, ErrorCollector&);

} // namespace Objects
